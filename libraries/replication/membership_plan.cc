// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/membership_plan.h"

#include <algorithm>
#include <utility>

namespace sumac::replication {

ProcessName ProcessOf(const NodeId& node) {
  return ProcessName(node.value().substr(0, node.value().rfind('.')));
}

Membership WithLearner(Membership members, const NodeId& node) {
  std::erase_if(members.learners, [&](const NodeId& learner) {
    return ProcessOf(learner) == ProcessOf(node);
  });
  members.learners.insert(node);
  return members;
}

std::optional<Membership> PlanNextMembers(
    const Membership& members,
    const std::map<NodeId, MemberHealth>& health) {
  const auto health_of = [&](const NodeId& node) {
    const auto found = health.find(node);
    return found == health.end() ? MemberHealth{} : found->second;
  };
  for (const NodeId& learner : members.learners) {
    if (!health_of(learner).is_caught_up) {
      continue;
    }
    const auto old = std::find_if(
        members.voters.begin(), members.voters.end(), [&](const NodeId& voter) {
          return ProcessOf(voter) == ProcessOf(learner);
        });
    Membership next = members;
    if (old == members.voters.end()) {
      next.learners.erase(learner);
      next.voters.insert(learner);
      return next;
    }
    // A voter that still answers is not replaced: two processes under one name
    // are a mistake that an operator must look at.
    if (health_of(*old).is_silent) {
      next.voters.erase(*old);
      return next;
    }
  }
  return std::nullopt;
}

}  // namespace sumac::replication
