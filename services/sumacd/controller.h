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
#include "libraries/storage/data_folder.h"
#include "libraries/storage/posix_disk.h"
#include "services/sumacd/peers.h"
#include "services/sumacd/platform_teller.h"
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
  const replication::Replica& replica() const { return *this->replica_core; }
  // The process that leads, as far as this one knows.
  ProcessName KnownLeader() const;
  // The error kNotLeader with the known leader's name.
  fleet::Answer NotLeaderAnswer() const;
  bool is_stalled() const { return this->is_disk_full; }

 private:
  using Folder = storage::DataFolder<storage::PosixDisk>;

  struct PendingProposal {
    Term term;
    kj::Own<kj::PromiseFulfiller<fleet::Answer>> fulfiller;
  };
  // A call that brought a message in and takes the replies back.
  struct WaitingSender {
    ProcessName process;
    std::vector<replication::Message> replies;
    kj::Own<kj::PromiseFulfiller<std::vector<replication::Message>>> fulfiller;
  };
  struct ViewWaiter {
    std::uint64_t have = 0;
    kj::Own<kj::PromiseFulfiller<void>> fulfiller;
  };

  Controller(const Settings& settings,
             const fleet::Charts& charts,
             Peers& peers,
             kj::Timer& timer,
             std::unique_ptr<storage::PosixDisk> disk,
             Folder folder);

  void taskFailed(kj::Exception&& exception) override;

  ServedView ServeView(std::uint64_t have) const;
  kj::Promise<void> TickLoop();
  void Tick();
  void Lead(SteadyTime now);
  void SchedulePump();
  void Pump();
  bool PumpOnce();
  bool MaySendBeforeWriting(const replication::Output& output) const;
  bool Persist(const replication::Output& output);
  void SendMessages(const std::vector<replication::Message>& messages);
  void CallReplicate(const ProcessName& process,
                     const replication::Message& message);
  void TakeIn(replication::Message message);
  void AnswerSenders();
  void ApplyCommitted(const std::vector<replication::Entry>& entries);
  void ResolveProposal(const replication::Entry& entry, fleet::Answer answer);
  void FailLostProposals();
  void LogNewDecisions(std::uint64_t first_number);
  void NotifyViewWaiters();
  void MaybeSnapshot();
  void FinishSnapshot(LogIndex index, std::string bytes);
  void ProposeInBackground(fleet::Command command);
  void MaintainMembership(SteadyTime now);
  bool IsSilent(const replication::NodeId& node, SteadyTime now) const;
  bool IsCaughtUp(const replication::NodeId& node, SteadyTime now) const;
  absl::Status ProposeMembers(const replication::Membership& membership);
  void AskToJoin(SteadyTime now);

  const Settings& settings;
  Peers& peers;
  kj::Timer& timer;
  SystemClock clock;
  std::unique_ptr<storage::PosixDisk> disk;
  Folder folder;
  fleet::FleetMachine machine;
  std::unique_ptr<replication::Replica> replica_core;
  fleet::SoftState soft;
  std::unique_ptr<PlatformTeller> teller;
  std::unique_ptr<SnapshotWriter> snapshot_writer;
  bool is_snapshot_under_way = false;

  Term leading_term;
  SteadyTime last_plan{};
  SteadyTime last_join{};
  std::size_t next_to_ask = 0;
  bool is_pump_scheduled = false;
  bool is_disk_full = false;
  std::optional<replication::Output> unwritten;
  // Commands of the planner that are not yet applied; it plans on only when
  // there are none.
  std::size_t planned_open = 0;
  std::uint64_t last_applied_view = 0;
  fleet::ViewHistory history;
  std::uint64_t entries_since_snapshot = 0;
  LogIndex applied_index;
  std::map<LogIndex, PendingProposal> proposals;
  std::vector<ViewWaiter> view_waiters;
  std::vector<WaitingSender> waiting_senders;
  std::map<ProcessName, std::size_t> messages_in_flight;
  kj::TaskSet tasks;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_CONTROLLER_H_
