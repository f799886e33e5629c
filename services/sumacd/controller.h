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

// A view or a delta to one, and whether it is verified.
struct ServedView {
  fleet::View view;
  // True if `view` contains only the changes since the version that the
  // follower has.
  bool is_delta = false;
  // True if this controller's state was confirmed to be the latest at least
  // once since it started.
  bool is_verified = false;
};

// The controller role: a replica on one disk, the replicated state machine,
// and, while this replica leads, the planner. Must be used on the core's event
// loop.
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

  // Handles a message from another replica. The promise resolves to the replies
  // to its sender once everything that the message caused is on disk.
  kj::Promise<std::vector<replication::Message>> Receive(
      replication::Message message);

  // Commits a command and returns its answer. While this controller does not
  // lead, the answer is kNotLeader, with the leader's name as the message if it
  // is known. kTimeout means that leadership was lost meanwhile: the command
  // may or may not have been committed.
  kj::Promise<fleet::Answer> Propose(fleet::Command command);

  // Handles the announcements of targets, which renew their leases, and returns
  // the orders for each, in the same order.
  kj::Promise<std::vector<fleet::TargetOrders>> Announce(
      const std::vector<fleet::Announcement>& announcements);

  // Returns the view, or a delta to it, as soon as its version is newer than
  // `have` or `wait` has elapsed.
  kj::Promise<ServedView> Follow(std::uint64_t have, Milliseconds wait);

  // Returns true while this controller may serve the committed state and act on
  // it as the leader.
  bool MayAct() const;

  // Stops the threads that call the platform and write snapshots. Must be
  // called on another thread than the event loop's, and the event loop must run
  // until this returns.
  void StopThreads();

  // Adds a replica with a new disk to the group as a learner. Returns
  // kNotLeader, kUnknownName for a process that the settings don't list as a
  // controller, or kWrongState while another membership change is in progress.
  absl::Status Join(const replication::NodeId& node);

  // Carries out the action "add", "remove" or "replace" for a member.
  absl::Status ChangeMember(const std::string& action,
                            const replication::NodeId& node);

  // Starts to hand leadership over to another member.
  absl::Status HandOver();

  const fleet::FleetState& state() const { return this->machine.state(); }
  const replication::Replica& replica() const { return this->host->replica(); }
  // Returns the process of the last known leader; empty if unknown.
  ProcessName KnownLeader() const { return this->host->KnownLeader(); }
  // Returns the error kNotLeader with the known leader's name as the message.
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
  SnapshotWriter snapshot_writer;

  Term leading_term;
  SteadyTime last_plan{};
  // The number of proposed commands that are not applied yet. The planner runs
  // only when there are none.
  std::size_t open_command_count = 0;
  std::uint64_t last_applied_view = 0;
  fleet::ViewHistory history;
  std::vector<ViewWaiter> view_waiters;
  kj::TaskSet tasks;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_CONTROLLER_H_
