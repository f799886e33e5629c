// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_LEADERSHIP_H_
#define LIBRARIES_REPLICATION_LEADERSHIP_H_

#include <map>
#include <optional>

#include "libraries/replication/types.h"

namespace sumac::replication {

// A leader's replication progress for one other member.
struct MemberProgress {
  LogIndex next_index;
  LogIndex match_index;
  // False while the leader is still searching for the last matching position;
  // until then it sends one message at a time.
  bool is_matched = false;
  std::size_t messages_in_flight = 0;
  // The time at which the last message with entries was sent.
  SteadyTime entries_sent_at{};
  // The time since which the leader searches for the last matching position.
  SteadyTime search_began_at{};
  // The time at which the last answered message was sent. The leader's lease
  // counts from this time.
  SteadyTime acknowledged_sent_at{};
  SteadyTime last_answer_at{};
  // False once the member has answered as a program that doesn't know them.
  bool supports_joint_quorums = true;
  // Set while a snapshot is being sent: the first byte that the member does not
  // have yet.
  std::optional<std::uint64_t> snapshot_offset;
  // The position of the snapshot that is being sent.
  LogIndex snapshot_index;
  // The first byte of the snapshot that was not sent yet.
  std::uint64_t snapshot_sent_until = 0;
  // The time at which the last chunk was sent.
  SteadyTime chunk_sent_at{};
};

// A leader's progress for each other member, and the quorums that result from
// it.
class Leadership {
 public:
  // Starts a term of leadership at `now`.
  Leadership(SteadyTime now,
             LogIndex last_index,
             const Membership& membership,
             const NodeId& self);

  // Applies a change of members.
  void UpdateMembers(const Membership& membership,
                     LogIndex last_index,
                     SteadyTime now);

  // Returns the member's progress, or null for a node that is no member.
  MemberProgress* Find(const NodeId& node);
  const std::map<NodeId, MemberProgress>& members() const {
    return this->progress;
  }
  std::map<NodeId, MemberProgress>& members() { return this->progress; }

  // Returns the highest position that a quorum holds. `own_index` is the
  // position that the leader itself holds.
  LogIndex QuorumIndex(const Membership& membership, LogIndex own_index) const;

  // Returns the latest time T such that a quorum has answered a message sent at
  // T or later.
  SteadyTime QuorumAcknowledgedAt(const Membership& membership,
                                  SteadyTime now) const;

 private:
  NodeId self;
  std::map<NodeId, MemberProgress> progress;
};

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_LEADERSHIP_H_
