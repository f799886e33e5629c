// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_CONTROLLER_H_
#define SERVICES_SUMACD_CONTROLLER_H_

#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/timer.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "libraries/fleet/commands.h"
#include "libraries/fleet/fleet_machine.h"
#include "libraries/fleet/planner.h"
#include "libraries/fleet/soft_state.h"
#include "libraries/fleet/view.h"
#include "libraries/fleet/view_history.h"
#include "libraries/replication/replica.h"
#include "services/sumacd/peers.h"
#include "services/sumacd/platform_notifier.h"
#include "services/sumacd/replica_host.h"
#include "services/sumacd/settings.h"
#include "services/sumacd/snapshot_writer.h"

namespace sumac::daemon {

// A view, or what changed of it, with what vouches for it.
struct ServedView {
  fleet::View view;
  // True if `view` holds only what changed since the version that the follower
  // has.
  bool is_delta = false;
  // True if this controller's state was known to be the latest at some moment
  // since it started.
  bool is_verified = false;
};

// The controller role: one replica on one disk, the state machine above it, and
// while it leads the planner. Belongs to the core's event loop.
class Controller : private kj::TaskSet::ErrorHandler {
 public:
  // Opens the data folder and starts the replica.
  static absl::StatusOr<std::unique_ptr<Controller>> Create(
      const Settings& settings,
      const fleet::Charts& charts,
      Peers& peers,
      kj::Timer& timer);

  // Runs until the process ends.
  kj::Promise<void> Run();

  // Takes in a message of another replica; the promise holds what there is for
  // its sender once all that it led to is on the disk.
  kj::Promise<std::vector<replication::Message>> Receive(
      replication::Message message);

  // Commits a command and tells its answer. While this controller does not lead
  // the answer is kNotLeader, with the leader's name as message if it is known.
  // kTimeout says that leadership was lost meanwhile: the command may or may
  // not have been committed.
  kj::Promise<fleet::Answer> Propose(fleet::Command command);

  // Takes in targets' renewals and answers each with orders, in the same order.
  kj::Promise<std::vector<fleet::TargetOrders>> Announce(
      const std::vector<fleet::Announcement>& announcements);

  // The view, as soon as its version is past `have` or `wait` is over.
  kj::Promise<ServedView> Follow(std::uint64_t have, Milliseconds wait);

  // True while this controller may answer for the committed state and act on
  // it.
  bool MayAct() const;

  // Ends the threads that tell the platform and make snapshots. Called from
  // another thread than the event loop's, which must go on until this returns.
  void StopThreads();

  // Takes a replica with a new disk in as a learner. kNotLeader, kUnknownName
  // for a process that the settings don't list as a controller, or kWrongState
  // while another change is under way.
  absl::Status Join(const replication::NodeId& node);

  // Carries out add, remove or replace for a member.
  absl::Status ChangeMember(const std::string& action,
                            const replication::NodeId& node);

  // Starts to hand leadership over.
  absl::Status HandOver();

  const fleet::FleetState& state() const { return this->machine.state(); }
  const replication::Replica& replica() const { return this->host->replica(); }
  // The process that leads, as far as this one knows.
  ProcessName KnownLeader() const { return this->host->KnownLeader(); }
  // The error kNotLeader with the known leader's name.
  fleet::Answer NotLeaderAnswer() const {
    return this->host->NotLeaderAnswer();
  }
  bool is_disk_full() const { return this->host->is_disk_full(); }

 private:
  struct ViewWaiter {
    std::uint64_t have = 0;
    kj::Own<kj::PromiseFulfiller<void>> fulfiller;
  };

  Controller(const Settings& settings,
             const fleet::Charts& charts,
             Peers& peers,
             kj::Timer& timer);

  void taskFailed(kj::Exception&& exception) override;

  ServedView ServeView(std::uint64_t have) const;
  kj::Promise<void> TickLoop();
  void Tick();
  void RunLeaderDuties(SteadyTime now);
  fleet::Answer Apply(const std::string& payload);
  void LogNewDecisions(std::uint64_t first_number);
  void NotifyViewWaiters();
  void ProposeInBackground(fleet::Command command);

  const Settings& settings;
  Peers& peers;
  kj::Timer& timer;
  SystemClock clock;
  fleet::FleetMachine machine;
  std::unique_ptr<ReplicaHost> host;
  fleet::SoftState soft;
  std::unique_ptr<PlatformNotifier> platform_notifier;
  std::unique_ptr<SnapshotWriter> snapshot_writer;

  Term leading_term;
  SteadyTime last_plan{};
  // Commands of the planner that are not yet applied; it plans on only when
  // there are none.
  std::size_t open_command_count = 0;
  std::uint64_t last_applied_view = 0;
  fleet::ViewHistory history;
  std::vector<ViewWaiter> view_waiters;
  kj::TaskSet tasks;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_CONTROLLER_H_
