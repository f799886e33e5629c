// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/membership_plan.h"

#include <gtest/gtest.h>

namespace sumac::replication {
namespace {

const NodeId kOld("c3.1");
const NodeId kNew("c3.1790000000000");

Membership MakeMembers() {
  return Membership{{NodeId("c1.1"), NodeId("c2.1"), kOld}, {kNew}};
}

TEST(MembershipPlanTest, ALostDiskIsReplacedOneVoterAtATime) {
  Membership members = MakeMembers();
  const std::map<NodeId, MemberHealth> health = {{kNew, {.is_caught_up = true}},
                                                 {kOld, {.is_silent = true}}};
  const auto without_old = PlanNextMembers(members, health);
  ASSERT_TRUE(without_old);
  EXPECT_FALSE(without_old->is_member(kOld));
  EXPECT_FALSE(without_old->is_voter(kNew));
  const auto with_new = PlanNextMembers(*without_old, health);
  ASSERT_TRUE(with_new);
  EXPECT_TRUE(with_new->is_voter(kNew));
  EXPECT_FALSE(PlanNextMembers(*with_new, health));
}

TEST(MembershipPlanTest, NothingChangesBeforeTheLearnerHasCaughtUp) {
  EXPECT_FALSE(PlanNextMembers(MakeMembers(),
                               {{kNew, {}}, {kOld, {.is_silent = true}}}));
}

TEST(MembershipPlanTest, AVoterThatAnswersIsNotReplacedByANamesake) {
  EXPECT_FALSE(PlanNextMembers(MakeMembers(),
                               {{kNew, {.is_caught_up = true}}, {kOld, {}}}));
}

TEST(MembershipPlanTest, ALearnerThatLostItsDiskAgainIsReplaced) {
  const NodeId later("c3.1790000009999");
  const Membership members = WithLearner(MakeMembers(), later);
  EXPECT_EQ(members.learners, std::set<NodeId>{later});
  EXPECT_TRUE(members.is_voter(kOld));
}

TEST(MembershipPlanTest, AGroupGrowsOnlyToItsWantedSize) {
  Membership members{{NodeId("c1.1"), NodeId("c2.1")},
                     {NodeId("c3.1"), NodeId("c4.1")}};
  std::map<NodeId, MemberHealth> health;
  for (const char* node : {"c1.1", "c2.1", "c3.1", "c4.1"}) {
    health[NodeId(node)] = {.is_caught_up = true};
  }
  constexpr std::size_t kWanted = 3;
  const auto grown = PlanNextMembers(members, health, kWanted);
  ASSERT_TRUE(grown);
  EXPECT_EQ(grown->voters.size(), kWanted);
  EXPECT_FALSE(PlanNextMembers(*grown, health, kWanted));
}

TEST(MembershipPlanTest, ASpareTakesThePlaceOfALostVoter) {
  const Membership members{{NodeId("c1.1"), NodeId("c2.1"), NodeId("c3.1")},
                           {NodeId("c4.1")}};
  std::map<NodeId, MemberHealth> health = {
      {NodeId("c1.1"), {.is_caught_up = true}},
      {NodeId("c2.1"), {.is_caught_up = true}},
      {NodeId("c3.1"), {.is_silent = true}},
      {NodeId("c4.1"), {.is_caught_up = true}}};
  constexpr std::size_t kWanted = 3;
  // Silence alone may be a short cut.
  EXPECT_FALSE(PlanNextMembers(members, health, kWanted));
  health[NodeId("c3.1")].is_lost = true;
  const auto without = PlanNextMembers(members, health, kWanted);
  ASSERT_TRUE(without);
  EXPECT_FALSE(without->is_member(NodeId("c3.1")));
  const auto with_spare = PlanNextMembers(*without, health, kWanted);
  ASSERT_TRUE(with_spare);
  EXPECT_TRUE(with_spare->is_voter(NodeId("c4.1")));
}

TEST(MembershipPlanTest, ALostVoterStaysWhileNothingReplacesIt) {
  const Membership members{{NodeId("c1.1"), NodeId("c2.1"), NodeId("c3.1")},
                           {}};
  EXPECT_FALSE(PlanNextMembers(
      members, {{NodeId("c3.1"), {.is_silent = true, .is_lost = true}}}, 3));
}

}  // namespace
}  // namespace sumac::replication
