// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_REPLICA_HOST_H_
#define SERVICES_SUMACD_REPLICA_HOST_H_

#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/timer.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "libraries/replication/catch_up_tracker.h"
#include "libraries/replication/membership_plan.h"
#include "libraries/replication/replica.h"
#include "services/sumacd/disk_thread.h"
#include "services/sumacd/peers.h"
#include "services/sumacd/replica_store.h"
#include "services/sumacd/settings.h"

namespace sumac::daemon {

// What the state machine above a replica does when its host calls.
struct ReplicaCallbacks {
  // Takes over the state of a snapshot.
  std::function<absl::Status(const std::string& state)> load_snapshot;
  // Applies one committed command and gives its answer.
  std::function<fleet::Answer(const std::string& payload)> apply;
  // Called after each pass in which something may have been applied.
  std::function<void()> after_pump;
  // Starts making a snapshot of the state as it is now; the bytes come back
  // through FinishSnapshot.
  std::function<void(LogIndex index)> begin_snapshot;
};

// Sizes and choices of one host.
struct ReplicaHostSettings {
  ProcessName process;
  std::string data_folder;
  GroupSettings group;
  // Voters that the group keeps: spare learners are promoted, and voters that
  // are gone for good replaced, up to this number. 0 leaves both to operators
  // and only brings processes back that the settings list.
  std::size_t wanted_voters = 0;
};

// One replica on one disk: carries out the replica's outputs (writes on a
// thread of its own, messages to the other replicas, committed commands to the
// state machine) and looks after the group's members while it leads. Belongs to
// one event loop.
class ReplicaHost : private kj::TaskSet::ErrorHandler {
 public:
  // Opens the data folder and starts the replica; the state machine gets the
  // stored snapshot.
  static absl::StatusOr<std::unique_ptr<ReplicaHost>> Create(
      const ReplicaHostSettings& settings,
      Peers& peers,
      kj::Timer& timer,
      ReplicaCallbacks callbacks);

  // The same with a store that is open already.
  static absl::StatusOr<std::unique_ptr<ReplicaHost>> CreateWithStore(
      ReplicaStore store,
      const ReplicaHostSettings& settings,
      Peers& peers,
      kj::Timer& timer,
      ReplicaCallbacks callbacks);

  // Takes in a message of another replica; the promise holds what there is for
  // its sender once all that it led to is on the disk.
  kj::Promise<std::vector<replication::Message>> Receive(
      replication::Message message);

  // Commits a command and tells its answer. While this controller does not lead
  // the answer is kNotLeader, with the leader's name as message if it is known.
  // kTimeout says that leadership was lost meanwhile: the command may or may
  // not have been committed.
  kj::Promise<fleet::Answer> Propose(std::string payload);

  // Lets time pass: elections, heartbeats, joining, what is due to be written.
  void Tick(SteadyTime now);

  // Replaces and promotes members as needed. Only while leading.
  void MaintainMembership(SteadyTime now);

  // Carries out what there is to do at the end of this turn of the event loop.
  void SchedulePump();

  // True while this controller may answer for the committed state and act on
  // it.
  bool MayAct() const;
  // Until when it may do so; nothing if it may not.
  std::optional<SteadyTime> MayActUntil() const;

  // Takes a replica in as a learner. kNotLeader, or kWrongState while another
  // change is under way.
  absl::Status Join(const replication::NodeId& node);

  // Carries out add, remove or replace for a member.
  absl::Status ChangeMember(const std::string& action,
                            const replication::NodeId& node);

  // Starts to hand leadership over.
  absl::Status HandOver();

  // Stores a snapshot whose bytes are ready, and lets the log before it go.
  void FinishSnapshot(LogIndex index, std::string bytes);

  const replication::Replica& replica() const { return *this->replica_core; }
  // The process that leads, as far as this one knows; empty if unknown.
  ProcessName KnownLeader() const;
  // The error kNotLeader with the known leader's name.
  fleet::Answer NotLeaderAnswer() const;
  LogIndex applied_index() const { return this->last_applied; }
  bool is_disk_full() const { return this->has_full_disk; }
  // How long the write that is under way has taken; zero if there is none.
  Milliseconds WriteAge(SteadyTime now) const;

 private:
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

  ReplicaHost(const ReplicaHostSettings& settings,
              Peers& peers,
              kj::Timer& timer,
              ReplicaCallbacks callbacks,
              ReplicaStore store);

  void taskFailed(kj::Exception&& exception) override;

  void LogRole();
  void Pump();
  bool PumpOnce();
  bool CanSendBeforeWrite(const replication::Output& output) const;
  void StartWrite();
  void FinishWrite(const absl::Status& status);
  bool IsSendingBlocked(SteadyTime now) const;
  void HandOverWithFullDisk();
  void Deliver(replication::Output& output);
  void SendMessages(std::vector<replication::Message> messages);
  void CallReplicate(const ProcessName& process,
                     const replication::Message& message);
  void HandleMessage(replication::Message message);
  void AnswerSenders();
  void ApplyCommitted();
  void ResolveProposal(const replication::Entry& entry, fleet::Answer answer);
  void FailLostProposals();
  void BeginSnapshotIfDue();
  replication::MemberHealth HealthOf(const replication::NodeId& node,
                                     SteadyTime now) const;
  absl::Status ProposeMembers(const replication::Membership& membership);
  void RequestToJoin(SteadyTime now);
  ProcessName NextJoinController();

  ReplicaHostSettings settings;
  Peers& peers;
  kj::Timer& timer;
  ReplicaCallbacks callbacks;
  SystemClock clock;
  ReplicaStore store;
  std::unique_ptr<replication::Replica> replica_core;

  std::pair<replication::Role, ProcessName> logged_role{
      replication::Role::kFollower, ProcessName()};
  // How far the log was committed when the members were last looked after.
  replication::CatchUpTracker catch_up_tracker;
  SteadyTime last_join_request_at{};
  std::size_t next_join_controller = 0;
  // The leader as the last one asked named it; empty if it did not.
  ProcessName join_hint;
  bool is_pump_scheduled = false;
  bool has_full_disk = false;
  // Until when a leader with a full disk tries to hand over.
  SteadyTime hand_over_deadline{};
  // Outputs that are not on the disk yet, oldest first; the first is being
  // written while `is_writing`.
  std::deque<replication::Output> unwritten;
  bool is_writing = false;
  SteadyTime write_began{};
  // Committed and not applied yet.
  std::deque<replication::Entry> committed;
  bool is_apply_scheduled = false;
  bool is_snapshot_under_way = false;
  std::uint64_t entries_since_snapshot = 0;
  LogIndex last_applied;
  std::map<LogIndex, PendingProposal> proposals;
  std::vector<WaitingSender> waiting_senders;
  std::map<ProcessName, std::size_t> messages_in_flight;
  kj::TaskSet tasks;
  // Declared last, so that it ends before what its work uses.
  DiskThread disk_thread;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_REPLICA_HOST_H_
