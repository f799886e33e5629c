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

TEST(MembershipPlanTest, ALearnerThatLostItsDiskAgainGivesWay) {
  const NodeId later("c3.1790000009999");
  const Membership members = WithLearner(MakeMembers(), later);
  EXPECT_EQ(members.learners, std::set<NodeId>{later});
  EXPECT_TRUE(members.is_voter(kOld));
}

}  // namespace
}  // namespace sumac::replication
