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
    const std::map<NodeId, MemberHealth>& health,
    std::size_t wanted_voters) {
  const auto health_of = [&](const NodeId& node) {
    const auto found = health.find(node);
    return found == health.end() ? MemberHealth{} : found->second;
  };
  const bool has_room =
      wanted_voters == 0 || members.voters.size() < wanted_voters;
  const auto lost = std::find_if(
      members.voters.begin(), members.voters.end(),
      [&](const NodeId& voter) { return health_of(voter).is_lost; });
  Membership next = members;
  for (const NodeId& learner : members.learners) {
    if (!health_of(learner).is_caught_up) {
      continue;
    }
    const auto old = std::find_if(
        members.voters.begin(), members.voters.end(), [&](const NodeId& voter) {
          return ProcessOf(voter) == ProcessOf(learner);
        });
    if (old == members.voters.end() && has_room) {
      next.learners.erase(learner);
      next.voters.insert(learner);
      return next;
    }
    if (old == members.voters.end() && lost != members.voters.end()) {
      next.voters.erase(*lost);
      return next;
    }
    // A voter that still answers is not replaced: two processes under one name
    // are a mistake that an operator has to resolve.
    if (old != members.voters.end() && health_of(*old).is_silent) {
      next.voters.erase(*old);
      return next;
    }
  }
  const auto lost_learner = std::find_if(
      members.learners.begin(), members.learners.end(),
      [&](const NodeId& learner) { return health_of(learner).is_lost; });
  if (wanted_voters > 0 && lost_learner != members.learners.end()) {
    next.learners.erase(*lost_learner);
    return next;
  }
  return std::nullopt;
}

}  // namespace sumac::replication
