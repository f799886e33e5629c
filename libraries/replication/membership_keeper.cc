// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/membership_keeper.h"

#include <map>
#include <utility>

namespace sumac::replication {
namespace {

// A replica that has been silent for this long may be replaced by the new
// replica of its process, whose existence proves that the old one is gone.
constexpr Milliseconds kSilentTime{1'000};
// A voter that has been silent for this long gives its vote to a spare. Longer
// than a connection that fell silent takes to be dropped and opened again.
constexpr Milliseconds kSuspectedTime{1'500};
// A replica that has been silent for this long is removed from the group.
// Longer than a restart or a short network partition, after which it continues
// as a learner.
constexpr Milliseconds kLostTime{8'000};

// A replica without contact to a leader for this long asks to join again.
// Longer than most elections.
constexpr Milliseconds kRejoinTime{1'500};

}  // namespace

std::set<ProcessName> ControllersToAsk(const ProcessName& self,
                                       const std::vector<ProcessName>& known,
                                       const Membership& members) {
  std::set<ProcessName> asked(known.begin(), known.end());
  for (const NodeId& voter : members.AllVoters()) {
    asked.insert(ProcessOf(voter));
  }
  asked.erase(self);
  return asked;
}

MembershipKeeper::MembershipKeeper(std::size_t wanted_voters,
                                   std::size_t tolerated_data_centres,
                                   DataCentreOf data_centre_of)
    : wanted_voters(wanted_voters),
      tolerated_data_centres(tolerated_data_centres),
      data_centre_of(std::move(data_centre_of)) {}

MemberHealth MembershipKeeper::HealthOf(const Replica& replica,
                                        const NodeId& member) const {
  if (member == replica.self()) {
    return {.is_caught_up = true,
            .is_leader = true,
            .supports_joint_quorums = true,
            .data_centre = this->data_centre_of(member)};
  }
  const auto& members = replica.leadership()->members();
  const auto found = members.find(member);
  if (found == members.end()) {
    return {};
  }
  MemberHealth health;
  health.silence = replica.silence().SilenceOf(member);
  health.is_silent = health.silence > kSilentTime;
  health.is_suspected = health.silence > kSuspectedTime;
  health.is_lost = health.silence > kLostTime;
  health.is_caught_up =
      !health.is_silent && this->catch_up_tracker.HasCaughtUp(
                               replica.term(), found->second.match_index);
  health.is_answering =
      !health.is_silent && found->second.acknowledged_sent_at != SteadyTime{};
  health.supports_joint_quorums = found->second.supports_joint_quorums;
  health.member_since = replica.MemberSince(member);
  health.data_centre = this->data_centre_of(member);
  return health;
}

bool MembershipKeeper::ShouldRequestToJoin(const Replica& replica,
                                           SteadyTime now) const {
  if (replica.membership().voters.empty()) {
    return true;
  }
  return this->wanted_voters > 0 && replica.role() != Role::kLeader &&
         now - replica.last_leader_contact_at() > kRejoinTime;
}

std::map<NodeId, MemberHealth> MembershipKeeper::HealthOfAll(
    const Replica& replica) const {
  std::map<NodeId, MemberHealth> health;
  for (const NodeId& node : replica.membership().AllMembers()) {
    health[node] = this->HealthOf(replica, node);
  }
  return health;
}

std::optional<Membership> MembershipKeeper::Check(
    const Replica& replica,
    const std::map<NodeId, MemberHealth>& health) {
  if (!replica.is_membership_committed()) {
    return std::nullopt;
  }
  this->catch_up_tracker.RecordCommitIndex(replica.term(),
                                           replica.commit_index());
  return PlanNextMembers(replica.membership(), health, this->wanted_voters,
                         this->tolerated_data_centres);
}

}  // namespace sumac::replication
