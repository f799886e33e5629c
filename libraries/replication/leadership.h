// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_LEADERSHIP_H_
#define LIBRARIES_REPLICATION_LEADERSHIP_H_

#include <map>
#include <optional>

#include "libraries/replication/types.h"

namespace sumac::replication {

// What a leader knows about one other member.
struct MemberProgress {
  LogIndex next_index;
  LogIndex match_index;
  // False while the leader still looks for the last matching position; then one
  // message at a time.
  bool is_matched = false;
  std::size_t messages_in_flight = 0;
  // When the last answered message was sent; the leader's lease counts from
  // here.
  SteadyTime acknowledged_sent_at{};
  SteadyTime last_answer_at{};
  // Set while a snapshot goes over: which one, the first byte that the member
  // does not have yet, and when the piece from there was sent.
  std::optional<std::uint64_t> snapshot_offset;
  LogIndex snapshot_index;
  SteadyTime chunk_sent_at{};
};

// A leader's view of the other members, and what follows from it.
class Leadership {
 public:
  // Starts a term of leadership at `now`.
  Leadership(SteadyTime now,
             LogIndex last_index,
             const Membership& membership,
             const NodeId& self);

  // Takes in a change of members.
  void UpdateMembers(const Membership& membership,
                     LogIndex last_index,
                     SteadyTime now);

  // The member's progress, or nothing for a node that is no member.
  MemberProgress* Find(const NodeId& node);
  const std::map<NodeId, MemberProgress>& members() const {
    return this->progress;
  }
  std::map<NodeId, MemberProgress>& members() { return this->progress; }

  // The highest position that a quorum holds, `own_index` counting for the
  // leader itself.
  LogIndex QuorumIndex(const Membership& membership, LogIndex own_index) const;

  // The latest time T such that a quorum has answered a message sent at T or
  // later.
  SteadyTime QuorumAcknowledgedAt(const Membership& membership,
                                  SteadyTime now) const;

 private:
  NodeId self;
  std::map<NodeId, MemberProgress> progress;
};

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_LEADERSHIP_H_
