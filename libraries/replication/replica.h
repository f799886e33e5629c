// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_REPLICA_H_
#define LIBRARIES_REPLICATION_REPLICA_H_

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/replication/leadership.h"
#include "libraries/replication/replica_log.h"
#include "libraries/replication/types.h"

namespace sumac::replication {

// What a replica starts from, as read from its disk.
struct StartState {
  NodeId self;
  HardState hard_state;
  Snapshot snapshot;
  std::vector<Entry> entries;
  // Seeds the random part of election timeouts.
  std::uint64_t seed = 1;
};

// One replica of the log: the Raft algorithm (Ongaro and Ousterhout 2014;
// pre-vote, leader lease and one-at-a-time membership changes from Ongaro's
// thesis, 2014, chapters 4, 6 and 9) as a pure state machine. It does no I/O
// and reads no clock: events come in through Tick, Receive and Propose, what is
// to be done comes out of TakeOutput, and `now` never goes back.
class Replica {
 public:
  Replica(ReplicationSettings settings, StartState start, SteadyTime now);

  // Lets time pass: heartbeats, elections, giving up leadership without a
  // quorum.
  void Tick(SteadyTime now);

  // Takes in a message; one for another node or incarnation is dropped.
  void Receive(Message message, SteadyTime now);

  // Adds a command to the log. The error is kNotLeader, or kNoLeader during a
  // hand-over.
  absl::StatusOr<LogIndex> Propose(std::string payload, SteadyTime now);

  // Proposes other members; they differ from the present ones in one voter at
  // most, and the previous change must be committed.
  absl::StatusOr<LogIndex> ProposeMembership(const Membership& membership,
                                             SteadyTime now);

  // Starts handing leadership to the voter that has most of the log.
  absl::Status HandOver(SteadyTime now);

  // Tells that the host has stored a snapshot of its state at `index`, so the
  // log before it may go.
  SnapshotMeta Compact(LogIndex index, std::string state);

  // What is to be done since the last call. The host carries outputs out in
  // order; while it writes one, this replica may go on with further events.
  Output TakeOutput();

  // Tells that the host's disk holds the log up to `index`, the last entry of
  // the output just written. A leader counts its own copy only from here on.
  void HandleLogWritten(LogIndex index, SteadyTime now);

  // True if anything is waiting in TakeOutput.
  bool has_output() const {
    return this->needs_broadcast ||
           this->committed_index > this->delivered_index ||
           !this->output.is_empty();
  }

  // True while this replica leads and its lease holds at `now`: no other leader
  // can have committed anything. Every action outside and every read checks it.
  bool HoldsLease(SteadyTime now) const;
  // When the lease ends that this replica has as of `now`; nothing if it has
  // none.
  std::optional<SteadyTime> LeaseEnd(SteadyTime now) const;

  // True once a leader has applied an entry of its own term, so that its state
  // is complete.
  bool is_ready_to_lead() const;
  // True while this leader sends a snapshot to some member.
  bool is_sending_snapshot() const;

  // The entry with which the present leadership of this replica began; its
  // state is complete once that is applied.
  LogIndex leader_start() const { return this->leader_start_index; }

  // True once this replica, since it started, has known all that was committed
  // at some moment since then. A copy read from disk alone may be older than
  // what is in force.
  bool has_verified_state() const { return this->is_state_verified; }

  // When this replica last heard a leader; its start if it never did.
  SteadyTime last_leader_contact_at() const {
    return this->last_leader_contact;
  }

  Role role() const { return this->current_role; }
  Term term() const { return this->hard_state.term; }
  const std::optional<NodeId>& leader() const { return this->known_leader; }
  const NodeId& self() const { return this->own_id; }
  LogIndex commit_index() const { return this->committed_index; }
  LogIndex last_index() const { return this->log.last_index(); }
  LogIndex snapshot_index() const { return this->log.snapshot().index; }
  const Membership& membership() const { return this->log.LatestMembership(); }
  bool is_membership_committed() const {
    return this->log.LatestMembershipIndex() <= this->committed_index;
  }
  // The leader's view of the members, while leading.
  const Leadership* leadership() const {
    return this->leading.has_value() ? &*this->leading : nullptr;
  }

 private:
  void BecomeFollower(Term term, std::optional<NodeId> leader);
  void StartPreVote(SteadyTime now);
  void StartElection(bool is_hand_over, SteadyTime now);
  void BecomeLeader(SteadyTime now);
  void ResetElectionTimer(SteadyTime now);
  void RequestVotes(bool is_pre_vote, bool is_hand_over, Term term);
  bool HasVoteQuorum() const;

  void HandleVoteRequest(const NodeId& from,
                         Term term,
                         const VoteRequest& request,
                         SteadyTime now);
  void HandleVoteAnswer(const NodeId& from,
                        Term term,
                        const VoteAnswer& answer,
                        SteadyTime now);
  void HandleAppendRequest(const NodeId& from,
                           AppendRequest request,
                           SteadyTime now);
  void HandleAppendAnswer(const NodeId& from,
                          const AppendAnswer& answer,
                          SteadyTime now);
  void HandleSnapshotChunk(const NodeId& from,
                           const SnapshotChunk& chunk,
                           SteadyTime now);
  void InstallIncomingSnapshot();
  void HandleSnapshotAnswer(const NodeId& from,
                            const SnapshotAnswer& answer,
                            SteadyTime now);
  void HandleTimeoutNow(SteadyTime now);

  bool HasRecentLeader(SteadyTime now) const;
  bool IsLogUpToDate(LogIndex last_index, Term last_term) const;
  LogIndex ConflictHint(const AppendRequest& request) const;
  void AppendFollowerEntries(std::vector<Entry> entries);
  void AppendOwnEntry(Entry entry, SteadyTime now);
  void AdvanceCommit(LogIndex index);
  void MaybeCommit(SteadyTime now);
  void Broadcast(SteadyTime now);
  void SendCommitIndex(SteadyTime now);
  void SendTo(const NodeId& node,
              MemberProgress& progress,
              bool is_heartbeat,
              SteadyTime now);
  void SendEntries(const NodeId& node,
                   MemberProgress& progress,
                   SteadyTime now);
  void SendSnapshot(const NodeId& node,
                    MemberProgress& progress,
                    SteadyTime now);
  void SendSnapshotHeartbeat(const NodeId& node,
                             MemberProgress& progress,
                             SteadyTime now);
  void MaybeFinishHandOver(SteadyTime now);
  void TickLeader(SteadyTime now);
  void Send(const NodeId& to, decltype(Message::body) body);
  void SendWithTerm(const NodeId& to, Term term, decltype(Message::body) body);
  void SaveHardState();

  ReplicationSettings settings;
  NodeId own_id;
  HardState hard_state;
  ReplicaLog log;
  std::string snapshot_state;
  LogIndex committed_index;
  LogIndex delivered_index;
  LogIndex written_index;
  bool is_state_verified = false;

  Role current_role = Role::kFollower;
  std::optional<NodeId> known_leader;
  SteadyTime last_leader_contact;
  SteadyTime election_deadline;
  std::set<NodeId> votes;

  std::optional<Leadership> leading;
  LogIndex leader_start_index;
  SteadyTime last_heartbeat{};
  std::optional<NodeId> hand_over_to;
  SteadyTime hand_over_deadline{};
  bool has_sent_timeout_now = false;
  bool needs_broadcast = false;
  bool needs_commit_broadcast = false;
  SteadyTime latest_now;

  std::optional<Snapshot> incoming_snapshot;
  std::mt19937_64 random;
  Output output;
};

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_REPLICA_H_
