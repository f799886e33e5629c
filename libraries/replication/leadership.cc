// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/leadership.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace sumac::replication {
namespace {

// Returns the largest value that at least `quorum` of `values` reach or exceed.
template <typename T>
T ValueReachedBy(std::vector<T> values, std::size_t quorum) {
  if (values.size() < quorum || quorum == 0) {
    return T{};
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[quorum - 1];
}

}  // namespace

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
  const auto add = [&](const NodeId& node) {
    if (node != this->self && !this->progress.contains(node)) {
      this->progress[node] = MemberProgress{.next_index = last_index.Next(),
                                            .last_answer_at = now};
    }
  };
  std::for_each(membership.voters.begin(), membership.voters.end(), add);
  std::for_each(membership.learners.begin(), membership.learners.end(), add);
}

MemberProgress* Leadership::Find(const NodeId& node) {
  const auto found = this->progress.find(node);
  return found == this->progress.end() ? nullptr : &found->second;
}

LogIndex Leadership::QuorumIndex(const Membership& membership,
                                 LogIndex own_index) const {
  std::vector<LogIndex> indexes;
  for (const NodeId& voter : membership.voters) {
    const auto found = this->progress.find(voter);
    if (voter == this->self) {
      indexes.push_back(own_index);
    } else if (found != this->progress.end()) {
      indexes.push_back(found->second.match_index);
    }
  }
  return ValueReachedBy(std::move(indexes), membership.quorum());
}

SteadyTime Leadership::QuorumAcknowledgedAt(const Membership& membership,
                                            SteadyTime now) const {
  std::vector<SteadyTime> times;
  for (const NodeId& voter : membership.voters) {
    const auto found = this->progress.find(voter);
    if (voter == this->self) {
      times.push_back(now);
    } else if (found != this->progress.end()) {
      times.push_back(found->second.acknowledged_sent_at);
    }
  }
  return ValueReachedBy(std::move(times), membership.quorum());
}

}  // namespace sumac::replication
