// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/leadership.h"

#include <algorithm>

#include "libraries/replication/quorum.h"

namespace sumac::replication {

Leadership::Leadership(SteadyTime now,
                       LogIndex last_index,
                       const Membership& membership,
                       const NodeId& self)
    : self(self) {
  this->UpdateMembers(membership, last_index, now);
}

void Leadership::UpdateMembers(const Membership& membership,
                               LogIndex last_index,
                               SteadyTime now) {
  std::erase_if(this->progress, [&](const auto& member) {
    return !membership.is_member(member.first);
  });
  for (const NodeId& node : membership.AllMembers()) {
    if (node != this->self && !this->progress.contains(node)) {
      this->progress[node] = MemberProgress{.next_index = last_index.Next(),
                                            .last_answer_at = now};
    }
  }
}

MemberProgress* Leadership::Find(const NodeId& node) {
  const auto found = this->progress.find(node);
  return found == this->progress.end() ? nullptr : &found->second;
}

LogIndex Leadership::QuorumIndex(const Membership& membership,
                                 LogIndex own_index) const {
  return ValueOfQuorum(membership, [&](const NodeId& voter) {
    const auto found = this->progress.find(voter);
    if (voter == this->self) {
      return own_index;
    }
    return found == this->progress.end() ? LogIndex()
                                         : found->second.match_index;
  });
}

SteadyTime Leadership::QuorumAcknowledgedAt(const Membership& membership,
                                            SteadyTime now) const {
  return ValueOfQuorum(membership, [&](const NodeId& voter) {
    const auto found = this->progress.find(voter);
    if (voter == this->self) {
      return now;
    }
    return found == this->progress.end() ? SteadyTime()
                                         : found->second.acknowledged_sent_at;
  });
}

}  // namespace sumac::replication
