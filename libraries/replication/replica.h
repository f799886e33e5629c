// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_REPLICA_H_
#define LIBRARIES_REPLICATION_REPLICA_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/replication/leadership.h"
#include "libraries/replication/replica_log.h"
#include "libraries/replication/silence_watch.h"
#include "libraries/replication/types.h"

namespace sumac::replication {

// The stored state with which a replica starts, as read from its disk.
struct StartState {
  NodeId self;
  HardState hard_state;
  Snapshot snapshot;
  std::vector<Entry> entries;
  // Seeds the random part of election timeouts.
  std::uint64_t seed = 1;
};

// Returns an error for a snapshot that the host can't store and load.
using SnapshotCheck = std::function<absl::Status(const Snapshot& snapshot)>;

// One replica of the log: the Raft algorithm (Ongaro and Ousterhout 2014;
// pre-vote, leader lease and one-at-a-time membership changes from Ongaro's
// thesis, 2014, chapters 4, 6 and 9; joint quorums for the exchange of a voter
// from the first, section 6) as a pure state machine. It does no I/O and reads
// no clock: Tick, Receive and Propose pass events to it, TakeOutput returns the
// actions that the host has to carry out, and `now` never decreases.
class Replica {
 public:
  // Without `check_snapshot` every snapshot of a leader is installed.
  Replica(ReplicationSettings settings,
          StartState start,
          SteadyTime now,
          SnapshotCheck check_snapshot = nullptr);

  // Advances the time: sends heartbeats, starts elections, and gives up
  // leadership if no quorum answers.
  void Tick(SteadyTime now);

  // Handles a message; drops one that is addressed to another node or
  // incarnation.
  void Receive(Message message, SteadyTime now);

  // Appends a command to the log. Returns kNotLeader if this replica does not
  // lead, kNoLeader during a hand-over, and kBodyTooLarge for a command of more
  // than kMaxCommandBytes.
  absl::StatusOr<LogIndex> Propose(std::string payload, SteadyTime now);

  // Proposes new members; the previous change must be committed. They differ
  // from the present ones in at most one voter, or begin an exchange, whose
  // outgoing voters are the present ones. While one is under way its voters
  // stay as they are until it ends with those after it, or those before.
  absl::StatusOr<LogIndex> ProposeMembership(const Membership& membership,
                                             SteadyTime now);

  // Starts to hand leadership over to the voter that holds most of the log. A
  // call while a hand-over is open changes nothing.
  absl::Status HandOver(SteadyTime now);

  // Returns the position of a snapshot of the state after `index`, which must
  // be delivered and lie after the last snapshot.
  SnapshotMeta SnapshotMetaAt(LogIndex index) const;

  // Drops the log up to `index`. The host has stored `state`, the state
  // machine's state at that position, as a snapshot. Returns the snapshot's
  // position.
  SnapshotMeta Compact(LogIndex index, std::string state);

  // Returns the actions that have accumulated since the last call. The host
  // carries out the outputs in order; while it writes one, this replica may
  // handle further events.
  Output TakeOutput();

  // Called when the host's disk holds the log up to `index`, the last entry of
  // the output just written. Only then does a leader count its own copy towards
  // a quorum.
  void HandleLogWritten(LogIndex index, SteadyTime now);

  // True if TakeOutput would return any action.
  bool has_output() const {
    return this->needs_broadcast ||
           this->committed_index > this->delivered_index ||
           !this->output.is_empty();
  }

  // Returns true while this replica leads and its lease is valid at `now`, so
  // that no other leader can have committed anything. Every read and every
  // action with an outside effect checks it.
  bool HoldsLease(SteadyTime now) const;
  // Returns the end of the lease that this replica holds at `now`, or nothing
  // if it holds none.
  std::optional<SteadyTime> LeaseEnd(SteadyTime now) const;

  // True once a leader has committed an entry of its own term, so that its log
  // contains all committed entries.
  bool is_ready_to_lead() const;
  // True while this leader is sending a snapshot to at least one member that
  // answers.
  bool is_sending_snapshot() const;

  // The position of the entry with which the present leadership of this replica
  // began. Its state is complete once that entry is applied.
  LogIndex leader_start() const { return this->leader_start_index; }

  // True once this replica has, at some moment since its start, held all
  // entries that were committed at that moment. State that was only read from
  // disk may be older than the committed state.
  bool has_verified_state() const { return this->is_state_verified; }

  // The time of the last message from a leader, or of this replica's start if
  // there was none.
  SteadyTime last_leader_contact_at() const {
    return this->last_leader_contact;
  }

  Role role() const { return this->current_role; }
  Term term() const { return this->hard_state.term; }
  const std::optional<NodeId>& leader() const { return this->known_leader; }
  const NodeId& self() const { return this->own_id; }
  LogIndex commit_index() const { return this->committed_index; }
  LogIndex last_index() const { return this->log.last_index(); }
  Term last_term() const { return this->log.last_term(); }
  LogIndex snapshot_index() const { return this->log.snapshot().index; }
  const Membership& membership() const { return this->log.LatestMembership(); }
  // Returns the position since which the node has been a member, as far as the
  // log goes back.
  LogIndex MemberSince(const NodeId& node) const {
    return this->log.MemberSince(node);
  }
  bool is_membership_committed() const {
    return this->log.LatestMembershipIndex() <= this->committed_index;
  }
  // How long the members have been silent. Counted while this replica leads,
  // else as last reported by a leader.
  const SilenceWatch& silence() const { return this->silence_watch; }
  // The leader's progress for the members, or null while not leading.
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
  bool MayStandForElection() const;

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
  bool IsRefused(const NodeId& from, const SnapshotMeta& meta) const;
  bool InstallIncomingSnapshot(const NodeId& from);
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
  void SendSnapshotChunk(const NodeId& node,
                         MemberProgress& progress,
                         SteadyTime now);
  void SendSnapshotChunks(const NodeId& node,
                          MemberProgress& progress,
                          SteadyTime now);
  void SendSnapshotHeartbeat(const NodeId& node,
                             MemberProgress& progress,
                             SteadyTime now);
  void GiveUpLateHandOver(SteadyTime now);
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
  SilenceWatch silence_watch;
  LogIndex leader_start_index;
  SteadyTime last_heartbeat{};
  std::optional<NodeId> hand_over_to;
  SteadyTime hand_over_deadline{};
  bool has_sent_timeout_now = false;
  bool needs_broadcast = false;
  bool needs_commit_broadcast = false;
  SteadyTime latest_now;

  // A leader's snapshot that can't be installed.
  struct RefusedSnapshot {
    NodeId from;
    Term term;
    SnapshotMeta meta;
  };

  SnapshotCheck check_snapshot;
  std::optional<Snapshot> incoming_snapshot;
  std::optional<RefusedSnapshot> refused_snapshot;
  std::mt19937_64 random;
  Output output;
};

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_REPLICA_H_
