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
#include "libraries/replication/replica.h"
#include "services/sumacd/disk_thread.h"
#include "services/sumacd/group_maintenance.h"
#include "services/sumacd/peers.h"
#include "services/sumacd/replica_store.h"
#include "services/sumacd/settings.h"
#include "services/sumacd/vote_log.h"

namespace sumac::daemon {

// Callbacks into the replicated state machine. ReplicaHost calls them on its
// event loop.
struct ReplicaCallbacks {
  // Replaces the state with that of a snapshot.
  std::function<absl::Status(const std::string& state)> load_snapshot;
  // Returns the error that load_snapshot would return, and changes nothing.
  std::function<absl::Status(const std::string& state)> check_snapshot;
  // Applies one committed command and returns its answer.
  std::function<fleet::Answer(const std::string& payload)> apply;
  // Called at the end of each Pump, in which commands may have been applied.
  std::function<void()> after_pump;
  // Starts to serialize the current state as a snapshot; FinishSnapshot must be
  // called with the bytes, or with an error if they can't be read back.
  std::function<void(LogIndex index)> begin_snapshot;
};

// The configuration of a ReplicaHost.
struct ReplicaHostSettings {
  ProcessName process;
  std::string data_folder;
  GroupSettings group;
  GroupMaintenanceSettings maintenance;
};

// Runs one replica on one disk: carries out the replica's outputs (disk writes
// on a separate thread, messages to the other replicas, committed commands to
// the state machine) and maintains the group's membership while this replica
// leads. All methods must be called on one event loop.
class ReplicaHost : private kj::TaskSet::ErrorHandler {
 public:
  // Opens the data folder, loads the stored snapshot into the state machine and
  // starts the replica.
  static absl::StatusOr<std::unique_ptr<ReplicaHost>> Create(
      const ReplicaHostSettings& settings,
      Peers& peers,
      kj::Timer& timer,
      ReplicaCallbacks callbacks);

  // Does the same as Create with a store that is already open.
  static absl::StatusOr<std::unique_ptr<ReplicaHost>> CreateWithStore(
      ReplicaStore store,
      const ReplicaHostSettings& settings,
      Peers& peers,
      kj::Timer& timer,
      ReplicaCallbacks callbacks);

  // Handles a message from another replica. The promise resolves to the replies
  // to its sender once everything that the message caused is on disk.
  kj::Promise<std::vector<replication::Message>> Receive(
      replication::Message message);

  // Commits a command and returns its answer. While this controller does not
  // lead, the answer is kNotLeader, with the leader's name as the message if it
  // is known. kTimeout means that leadership was lost meanwhile: the command
  // may or may not have been committed.
  kj::Promise<fleet::Answer> Propose(std::string payload);

  // Runs the time-driven work: elections, heartbeats, requests to join the
  // group, retries of writes to a full disk.
  void Tick(SteadyTime now);

  // Replaces and promotes members as needed. Must be called only while leading.
  void MaintainMembership();

  // Schedules Pump, which processes the replica's outputs, after the events
  // that are now queued in the event loop.
  void SchedulePump();

  // Returns true while this controller may serve the committed state and act on
  // it as the leader.
  bool MayAct() const;
  // Returns the end of the lease until which this controller may act, or
  // nothing if MayAct is false.
  std::optional<SteadyTime> MayActUntil() const;

  // Adds a replica to the group as a learner. Returns kNotLeader, or
  // kWrongState until the members with it are committed; the call is to be
  // repeated then.
  absl::Status Join(const replication::NodeId& node);

  // Carries out the action "add", "remove" or "replace" for a member.
  absl::Status ChangeMember(const std::string& action,
                            const replication::NodeId& node);

  // Starts to hand leadership over to another member.
  absl::Status HandOver();

  // Stores a serialized snapshot and then drops the log entries that it covers.
  // After an error the log is kept.
  void FinishSnapshot(LogIndex index, absl::StatusOr<std::string> bytes);

  const replication::Replica& replica() const { return *this->replica_core; }
  // Returns the process of the last known leader; empty if unknown.
  ProcessName KnownLeader() const;
  // Returns the error kNotLeader with the known leader's name as the message.
  fleet::Answer NotLeaderAnswer() const;
  LogIndex applied_index() const { return this->last_applied; }
  bool is_disk_full() const { return this->has_full_disk; }
  // Returns the number of snapshots, own ones and those of leaders, that could
  // not be read and therefore replaced nothing.
  std::uint64_t unreadable_snapshots() const {
    return this->unreadable_snapshot_count;
  }
  // Returns how long the write in progress has taken so far; zero if there is
  // none.
  Milliseconds WriteAge(SteadyTime now) const;

 private:
  struct PendingProposal {
    Term term;
    kj::Own<kj::PromiseFulfiller<fleet::Answer>> fulfiller;
  };
  // A Peer.replicate call that is still open; its response carries the replies.
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
  void HandleSnapshotStored(replication::Snapshot snapshot,
                            const absl::Status& status);
  void RecordUnreadableSnapshot(LogIndex index, const absl::Status& error);
  absl::Status CheckLeaderSnapshot(const replication::Snapshot& snapshot);
  absl::Status ProposeMembers(const replication::Membership& membership);

  ReplicaHostSettings settings;
  Peers& peers;
  kj::Timer& timer;
  ReplicaCallbacks callbacks;
  SystemClock clock;
  ReplicaStore store;
  std::unique_ptr<replication::Replica> replica_core;

  std::pair<replication::Role, ProcessName> logged_role{
      replication::Role::kFollower, ProcessName()};
  GroupMaintenance group_maintenance;
  VoteLog vote_log;
  bool is_pump_scheduled = false;
  bool has_full_disk = false;
  // The time until which a leader with a full disk tries to hand over.
  SteadyTime hand_over_deadline{};
  // Outputs that are not on disk yet, oldest first; the first one is being
  // written while `is_writing`.
  std::deque<replication::Output> unwritten;
  bool is_writing = false;
  SteadyTime write_began{};
  // Entries that are committed but not applied yet.
  std::deque<replication::Entry> committed;
  bool is_apply_scheduled = false;
  bool is_snapshot_under_way = false;
  std::uint64_t entries_since_snapshot = 0;
  std::uint64_t unreadable_snapshot_count = 0;
  LogIndex last_applied;
  std::map<LogIndex, PendingProposal> proposals;
  std::vector<WaitingSender> waiting_senders;
  std::map<ProcessName, std::size_t> messages_in_flight;
  kj::TaskSet tasks;
  // Declared last, so that its thread ends before the members that its work
  // uses are destroyed.
  DiskThread disk_thread;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_REPLICA_HOST_H_
