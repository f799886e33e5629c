// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_TYPES_H_
#define LIBRARIES_REPLICATION_TYPES_H_

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

// One controller's log under one disk, written NAME.INCARNATION. A controller
// whose disk was lost comes back under another incarnation, so that no vote or
// acknowledgement of the old disk is ever taken for one of the new.
using NodeId = StrongType<std::string, struct NodeIdTag>;

// What an entry holds.
enum class EntryKind : std::uint8_t {
  // A command of the state machine above.
  kCommand,
  // The members from this entry on.
  kMembership,
  // The empty entry with which a leader starts its term.
  kLeaderStart,
};

// Who holds copies. Voters decide; learners only follow.
struct Membership {
  std::set<NodeId> voters;
  std::set<NodeId> learners;

  bool operator==(const Membership&) const = default;

  bool is_voter(const NodeId& node) const {
    return this->voters.contains(node);
  }
  bool is_member(const NodeId& node) const {
    return this->voters.contains(node) || this->learners.contains(node);
  }
  // The smallest number of voters that two decisions always share one of.
  std::size_t quorum() const { return this->voters.size() / 2 + 1; }
};

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

// What a replica must not forget about terms and votes.
struct HardState {
  Term term;
  std::optional<NodeId> voted_for;

  bool operator==(const HardState&) const = default;
};

// Where a snapshot stands in the log.
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

// Asks for a vote; a pre-vote asks whether a vote would be given and changes
// nothing.
struct VoteRequest {
  bool is_pre_vote = false;
  // Set when the present leader asked the sender to take over; lets it pass the
  // leader's lease.
  bool is_hand_over = false;
  LogIndex last_index;
  Term last_term;
};

struct VoteAnswer {
  bool is_pre_vote = false;
  bool is_granted = false;
};

// Appends entries after the previous position, or is a heartbeat when there are
// none.
struct AppendRequest {
  LogIndex previous_index;
  Term previous_term;
  LogIndex commit_index;
  std::vector<Entry> entries;
  // True if the sender held its lease when it sent this: commit_index then was
  // the latest.
  bool is_under_lease = false;
  // The leader's own steady time when it sent this; the answer carries it back,
  // and the leader's lease counts from it.
  SteadyTime sent_at;
};

struct AppendAnswer {
  bool is_accepted = false;
  // The last position known to match when accepted, else the position to try
  // next.
  LogIndex match_index;
  SteadyTime sent_at;
};

// One part of a snapshot, in order from offset 0.
struct SnapshotChunk {
  SnapshotMeta meta;
  std::uint64_t offset = 0;
  std::string data;
  bool is_last = false;
  SteadyTime sent_at;
};

struct SnapshotAnswer {
  LogIndex index;
  // The offset wanted next.
  std::uint64_t next_offset = 0;
  bool is_installed = false;
  SteadyTime sent_at;
};

// The leader hands over to the receiver, which starts an election at once.
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

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

// The word for a role in logs.
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
  // A follower that hears nothing this long starts an election; each wait is
  // drawn at random between this and twice this.
  Milliseconds election_timeout{800};
  // How far two steady clocks may drift apart over one election timeout.
  Milliseconds clock_drift_margin{80};
  // How long a hand-over may take before the leader resumes.
  Milliseconds hand_over_timeout{300};
  std::size_t max_entries_per_message = 256;
  std::size_t max_bytes_per_message = 512U << 10;
  // Messages with entries that may be under way to one member before an answer.
  std::size_t max_messages_in_flight = 8;
  std::size_t snapshot_chunk_bytes = 256U << 10;
};

// What the host has to do, in this order: install the snapshot, write the hard
// state and the entries (cutting the log first at entries.front().index) and
// sync them, send the messages, apply the committed entries.
struct Output {
  std::optional<Snapshot> snapshot_to_install;
  // True if the stored entries after the snapshot belong to another history and
  // must go.
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
  // True if something must be on disk before the messages go out.
  bool has_writes() const {
    return this->snapshot_to_install || this->hard_state ||
           !this->entries_to_write.empty();
  }
};

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_TYPES_H_
