// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/result_code.h"
#include "libraries/base/text.h"
#include "libraries/replication/membership_keeper.h"
#include "libraries/replication/membership_plan.h"
#include "libraries/replication/quorum.h"
#include "tests/libraries/replication/cluster.h"
#include "tests/libraries/replication/durable_votes.h"

namespace sumac::replication {
namespace {

constexpr std::size_t kFive = 5;
constexpr std::size_t kMaxLostDisks = 2;

// Five voters, of which one is away, and a spare that has caught up.
class ExchangeGroup {
 public:
  explicit ExchangeGroup(std::uint64_t seed = 1) : cluster(kFive, seed) {
    this->leader = this->cluster.ElectLeader().value();
    this->away = (this->leader + 1) % kFive;
    this->spare = this->cluster.AddNode(NodeId("n9.1"));
    Membership with_learner = this->Leader().membership();
    with_learner.learners.insert(NodeId("n9.1"));
    EXPECT_TRUE(this->Propose(with_learner).ok());
    this->before = with_learner;
    EXPECT_TRUE(this->cluster.Propose(this->leader, "a").ok());
    this->cluster.PassTime(Milliseconds(500));
    this->cluster.SetCut(this->away, true);
  }

  Replica& Leader() { return *this->cluster.nodes[this->leader].replica; }
  const NodeId& IdOf(std::size_t node) const {
    return this->cluster.nodes[node].id;
  }
  absl::Status Propose(const Membership& members) {
    const auto index =
        this->Leader().ProposeMembership(members, this->cluster.now);
    this->cluster.Pump(this->leader);
    return index.status();
  }
  // Returns the members of the exchange of the voter that is away.
  Membership Joint() const {
    Membership next = this->before;
    next.outgoing_voters = next.voters;
    next.voters.erase(this->IdOf(this->away));
    next.voters.insert(this->IdOf(this->spare));
    next.learners.clear();
    return next;
  }
  Membership After() const {
    Membership next = this->Joint();
    next.outgoing_voters.clear();
    next.learners.insert(this->IdOf(this->away));
    return next;
  }
  // Returns the problem, if any, that arises if all machines lose power now,
  // and any two of them their disks.
  std::string CheckDisks() const {
    std::vector<DurableReplica> replicas;
    for (const Cluster::Node& node : this->cluster.nodes) {
      replicas.push_back({.id = node.id,
                          .snapshot = node.snapshot.meta,
                          .entries = node.stored});
    }
    return CheckDurableVotes(replicas, this->cluster.LastCommitted(),
                             kMaxLostDisks, VoteRule::kAnyReplica);
  }
  // Delivers the waiting messages one at a time, and checks the disks after
  // each.
  std::string DeliverAll() {
    while (!this->cluster.network.empty()) {
      this->cluster.Deliver(0);
      if (std::string problem = this->CheckDisks(); !problem.empty()) {
        return problem;
      }
    }
    return "";
  }

  Cluster cluster;
  Membership before;
  std::size_t leader = 0;
  std::size_t away = 0;
  std::size_t spare = 0;
};

// Guards against a group that loses all state: while the vote of a voter that
// only stood still is passed on, all are killed and two lose their disks.
TEST(VoterExchangeTest, AnyTwoDisksMayBeLostAtEachMessageOfAnExchange) {
  ExchangeGroup group;
  ASSERT_TRUE(group.Propose(group.Joint()).ok());
  EXPECT_EQ(group.CheckDisks(), "");
  EXPECT_EQ(group.DeliverAll(), "");
  ASSERT_TRUE(group.cluster.Propose(group.leader, "b").ok());
  EXPECT_EQ(group.DeliverAll(), "");
  ASSERT_TRUE(group.Leader().is_membership_committed());
  ASSERT_TRUE(group.Propose(group.After()).ok());
  EXPECT_EQ(group.CheckDisks(), "");
  EXPECT_EQ(group.DeliverAll(), "");
  group.cluster.SetCut(group.away, false);
  group.cluster.PassTime(Milliseconds(2'000));
  EXPECT_EQ(group.CheckDisks(), "");
  EXPECT_EQ(group.cluster.CheckInvariants(), "");
}

// Guards against a group that nobody can lead: the voter that leaves is the
// only one left that holds the end of the exchange, and the others need its
// vote.
TEST(VoterExchangeTest, TheLeavingVoterLeadsUntilTheEndIsCommitted) {
  ExchangeGroup group;
  group.cluster.SetCut(group.away, false);
  group.cluster.PassTime(Milliseconds(500));
  ASSERT_TRUE(group.Propose(group.Joint()).ok());
  group.cluster.PassTime(Milliseconds(500));
  ASSERT_TRUE(group.Propose(group.After()).ok());
  // Only the voter that leaves receives the end.
  for (std::size_t node = 0; node < group.cluster.nodes.size(); ++node) {
    group.cluster.SetCut(node, node != group.leader && node != group.away);
  }
  group.cluster.PassTime(Milliseconds(20));
  for (std::size_t node = 0; node < group.cluster.nodes.size(); ++node) {
    group.cluster.Crash(node);
    group.cluster.SetCut(node, false);
  }
  // The leader and one more voter lose their disks.
  const std::size_t wiped = (group.leader + 2) % kFive;
  for (std::size_t node = 0; node < group.cluster.nodes.size(); ++node) {
    if (node != group.leader && node != wiped) {
      group.cluster.Restart(node);
    }
  }
  ASSERT_TRUE(group.cluster.ElectLeader());
  group.cluster.PassTime(Milliseconds(10'000));
  const auto leader = group.cluster.ElectLeader();
  ASSERT_TRUE(leader);
  EXPECT_NE(*leader, group.away);
  EXPECT_EQ(group.cluster.nodes[*leader].replica->membership(), group.After());
  EXPECT_EQ(group.cluster.CheckInvariants(), "");
}

// Guards against an exchange that is taken back less safely than it began.
TEST(VoterExchangeTest, AnyTwoDisksMayBeLostWhileAnExchangeIsTakenBack) {
  ExchangeGroup group;
  ASSERT_TRUE(group.Propose(group.Joint()).ok());
  EXPECT_EQ(group.DeliverAll(), "");
  group.cluster.SetCut(group.away, false);
  group.cluster.SetCut(group.spare, true);
  group.cluster.PassTime(Milliseconds(1'000));
  ASSERT_TRUE(group.Propose(group.before).ok());
  EXPECT_EQ(group.DeliverAll(), "");
  EXPECT_EQ(group.Leader().membership(), group.before);
  EXPECT_TRUE(group.Leader().is_membership_committed());
  EXPECT_EQ(group.cluster.CheckInvariants(), "");
}

// Guards against a majority of the voters after the exchange that decides
// without those before it, and the reverse.
TEST(VoterExchangeTest, AMajorityOfOneSideAloneIsNoQuorum) {
  struct Case {
    const char* name;
    bool is_spare_connected;
    bool is_away_connected;
    std::size_t others;
    bool is_quorum;
  };
  // The leader is one of both sides; `others` counts further voters of both.
  const std::vector<Case> cases = {{"after", true, false, 1, false},
                                   {"before", false, true, 1, false},
                                   {"both", true, true, 1, true},
                                   {"shared", false, false, 2, true}};
  for (const Case& example : cases) {
    ExchangeGroup group;
    ASSERT_TRUE(group.Propose(group.Joint()).ok());
    group.cluster.PassTime(Milliseconds(300));
    ASSERT_TRUE(group.Leader().is_membership_committed()) << example.name;
    group.cluster.SetCut(group.away, !example.is_away_connected);
    group.cluster.SetCut(group.spare, !example.is_spare_connected);
    std::size_t others = 0;
    for (std::size_t node = 0; node < kFive; ++node) {
      if (node != group.leader && node != group.away) {
        group.cluster.SetCut(node, others >= example.others);
        ++others;
      }
    }
    ASSERT_TRUE(group.cluster.Propose(group.leader, "b").ok());
    const LogIndex proposed = group.Leader().last_index();
    // Longer than a lease, and a leader's search for a member's position.
    group.cluster.PassTime(Milliseconds(1'500));
    EXPECT_EQ(group.Leader().commit_index() >= proposed, example.is_quorum)
        << example.name;
    EXPECT_EQ(group.Leader().HoldsLease(group.cluster.now), example.is_quorum)
        << example.name;
    if (example.is_quorum) {
      continue;
    }
    // Nor does it elect anybody.
    group.cluster.PassTime(Milliseconds(10'000));
    EXPECT_FALSE(group.cluster.ElectLeader(Milliseconds(5'000)))
        << example.name;
    EXPECT_EQ(group.cluster.CheckInvariants(), "") << example.name;
  }
}

// Guards against an exchange that nobody ends: the leader is gone, and the next
// one may be any voter of either side, also one that has not stored the entry.
TEST(VoterExchangeTest, TheNextLeaderEndsAnExchange) {
  constexpr std::uint64_t kSeeds = 40;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const std::size_t delivered : {0, 1, 2, 3, 5, 8, 13, 21}) {
      ExchangeGroup group(seed);
      ASSERT_TRUE(group.Propose(group.Joint()).ok());
      for (std::size_t count = 0; count < delivered; ++count) {
        group.cluster.Deliver(0);
      }
      group.cluster.Crash(group.leader);
      group.cluster.SetCut(group.away, false);
      const auto next = group.cluster.ElectLeader();
      ASSERT_TRUE(next) << seed << " " << delivered;
      MembershipKeeper keeper(kFive, 0,
                              [](const NodeId&) { return DataCentre(); });
      for (int check = 0; check < 40; ++check) {
        Replica& replica = *group.cluster.nodes[*next].replica;
        if (replica.role() != Role::kLeader) {
          break;
        }
        if (const auto members =
                keeper.Check(replica, keeper.HealthOfAll(replica))) {
          ASSERT_TRUE(
              replica.ProposeMembership(*members, group.cluster.now).ok());
          group.cluster.Pump(*next);
        }
        group.cluster.PassTime(Milliseconds(100));
      }
      const Membership& members =
          group.cluster.nodes[*next].replica->membership();
      EXPECT_FALSE(members.is_joint()) << seed << " " << delivered;
      EXPECT_EQ(members.voters.size(), kFive);
      EXPECT_EQ(group.CheckDisks(), "");
      EXPECT_EQ(group.cluster.CheckInvariants(), "");
    }
  }
}

// Guards against members that change while quorums of both sides count.
TEST(VoterExchangeTest, VotersStayAsTheyAreDuringAnExchange) {
  ExchangeGroup group;
  EXPECT_EQ(CodeOf(group.Propose(group.After())), ResultCode::kBadArgument);
  ASSERT_TRUE(group.Propose(group.Joint()).ok());
  group.cluster.PassTime(Milliseconds(300));
  Membership fewer = group.Leader().membership();
  fewer.voters.erase(group.IdOf(group.spare));
  EXPECT_EQ(CodeOf(group.Propose(fewer)), ResultCode::kBadArgument);
  Membership other_end = group.before;
  other_end.voters.erase(group.IdOf(group.leader));
  EXPECT_EQ(CodeOf(group.Propose(other_end)), ResultCode::kBadArgument);
  // A new controller may join meanwhile.
  EXPECT_TRUE(
      group.Propose(WithLearner(group.Leader().membership(), NodeId("n8.1")))
          .ok());
}

// Returns the health of a member in some state that occurs.
MemberHealth DrawHealth() {
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return {.is_silent = true, .supports_joint_quorums = true};
    case 1:
      return {.is_silent = true,
              .is_suspected = true,
              .silence = Milliseconds(*rc::gen::inRange(1'501, 7'000)),
              .supports_joint_quorums = true};
    case 2:
      return {.is_silent = true,
              .is_suspected = true,
              .is_lost = true,
              .silence = Milliseconds(9'000),
              .supports_joint_quorums = true};
    default:
      return {.is_caught_up = *rc::gen::inRange(0, 4) > 0,
              .is_answering = true,
              .supports_joint_quorums = true};
  }
}

// Whatever happens to the members of a full group between two steps, no step
// has a moment at which fewer losses are borne than a full group bears.
RC_GTEST_PROP(VoterExchangeProperty, NoStepBearsFewerLosses, ()) {
  Membership members;
  std::map<NodeId, MemberHealth> health;
  std::vector<NodeId> nodes;
  const auto spares = *rc::gen::inRange(0, 4);
  for (int number = 0; number < static_cast<int>(kFive) + spares; ++number) {
    // Some spares are successors of voters that lost their disks.
    const bool is_successor =
        number >= static_cast<int>(kFive) && *rc::gen::arbitrary<bool>();
    nodes.emplace_back(is_successor ? StrCat("n", number - 4, ".2")
                                    : StrCat("n", number, ".1"));
    (number < static_cast<int>(kFive) ? members.voters : members.learners)
        .insert(nodes.back());
  }
  const std::size_t wanted_losses = CountBorneLosses(members);
  const std::size_t tolerated = *rc::gen::inRange<std::size_t>(0, 2);
  for (int step = 0; step < 12; ++step) {
    for (const NodeId& node : nodes) {
      health[node] = DrawHealth();
      health[node].data_centre =
          DataCentre(StrCat("d", *rc::gen::inRange(0, 3)));
    }
    const std::set<NodeId> voters = members.AllVoters();
    const auto leader = std::next(
        voters.begin(), *rc::gen::inRange<std::ptrdiff_t>(
                            0, static_cast<std::ptrdiff_t>(voters.size())));
    health[*leader] = {.is_caught_up = true,
                       .is_leader = true,
                       .supports_joint_quorums = true,
                       .data_centre = DataCentre("d0")};
    const auto next = PlanNextMembers(members, health, kFive, tolerated);
    if (!next) {
      continue;
    }
    RC_ASSERT(CountBorneLosses(*next) >= wanted_losses);
    RC_ASSERT(next->voters.size() == kFive);
    // The leader never gives its own vote away.
    RC_ASSERT(next->voters.contains(*leader));
    members = *next;
  }
}

// Guards against joint quorums that a voter of an earlier program doesn't
// count.
TEST(VoterExchangeTest, AVoterOfAnEarlierProgramKeepsTheGroupFromThem) {
  ExchangeGroup group;
  MembershipKeeper keeper(kFive, 0, [](const NodeId&) { return DataCentre(); });
  const std::size_t earlier = (group.leader + 2) % kFive;
  const auto plan = [&]() -> std::optional<Membership> {
    for (int check = 0; check < 40; ++check) {
      if (auto next = keeper.Check(group.Leader(),
                                   keeper.HealthOfAll(group.Leader()))) {
        return next;
      }
      group.cluster.PassTime(Milliseconds(100));
      group.Leader().Receive(
          Message{group.IdOf(earlier), group.IdOf(group.leader),
                  group.Leader().term(),
                  AppendAnswer{.is_accepted = true,
                               .match_index = group.Leader().commit_index(),
                               .supports_joint_quorums = false}},
          group.cluster.now);
      group.cluster.Pump(group.leader);
    }
    return std::nullopt;
  };
  const auto next = plan();
  ASSERT_TRUE(next);
  EXPECT_FALSE(next->is_joint());
  EXPECT_EQ(next->voters.size(), kFive - 1);
  // Its next answer by a newer program ends this.
  group.cluster.PassTime(Milliseconds(500));
  const auto newer =
      keeper.Check(group.Leader(), keeper.HealthOfAll(group.Leader()));
  ASSERT_TRUE(newer);
  EXPECT_EQ(*newer, group.Joint());
}

}  // namespace
}  // namespace sumac::replication
