// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_TYPES_H_
#define LIBRARIES_REPLICATION_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/strong_type.h"
#include "libraries/base/time.h"

namespace sumac::replication {

// Identifies a controller together with the disk of its log, in the form
// NAME.INCARNATION. A controller that lost its disk returns under another
// incarnation, so that no vote or acknowledgement of the old disk counts as one
// of the new disk.
using NodeId = StrongType<std::string, struct NodeIdTag>;

// The kind of content of an entry.
enum class EntryKind : std::uint8_t {
  // A command for the state machine that the log replicates.
  kCommand,
  // The members from this entry on.
  kMembership,
  // The empty entry with which a leader starts its term.
  kLeaderStart,
};

// The nodes that hold copies of the log. Voters count towards quorums, see
// quorum.h; learners only receive the log.
struct Membership {
  // During an exchange of voters these are the voters after it.
  std::set<NodeId> voters;
  std::set<NodeId> learners;
  // The voters before the exchange that is under way; empty if none is. Until
  // it ends the group is in the joint state of Raft (Ongaro and Ousterhout
  // 2014, section 6): a quorum takes a majority of both sets.
  std::set<NodeId> outgoing_voters;

  bool operator==(const Membership&) const = default;

  // True while an exchange of voters is under way.
  bool is_joint() const { return !this->outgoing_voters.empty(); }
  bool is_voter(const NodeId& node) const {
    return this->voters.contains(node) || this->outgoing_voters.contains(node);
  }
  bool is_member(const NodeId& node) const {
    return this->is_voter(node) || this->learners.contains(node);
  }
  // Returns all that vote, also those that an exchange takes the vote from.
  std::set<NodeId> AllVoters() const {
    std::set<NodeId> all = this->voters;
    all.insert(this->outgoing_voters.begin(), this->outgoing_voters.end());
    return all;
  }
  std::set<NodeId> AllMembers() const {
    std::set<NodeId> all = this->AllVoters();
    all.insert(this->learners.begin(), this->learners.end());
    return all;
  }
};

// The maximum size of a command, in bytes: one record of the log and one
// message to another replica must be able to hold it.
inline constexpr std::size_t kMaxCommandBytes = std::size_t{16} << 20;

// One position of the replicated log.
struct Entry {
  Term term;
  LogIndex index;
  EntryKind kind = EntryKind::kCommand;
  // The command's bytes; empty for other kinds.
  std::string payload;
  // The members; only for kMembership.
  Membership membership;

  bool operator==(const Entry&) const = default;
};

// The term and vote of a replica, which must survive a restart.
struct HardState {
  Term term;
  std::optional<NodeId> voted_for;

  bool operator==(const HardState&) const = default;
};

// The position of a snapshot in the log.
struct SnapshotMeta {
  LogIndex index;
  Term term;
  Membership membership;

  bool operator==(const SnapshotMeta&) const = default;
};

// The state machine's state after all entries up to meta.index.
struct Snapshot {
  SnapshotMeta meta;
  std::string state;
};

// Requests a vote. A pre-vote only asks whether a vote would be granted and
// changes no state.
struct VoteRequest {
  bool is_pre_vote = false;
  // True if the present leader asked the sender to take over. The receiver then
  // ignores the leader's lease.
  bool is_hand_over = false;
  LogIndex last_index;
  Term last_term;
};

// Answers a VoteRequest.
struct VoteAnswer {
  bool is_pre_vote = false;
  bool is_granted = false;
};

// How long a member of the group has given no sign of life.
struct MemberSilence {
  NodeId node;
  Milliseconds silence{0};

  bool operator==(const MemberSilence&) const = default;
};

// Appends entries after the previous position; without entries it is a
// heartbeat.
struct AppendRequest {
  LogIndex previous_index;
  Term previous_term;
  LogIndex commit_index;
  std::vector<Entry> entries;
  // True if the sender held its lease when it sent this, so that no later
  // commit index existed.
  bool is_under_lease = false;
  // The leader's steady time when it sent this. The answer returns it, and the
  // leader's lease counts from it.
  SteadyTime sent_at;
  // The members that have missed heartbeats, for the next leader.
  std::vector<MemberSilence> silences;
};

// Answers an AppendRequest.
struct AppendAnswer {
  bool is_accepted = false;
  // If accepted, the last position known to match; otherwise the position to
  // try next.
  LogIndex match_index;
  SteadyTime sent_at;
  // True if the sender's program counts joint quorums.
  bool supports_joint_quorums = true;
};

// One chunk of a snapshot; chunks are sent in order from offset 0.
struct SnapshotChunk {
  SnapshotMeta meta;
  std::uint64_t offset = 0;
  std::string data;
  bool is_last = false;
  SteadyTime sent_at;
};

// Answers a SnapshotChunk.
struct SnapshotAnswer {
  LogIndex index;
  // The offset of the chunk that the member needs next. Chunks that arrive out
  // of order are dropped.
  std::uint64_t next_offset = 0;
  bool is_installed = false;
  SteadyTime sent_at;
  // As in AppendAnswer.
  bool supports_joint_quorums = true;
};

// Hands leadership over: the receiver starts an election at once.
struct TimeoutNow {};

// One message between replicas.
struct Message {
  NodeId from;
  NodeId to;
  Term term;
  std::variant<VoteRequest,
               VoteAnswer,
               AppendRequest,
               AppendAnswer,
               SnapshotChunk,
               SnapshotAnswer,
               TimeoutNow>
      body;
};

// The role of a replica in its group.
enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

// Returns the name of a role for the log.
constexpr std::string_view NameOf(Role role) {
  switch (role) {
    case Role::kFollower:
      return "follower";
    case Role::kPreCandidate:
      return "asks-for-votes";
    case Role::kCandidate:
      return "candidate";
    case Role::kLeader:
      return "leader";
  }
  return "?";
}

// The times and sizes of replication.
struct ReplicationSettings {
  Milliseconds heartbeat_interval{250};
  // A follower starts an election after no message from a leader for a random
  // time between this value and twice this value.
  Milliseconds election_timeout{800};
  // How far two steady clocks may drift apart over one election timeout.
  Milliseconds clock_drift_margin{80};
  // How long a hand-over may take before the leader resumes.
  Milliseconds hand_over_timeout{300};
  std::size_t max_entries_per_message = 256;
  // NOTE: A message has to get through within the time after which a connection
  // without answers is ended, also where lost packets slow it down.
  std::size_t max_bytes_per_message = 64U << 10;
  // The maximum number of messages with entries, and of chunks of a snapshot,
  // in flight to one member.
  std::size_t max_messages_in_flight = 8;
  std::size_t snapshot_chunk_bytes = 32U << 10;
};

// The actions that the host has to carry out, in this order: install the
// snapshot; write the hard state and the entries (after truncating the log at
// entries_to_write.front().index) and sync them; send the messages; apply the
// committed entries.
struct Output {
  std::optional<Snapshot> snapshot_to_install;
  // True if the stored entries after the snapshot belong to another history and
  // have to be removed.
  bool does_snapshot_replace_log = false;
  std::optional<HardState> hard_state;
  std::vector<Entry> entries_to_write;
  std::vector<Message> messages;
  std::vector<Entry> committed;

  bool is_empty() const {
    return !this->snapshot_to_install && !this->hard_state &&
           this->entries_to_write.empty() && this->messages.empty() &&
           this->committed.empty();
  }
  // True if anything has to be on disk before the messages are sent.
  bool has_writes() const {
    return this->snapshot_to_install || this->hard_state ||
           !this->entries_to_write.empty();
  }
};

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_TYPES_H_
