// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/membership_plan.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libraries/replication/voter_spread.h"

namespace sumac::replication {
namespace {

// Plans one step of a group of known health.
class Planner {
 public:
  Planner(const Membership& members,
          const std::map<NodeId, MemberHealth>& health,
          std::size_t wanted_voters,
          std::size_t tolerated_data_centres)
      : members(members),
        health(health),
        wanted_voters(wanted_voters),
        tolerated(tolerated_data_centres),
        is_spread(wanted_voters > 0 && tolerated_data_centres > 0) {}
  Planner(const Planner&) = delete;
  Planner& operator=(const Planner&) = delete;

  std::optional<Membership> PlanNext() const;

 private:
  MemberHealth HealthOf(const NodeId& node) const {
    return FindHealth(this->health, node);
  }
  VoterSpread SpreadAfter(const NodeId* removed, const NodeId* added) const;
  const NodeId* FindVoterOfSameProcess(const NodeId& learner) const;
  const NodeId* FindReplaceableVoter(const NodeId* successor) const;
  std::vector<NodeId> OrderLearners() const;
  bool AreVotersWell() const;
  bool CanExchange(const NodeId& leaving, const NodeId& entering) const;
  std::optional<Membership> PlanForLearners() const;
  std::optional<Membership> PlanSpread() const;
  std::optional<Membership> WithoutSurplusVoter() const;
  const NodeId* FindVoterForSpread(const NodeId* successor) const;
  Membership WithExchange(const NodeId& leaving, const NodeId& entering) const;
  Membership WithExchangeEnded() const;
  Membership WithPromoted(const NodeId& learner) const;
  Membership WithoutVoter(const NodeId& voter) const;
  Membership WithDemoted(const NodeId& voter) const;

  const Membership& members;
  const std::map<NodeId, MemberHealth>& health;
  std::size_t wanted_voters;
  std::size_t tolerated;
  // Whether the voters are to be spread over data centres.
  bool is_spread;
};

// Returns the spread of the voters without `removed` and with `added`, each if
// it isn't null.
VoterSpread Planner::SpreadAfter(const NodeId* removed,
                                 const NodeId* added) const {
  if (!this->is_spread) {
    return {};
  }
  std::set<NodeId> voters = this->members.voters;
  if (removed != nullptr) {
    voters.erase(*removed);
  }
  if (added != nullptr) {
    voters.insert(*added);
  }
  return SpreadOf(voters, [this](const NodeId& node) {
    return this->HealthOf(node).data_centre;
  });
}

Membership Planner::WithPromoted(const NodeId& learner) const {
  Membership next = this->members;
  next.learners.erase(learner);
  next.voters.insert(learner);
  return next;
}

Membership Planner::WithoutVoter(const NodeId& voter) const {
  Membership next = this->members;
  next.voters.erase(voter);
  return next;
}

// Takes a voter's vote. A voter that is not lost remains a member.
Membership Planner::WithDemoted(const NodeId& voter) const {
  Membership next = this->WithoutVoter(voter);
  if (!this->HealthOf(voter).is_lost) {
    next.learners.insert(voter);
  }
  return next;
}

// Returns true if every voter that has to count joint quorums does so. The one
// that leaves doesn't: by the entry of the exchange it is no voter to a program
// that doesn't know them, and so never stands for election by it.
bool Planner::CanExchange(const NodeId& leaving, const NodeId& entering) const {
  return this->HealthOf(entering).supports_joint_quorums &&
         std::all_of(this->members.voters.begin(), this->members.voters.end(),
                     [&](const NodeId& voter) {
                       return voter == leaving ||
                              this->HealthOf(voter).supports_joint_quorums;
                     });
}

// Begins the exchange of a voter for a learner.
Membership Planner::WithExchange(const NodeId& leaving,
                                 const NodeId& entering) const {
  Membership next = this->WithPromoted(entering);
  next.voters.erase(leaving);
  next.outgoing_voters = this->members.voters;
  return next;
}

// Ends the exchange that is under way.
Membership Planner::WithExchangeEnded() const {
  const auto only_in = [](const std::set<NodeId>& voters,
                          const std::set<NodeId>& others) {
    return *std::find_if(
        voters.begin(), voters.end(),
        [&](const NodeId& voter) { return !others.contains(voter); });
  };
  const std::set<NodeId>& after = this->members.voters;
  const std::set<NodeId>& before = this->members.outgoing_voters;
  const NodeId entering = only_in(after, before);
  const NodeId leaving = only_in(before, after);
  const bool is_taken_back = this->HealthOf(leaving).is_leader ||
                             (this->HealthOf(leaving).is_caught_up &&
                              this->HealthOf(entering).is_silent);
  Membership next{.voters = is_taken_back ? before : after,
                  .learners = this->members.learners};
  const NodeId& without_vote = is_taken_back ? entering : leaving;
  const bool has_successor = ProcessOf(entering) == ProcessOf(leaving);
  if (!this->HealthOf(without_vote).is_lost &&
      (is_taken_back || !has_successor)) {
    next.learners.insert(without_vote);
  }
  return next;
}

const NodeId* Planner::FindVoterOfSameProcess(const NodeId& learner) const {
  const auto found =
      std::find_if(this->members.voters.begin(), this->members.voters.end(),
                   [&](const NodeId& voter) {
                     return ProcessOf(voter) == ProcessOf(learner);
                   });
  return found == this->members.voters.end() ? nullptr : &*found;
}

// Returns the voter that is best replaced by `successor` among those that may
// lose their vote, or null: the one that improves the spread most, then the one
// that is silent longest.
const NodeId* Planner::FindReplaceableVoter(const NodeId* successor) const {
  const NodeId* best = nullptr;
  std::pair<VoterSpread, Milliseconds> best_rank;
  for (const NodeId& voter : this->members.voters) {
    const MemberHealth health = this->HealthOf(voter);
    if (!health.may_lose_vote()) {
      continue;
    }
    std::pair rank(this->SpreadAfter(&voter, successor), -health.silence);
    if (best == nullptr || rank < best_rank) {
      best = &voter;
      best_rank = std::move(rank);
    }
  }
  return best;
}

// Returns the learners, those that lead to the best spread first, and of these
// the oldest members.
std::vector<NodeId> Planner::OrderLearners() const {
  std::vector<NodeId> order(this->members.learners.begin(),
                            this->members.learners.end());
  std::stable_sort(order.begin(), order.end(),
                   [this](const NodeId& one, const NodeId& other) {
                     return this->HealthOf(one).member_since <
                            this->HealthOf(other).member_since;
                   });
  if (this->is_spread) {
    const auto spread_with = [this](const NodeId& learner) {
      return this->SpreadAfter(this->FindReplaceableVoter(&learner), &learner);
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](const NodeId& one, const NodeId& other) {
                       return spread_with(one) < spread_with(other);
                     });
  }
  return order;
}

// Returns true if every voter is well and its data centre is known, so that
// the group can bear an exchange.
bool Planner::AreVotersWell() const {
  return std::all_of(this->members.voters.begin(), this->members.voters.end(),
                     [this](const NodeId& voter) {
                       const MemberHealth health = this->HealthOf(voter);
                       return health.is_caught_up && !health.is_silent &&
                              !health.may_lose_vote() &&
                              !health.data_centre.value().empty();
                     });
}

// Promotes a learner that has caught up, or begins its exchange for the voter
// whose place it is to take.
std::optional<Membership> Planner::PlanForLearners() const {
  const bool has_room = this->wanted_voters == 0 ||
                        this->members.voters.size() < this->wanted_voters;
  for (const NodeId& learner : this->OrderLearners()) {
    const NodeId* old = this->FindVoterOfSameProcess(learner);
    const MemberHealth health = this->HealthOf(learner);
    const bool can_enter_behind = old != nullptr && health.is_answering &&
                                  this->CanExchange(*old, learner);
    if (!health.is_caught_up && !can_enter_behind) {
      continue;
    }
    if (old == nullptr && has_room) {
      return this->WithPromoted(learner);
    }
    const NodeId* replaced = this->FindReplaceableVoter(&learner);
    if (old == nullptr && replaced != nullptr) {
      return this->CanExchange(*replaced, learner)
                 ? this->WithExchange(*replaced, learner)
                 : this->WithDemoted(*replaced);
    }
    // A voter that still answers is not replaced: two processes under one name
    // are a mistake that an operator has to resolve.
    if (old != nullptr && this->HealthOf(*old).is_silent) {
      return this->CanExchange(*old, learner)
                 ? this->WithExchange(*old, learner)
                 : this->WithoutVoter(*old);
    }
  }
  return std::nullopt;
}

// Removes a voter beyond the wanted number.
std::optional<Membership> Planner::WithoutSurplusVoter() const {
  if (const NodeId* replaced = this->FindReplaceableVoter(nullptr)) {
    return this->WithDemoted(*replaced);
  }
  if (!this->AreVotersWell()) {
    return std::nullopt;
  }
  const NodeId* best = this->FindVoterForSpread(nullptr);
  return best == nullptr ? std::nullopt
                         : std::optional(this->WithDemoted(*best));
}

// Returns the voter other than the leader without which, and with `successor`
// if it isn't null, the spread is best; null if there is none.
const NodeId* Planner::FindVoterForSpread(const NodeId* successor) const {
  const NodeId* best = nullptr;
  VoterSpread best_spread;
  for (const NodeId& voter : this->members.voters) {
    if (this->HealthOf(voter).is_leader) {
      continue;
    }
    VoterSpread spread = this->SpreadAfter(&voter, successor);
    if (best == nullptr || spread < best_spread) {
      best = &voter;
      best_spread = std::move(spread);
    }
  }
  return best;
}

// Begins the exchange of a voter for a learner that improves the spread.
std::optional<Membership> Planner::PlanSpread() const {
  if (this->members.voters.size() > this->wanted_voters) {
    return this->WithoutSurplusVoter();
  }
  if (this->members.voters.size() < this->wanted_voters ||
      !this->AreVotersWell()) {
    return std::nullopt;
  }
  const VoterSpread present = this->SpreadAfter(nullptr, nullptr);
  if (SurvivesLoss(present, this->tolerated)) {
    return std::nullopt;
  }
  for (const NodeId& learner : this->OrderLearners()) {
    const MemberHealth health = this->HealthOf(learner);
    if (!health.is_caught_up || health.data_centre.value().empty() ||
        this->FindVoterOfSameProcess(learner) != nullptr) {
      continue;
    }
    const NodeId* leaving = this->FindVoterForSpread(&learner);
    if (leaving != nullptr && this->SpreadAfter(leaving, &learner) < present) {
      return this->CanExchange(*leaving, learner)
                 ? this->WithExchange(*leaving, learner)
                 : this->WithPromoted(learner);
    }
  }
  return std::nullopt;
}

std::optional<Membership> Planner::PlanNext() const {
  if (this->members.is_joint()) {
    return this->WithExchangeEnded();
  }
  if (auto next = this->PlanForLearners()) {
    return next;
  }
  if (this->is_spread) {
    if (auto next = this->PlanSpread()) {
      return next;
    }
  }
  const auto lost_learner =
      std::find_if(this->members.learners.begin(), this->members.learners.end(),
                   [this](const NodeId& learner) {
                     return this->HealthOf(learner).is_lost;
                   });
  if (this->wanted_voters > 0 && lost_learner != this->members.learners.end()) {
    Membership next = this->members;
    next.learners.erase(*lost_learner);
    return next;
  }
  return std::nullopt;
}

}  // namespace

MemberHealth FindHealth(const std::map<NodeId, MemberHealth>& health,
                        const NodeId& node) {
  const auto found = health.find(node);
  return found == health.end() ? MemberHealth{} : found->second;
}

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
    std::size_t wanted_voters,
    std::size_t tolerated_data_centres) {
  return Planner(members, health, wanted_voters, tolerated_data_centres)
      .PlanNext();
}

}  // namespace sumac::replication
