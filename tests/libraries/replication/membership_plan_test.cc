// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/membership_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "libraries/base/text.h"
#include "libraries/replication/voter_spread.h"

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

// Guards against a vote that nobody has for as long as the state takes to be
// sent: the disk of the old replica is gone, whether the new one has caught up
// or not.
TEST(MembershipPlanTest, TheVoteOfALostDiskDoesNotWaitForTheState) {
  std::map<NodeId, MemberHealth> health = {
      {NodeId("c1.1"), {.supports_joint_quorums = true}},
      {NodeId("c2.1"), {.supports_joint_quorums = true}},
      {kOld, {.is_silent = true}},
      {kNew, {.is_answering = true, .supports_joint_quorums = true}}};
  const auto joint = PlanNextMembers(MakeMembers(), health);
  ASSERT_TRUE(joint);
  EXPECT_TRUE(joint->voters.contains(kNew));
  EXPECT_TRUE(joint->outgoing_voters.contains(kOld));
  const auto ended = PlanNextMembers(*joint, health);
  ASSERT_TRUE(ended);
  EXPECT_TRUE(ended->voters.contains(kNew));
  EXPECT_FALSE(ended->is_member(kOld));
  // Without joint quorums a step would lower the number of voters.
  health[NodeId("c1.1")].supports_joint_quorums = false;
  EXPECT_FALSE(PlanNextMembers(MakeMembers(), health));
}

// Guards against a vote that is taken from a voter whose disk is there for one
// that has not caught up.
TEST(MembershipPlanTest, AVoterThatIsAwayWaitsForASpareThatHasCaughtUp) {
  const Membership members{{NodeId("c1.1"), NodeId("c2.1"), NodeId("c3.1")},
                           {NodeId("c4.1")}};
  std::map<NodeId, MemberHealth> health = {
      {NodeId("c1.1"), {.supports_joint_quorums = true}},
      {NodeId("c2.1"), {.supports_joint_quorums = true}},
      {NodeId("c3.1"), {.is_silent = true, .is_suspected = true}},
      {NodeId("c4.1"), {.is_answering = true, .supports_joint_quorums = true}}};
  constexpr std::size_t kWanted = 3;
  EXPECT_FALSE(PlanNextMembers(members, health, kWanted));
  health[NodeId("c4.1")].is_caught_up = true;
  EXPECT_TRUE(PlanNextMembers(members, health, kWanted));
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
  // A voter that is merely silent may be cut off for a short time only.
  EXPECT_FALSE(PlanNextMembers(members, health, kWanted));
  health[NodeId("c3.1")].is_lost = true;
  const auto without = PlanNextMembers(members, health, kWanted);
  ASSERT_TRUE(without);
  EXPECT_FALSE(without->is_member(NodeId("c3.1")));
  const auto with_spare = PlanNextMembers(*without, health, kWanted);
  ASSERT_TRUE(with_spare);
  EXPECT_TRUE(with_spare->is_voter(NodeId("c4.1")));
}

// Guards against a voter that only paused and then knows nothing of the group.
TEST(MembershipPlanTest, ASuspectedVoterRemainsAMember) {
  const Membership members{{NodeId("c1.1"), NodeId("c2.1"), NodeId("c3.1")},
                           {NodeId("c4.1")}};
  std::map<NodeId, MemberHealth> health = {
      {NodeId("c1.1"), {.is_caught_up = true}},
      {NodeId("c2.1"), {.is_caught_up = true}},
      {NodeId("c3.1"), {.is_silent = true, .is_suspected = true}},
      {NodeId("c4.1"), {.is_caught_up = true}}};
  constexpr std::size_t kWanted = 3;
  const auto demoted = PlanNextMembers(members, health, kWanted);
  ASSERT_TRUE(demoted);
  EXPECT_FALSE(demoted->is_voter(NodeId("c3.1")));
  EXPECT_TRUE(demoted->is_member(NodeId("c3.1")));
  const auto with_spare = PlanNextMembers(*demoted, health, kWanted);
  ASSERT_TRUE(with_spare);
  EXPECT_TRUE(with_spare->is_voter(NodeId("c4.1")));
  // It is the next spare once it answers.
  health[NodeId("c3.1")] = {.is_caught_up = true};
  EXPECT_FALSE(PlanNextMembers(*with_spare, health, kWanted));
  health[NodeId("c2.1")] = {.is_silent = true, .is_suspected = true};
  const auto next = PlanNextMembers(*with_spare, health, kWanted);
  ASSERT_TRUE(next);
  EXPECT_FALSE(next->is_voter(NodeId("c2.1")));
}

// Guards against a group that gives up the vote of a controller that paused
// while the vote of a dead one stays.
TEST(MembershipPlanTest, TheVoterThatIsSilentLongestIsReplacedFirst) {
  const Membership members{
      {NodeId("c1.1"), NodeId("c2.1"), NodeId("c3.1"), NodeId("c4.1")},
      {NodeId("c5.1")}};
  const std::map<NodeId, MemberHealth> health = {
      {NodeId("c1.1"), {.is_caught_up = true}},
      {NodeId("c2.1"), {.is_suspected = true, .silence = Milliseconds(1'600)}},
      {NodeId("c3.1"), {.is_suspected = true, .silence = Milliseconds(2'600)}},
      {NodeId("c4.1"), {.is_caught_up = true}},
      {NodeId("c5.1"), {.is_caught_up = true}}};
  const auto next = PlanNextMembers(members, health, members.voters.size());
  ASSERT_TRUE(next);
  EXPECT_TRUE(next->is_voter(NodeId("c2.1")));
  EXPECT_FALSE(next->is_voter(NodeId("c3.1")));
}

TEST(MembershipPlanTest, ALostVoterStaysWhileNothingReplacesIt) {
  const Membership members{{NodeId("c1.1"), NodeId("c2.1"), NodeId("c3.1")},
                           {}};
  EXPECT_FALSE(PlanNextMembers(
      members, {{NodeId("c3.1"), {.is_silent = true, .is_lost = true}}}, 3));
}

// A group of controllers, each named after its data centre and a number, for
// example "a1".
class SpreadGroup {
 public:
  SpreadGroup(const std::vector<std::string>& voters,
              const std::vector<std::string>& learners) {
    for (const std::string& name : voters) {
      this->members.voters.insert(this->Add(name));
    }
    for (const std::string& name : learners) {
      this->members.learners.insert(this->Add(name));
    }
    this->health[*this->members.voters.begin()].is_leader = true;
  }
  NodeId Add(const std::string& name) {
    NodeId node(StrCat(name, ".1"));
    this->health[node] = {.is_caught_up = true,
                          .data_centre = DataCentre(name.substr(0, 1))};
    return node;
  }
  void Lose(const std::string& data_centre) {
    for (auto& [node, health] : this->health) {
      if (node.value().starts_with(data_centre)) {
        health = {.is_silent = true,
                  .is_lost = true,
                  .data_centre = DataCentre(data_centre)};
      }
    }
  }
  // Takes all steps. Returns the smallest and the largest number of voters on
  // the way.
  std::pair<std::size_t, std::size_t> Settle(std::size_t wanted,
                                             std::size_t tolerated) {
    std::pair<std::size_t, std::size_t> sizes(this->members.voters.size(),
                                              this->members.voters.size());
    constexpr int kMostSteps = 60;
    for (int step = 0; step < kMostSteps; ++step) {
      const auto next =
          PlanNextMembers(this->members, this->health, wanted, tolerated);
      if (!next) {
        return sizes;
      }
      std::vector<NodeId> changed;
      std::set_symmetric_difference(this->members.voters.begin(),
                                    this->members.voters.end(),
                                    next->voters.begin(), next->voters.end(),
                                    std::back_inserter(changed));
      EXPECT_LE(changed.size(), 1U);
      this->members = *next;
      sizes.first = std::min(sizes.first, next->voters.size());
      sizes.second = std::max(sizes.second, next->voters.size());
    }
    ADD_FAILURE() << "it never settles";
    return sizes;
  }
  VoterSpread Spread() const {
    return SpreadOf(this->members.voters, [](const NodeId& node) {
      return DataCentre(node.value().substr(0, 1));
    });
  }

  Membership members;
  std::map<NodeId, MemberHealth> health;
};

constexpr std::size_t kFive = 5;

TEST(MembershipPlanTest, VotersAreSpreadOverDataCentres) {
  struct Case {
    std::vector<std::string> voters;
    std::vector<std::string> learners;
    VoterSpread spread;
  };
  const std::vector<Case> cases = {
      // The group grows from one voter.
      {{"a1"}, {"a2", "a3", "b1", "b2", "c1"}, {2, 2, 1}},
      {{"a1"}, {"a2", "b1", "b2", "c1"}, {2, 2, 1}},
      // A learner in another data centre takes the place of a voter.
      {{"a1", "a2", "a3", "b1", "c1"}, {"b2"}, {2, 2, 1}},
      {{"a1", "a2", "a3", "a4", "a5"}, {"b1", "b2", "c1", "c2"}, {2, 2, 1}},
      {{"a1", "a2", "a3", "b1", "b2"}, {"c1"}, {2, 2, 1}},
      // Nothing is exchanged where a majority survives any loss, or where no
      // learner improves the spread.
      {{"a1", "a2", "b1", "b2", "c1"}, {"a3", "c2"}, {2, 2, 1}},
      {{"a1", "a2", "a3", "b1", "c1"}, {"a4"}, {3, 1, 1}},
      {{"a1", "a2", "a3", "b1", "b2"}, {}, {3, 2}},
  };
  for (const Case& example : cases) {
    SpreadGroup group(example.voters, example.learners);
    group.Settle(kFive, 1);
    EXPECT_EQ(group.Spread(), example.spread)
        << example.voters.back() << " " << example.learners.size();
    EXPECT_TRUE(group.members.is_voter(NodeId("a1.1")));
  }
}

TEST(MembershipPlanTest, TheVotersOfALostDataCentreAreReplacedApart) {
  SpreadGroup group({"a1", "a2", "b1", "b2", "c1"}, {"a3", "c2", "c3", "b3"});
  group.Lose("b");
  group.Settle(kFive, 1);
  EXPECT_EQ(group.Spread(), (VoterSpread{3, 2}));
  for (const char* name : {"b1", "b2", "b3"}) {
    EXPECT_FALSE(group.members.is_member(NodeId(StrCat(name, ".1"))));
  }
  // Once it is back, no data centre keeps a majority.
  for (const char* name : {"b1", "b2"}) {
    group.members.learners.insert(group.Add(name));
  }
  group.Settle(kFive, 1);
  EXPECT_EQ(group.Spread(), (VoterSpread{2, 2, 1}));
}

TEST(MembershipPlanTest, NoVoterIsExchangedWhileAnotherIsSilent) {
  SpreadGroup group({"a1", "a2", "a3", "b1", "c1"}, {"b2"});
  group.health[NodeId("c1.1")].is_silent = true;
  EXPECT_FALSE(PlanNextMembers(group.members, group.health, kFive, 1));
}

TEST(MembershipPlanTest, NoVoterIsExchangedWhileDataCentresAreNotKnown) {
  const std::vector<std::vector<std::string>> unknown = {
      {"a1", "a2", "a3", "b1", "c1"}, {"a2", "a3"}, {"b2"}};
  for (const std::vector<std::string>& names : unknown) {
    SpreadGroup group({"a1", "a2", "a3", "b1", "c1"}, {"b2"});
    for (const std::string& name : names) {
      group.health[NodeId(StrCat(name, ".1"))].data_centre = DataCentre();
    }
    EXPECT_FALSE(PlanNextMembers(group.members, group.health, kFive, 1))
        << names.front();
  }
}

TEST(MembershipPlanTest, VotersAreNotSpreadWhereNoLossIsTolerated) {
  SpreadGroup group({"a1", "a2", "a3", "b1", "c1"}, {"b2"});
  EXPECT_FALSE(PlanNextMembers(group.members, group.health, kFive));
}

// Whatever the group was, it settles on voters of which a majority survives
// the loss of any one data centre, wherever its machines allow for that. On the
// way it never has fewer voters than it began with or one more than wanted.
RC_GTEST_PROP(MembershipPlanProperty, AnyHealthyGroupSettlesSpread, ()) {
  constexpr std::size_t kMostEach = 5;
  std::vector<std::string> voters;
  std::vector<std::string> learners;
  std::vector<std::size_t> machines;
  for (const char* name : {"a", "b", "c"}) {
    machines.push_back(*rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<std::size_t>(0, kMostEach)));
    for (std::size_t number = 0; number < machines.back(); ++number) {
      const bool is_voter =
          voters.size() < kFive && *rc::gen::arbitrary<bool>();
      (is_voter ? voters : learners).push_back(StrCat(name, number));
    }
  }
  if (voters.empty()) {
    // A group has at least one voter.
    voters.push_back("a9");
    ++machines.front();
  }
  SpreadGroup group(voters, learners);
  const auto [fewest, most] = group.Settle(kFive, 1);
  RC_ASSERT(fewest == voters.size());
  RC_ASSERT(most <= kFive + 1);
  const std::size_t all = machines[0] + machines[1] + machines[2];
  RC_ASSERT(group.members.voters.size() == std::min(all, kFive));
  // At most two voters in each data centre make five that survive any loss.
  std::size_t usable = 0;
  for (const std::size_t count : machines) {
    usable += std::min<std::size_t>(count, 2);
  }
  if (usable >= kFive) {
    RC_ASSERT(SurvivesLoss(group.Spread(), 1));
  }
}

}  // namespace
}  // namespace sumac::replication
