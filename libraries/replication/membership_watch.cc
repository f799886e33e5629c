// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/membership_watch.h"

#include <algorithm>
#include <utility>

namespace sumac::replication {
namespace {

// Returns the reason that holds for all silent voters alike, or kNone.
VoteHold FindSharedHold(const Membership& members,
                        const std::map<NodeId, MemberHealth>& health,
                        bool is_committed) {
  if (!is_committed) {
    return VoteHold::kChangeIsOpen;
  }
  const auto has_learner = [&](auto holds) {
    return std::any_of(members.learners.begin(), members.learners.end(),
                       [&](const NodeId& learner) {
                         return holds(FindHealth(health, learner));
                       });
  };
  if (!has_learner([](const auto& learner) { return !learner.is_silent; })) {
    return VoteHold::kNoSpare;
  }
  return has_learner([](const auto& learner) { return learner.is_caught_up; })
             ? VoteHold::kNone
             : VoteHold::kSpareIsBehind;
}

}  // namespace

MembershipWatch::News MembershipWatch::Observe(
    const Membership& members,
    const std::map<NodeId, MemberHealth>& health,
    bool is_committed) {
  News news;
  std::set<NodeId> now_caught_up;
  for (const NodeId& learner : members.learners) {
    if (!FindHealth(health, learner).is_caught_up) {
      continue;
    }
    now_caught_up.insert(learner);
    if (!this->caught_up.contains(learner)) {
      news.caught_up.push_back(learner);
    }
  }
  const VoteHold shared = FindSharedHold(members, health, is_committed);
  std::map<NodeId, VoteHold> now_held;
  for (const NodeId& voter : members.AllVoters()) {
    const MemberHealth voter_health = FindHealth(health, voter);
    if (!voter_health.is_silent) {
      continue;
    }
    const VoteHold hold =
        voter_health.may_lose_vote() ? shared : VoteHold::kSilentTooBriefly;
    now_held[voter] = hold;
    const auto before = this->holds.find(voter);
    if (before == this->holds.end() || before->second != hold) {
      news.silent.push_back({voter, voter_health.silence, hold});
    }
  }
  this->caught_up = std::move(now_caught_up);
  this->holds = std::move(now_held);
  return news;
}

}  // namespace sumac::replication
