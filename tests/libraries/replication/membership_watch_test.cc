// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/membership_watch.h"

#include <gtest/gtest.h>

namespace sumac::replication {
namespace {

const NodeId kVoter("a.1");
const NodeId kSilentVoter("b.1");
const NodeId kSpare("c.1");

// A group with a silent voter and a spare.
class MembershipWatchTest : public testing::Test {
 protected:
  MembershipWatchTest() {
    this->health[kVoter] = {.is_caught_up = true, .is_leader = true};
    this->health[kSilentVoter] = {.is_silent = true,
                                  .is_suspected = true,
                                  .silence = Milliseconds(1'600)};
    this->health[kSpare] = {.is_caught_up = true};
  }

  MembershipWatch::News Observe(bool is_committed = true) {
    return this->watch.Observe(this->members, this->health, is_committed);
  }
  // Returns the reason that is reported for the silent voter.
  VoteHold ObserveHold(bool is_committed = true) {
    const auto news = this->Observe(is_committed);
    EXPECT_EQ(news.silent.size(), 1U);
    return news.silent.empty() ? VoteHold::kNone : news.silent.front().hold;
  }

  Membership members{{kVoter, kSilentVoter}, {kSpare}};
  std::map<NodeId, MemberHealth> health;
  MembershipWatch watch;
};

TEST_F(MembershipWatchTest, EachChangeIsReportedOnce) {
  const auto first = this->Observe();
  EXPECT_EQ(first.caught_up, std::vector<NodeId>{kSpare});
  ASSERT_EQ(first.silent.size(), 1U);
  EXPECT_EQ(first.silent.front().node, kSilentVoter);
  EXPECT_EQ(first.silent.front().silence, Milliseconds(1'600));
  const auto second = this->Observe();
  EXPECT_TRUE(second.caught_up.empty());
  EXPECT_TRUE(second.silent.empty());
}

TEST_F(MembershipWatchTest, ASpareThatFellBehindIsReportedAgain) {
  this->Observe();
  this->health[kSpare].is_caught_up = false;
  EXPECT_EQ(this->ObserveHold(), VoteHold::kSpareIsBehind);
  this->health[kSpare].is_caught_up = true;
  EXPECT_EQ(this->Observe().caught_up, std::vector<NodeId>{kSpare});
}

TEST_F(MembershipWatchTest, TheReasonsToKeepAVoteAreToldApart) {
  EXPECT_EQ(this->ObserveHold(false), VoteHold::kChangeIsOpen);
  EXPECT_EQ(this->ObserveHold(), VoteHold::kNone);
  this->health[kSpare].is_caught_up = false;
  EXPECT_EQ(this->ObserveHold(), VoteHold::kSpareIsBehind);
  this->health[kSpare].is_silent = true;
  EXPECT_EQ(this->ObserveHold(), VoteHold::kNoSpare);
  this->health[kSilentVoter].is_suspected = false;
  EXPECT_EQ(this->ObserveHold(), VoteHold::kSilentTooBriefly);
}

TEST_F(MembershipWatchTest, AVoterThatAnswersAgainIsForgotten) {
  this->Observe();
  this->health[kSilentVoter] = {.is_caught_up = true};
  EXPECT_TRUE(this->Observe().silent.empty());
  this->health[kSilentVoter] = {.is_silent = true, .is_suspected = true};
  EXPECT_EQ(this->ObserveHold(), VoteHold::kNone);
}

}  // namespace
}  // namespace sumac::replication
