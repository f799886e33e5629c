// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/replication/durable_votes.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "libraries/base/text.h"

namespace sumac::replication {
namespace {

const std::set<NodeId> kFive = {NodeId("a.1"), NodeId("b.1"), NodeId("c.1"),
                                NodeId("d.1"), NodeId("e.1")};
const std::set<NodeId> kWithoutE = {NodeId("a.1"), NodeId("b.1"), NodeId("c.1"),
                                    NodeId("d.1")};
const std::set<NodeId> kWithF = {NodeId("a.1"), NodeId("b.1"), NodeId("c.1"),
                                 NodeId("d.1"), NodeId("f.1")};

Entry Command(std::uint64_t index) {
  return {.term = Term(1), .index = LogIndex(index), .payload = "command"};
}

Entry Change(std::uint64_t index, const std::set<NodeId>& voters) {
  return {.term = Term(1),
          .index = LogIndex(index),
          .kind = EntryKind::kMembership,
          .membership = {.voters = voters}};
}

DurableReplica Holding(const std::string& name,
                       const std::vector<Entry>& entries) {
  return {.id = NodeId(name),
          .snapshot = {.membership = {.voters = kFive}},
          .entries = entries};
}

// Guards against a checker that is satisfied although what was acknowledged is
// on disks that may all be lost.
TEST(DurableVotesTest, AnEntryOnTwoDisksDoesNotOutliveTwoDisks) {
  const std::vector<Entry> old = {Command(1)};
  const std::vector<Entry> whole = {Command(1), Command(2)};
  std::vector<DurableReplica> replicas = {
      Holding("a.1", whole), Holding("b.1", whole), Holding("c.1", old),
      Holding("d.1", old), Holding("e.1", old)};
  EXPECT_EQ(CheckDurableVotes(replicas, Command(1), 2, VoteRule::kAnyReplica),
            "");
  EXPECT_NE(CheckDurableVotes(replicas, Command(2), 2, VoteRule::kAnyReplica),
            "");
  replicas[2] = Holding("c.1", whole);
  EXPECT_EQ(CheckDurableVotes(replicas, Command(2), 2, VoteRule::kAnyReplica),
            "");
}

// Guards against a checker that is satisfied although a vote is still with a
// controller that is gone for good.
TEST(DurableVotesTest, AVoteThatIsGoneLeavesOneToLose) {
  const std::vector<Entry> whole = {Command(1)};
  const std::vector<DurableReplica> replicas = {
      Holding("a.1", whole), Holding("b.1", whole), Holding("c.1", whole),
      Holding("d.1", whole), Holding("f.1", whole)};
  EXPECT_EQ(CheckDurableVotes(replicas, Command(1), 1, VoteRule::kAnyReplica),
            "");
  EXPECT_NE(CheckDurableVotes(replicas, Command(1), 2, VoteRule::kAnyReplica),
            "");
}

// Guards against a spare that the others count on, and that refuses to vote
// until its own disk holds its promotion.
TEST(DurableVotesTest, ASpareVotesBeforeItHasStoredItsPromotion) {
  const std::vector<Entry> demoted = {Command(1), Change(2, kWithoutE)};
  const std::vector<Entry> promoted = {Command(1), Change(2, kWithoutE),
                                       Change(3, kWithF)};
  const std::vector<DurableReplica> replicas = {
      Holding("a.1", promoted), Holding("b.1", promoted),
      Holding("c.1", promoted), Holding("d.1", promoted),
      Holding("f.1", demoted)};
  EXPECT_EQ(
      CheckDurableVotes(replicas, Change(3, kWithF), 2, VoteRule::kAnyReplica),
      "");
  EXPECT_NE(CheckDurableVotes(replicas, Change(3, kWithF), 2,
                              VoteRule::kOnlyVotersByOwnLog),
            "");
}

// Guards against a checker that takes a disk whose loss is free for one that
// uses up the limit, or that is certain to be left.
TEST(DurableVotesTest, ADiskWhoseLossIsFreeIsLostBesidesOthers) {
  const std::vector<Entry> whole = {Command(1)};
  std::vector<DurableReplica> replicas = {
      Holding("a.1", whole), Holding("b.1", whole), Holding("c.1", whole),
      Holding("d.1", whole), Holding("e.1", whole)};
  replicas[0].is_loss_free = true;
  EXPECT_EQ(CheckDurableVotes(replicas, Command(1), 1, VoteRule::kAnyReplica),
            "");
  EXPECT_NE(CheckDurableVotes(replicas, Command(1), 2, VoteRule::kAnyReplica),
            "");
}

// Guards against a checker that is satisfied with a majority of one side of an
// exchange.
TEST(DurableVotesTest, AnExchangeNeedsAMajorityOfBothSides) {
  Entry exchange = Change(1, kWithF);
  exchange.membership.outgoing_voters = kFive;
  const std::vector<Entry> joint = {exchange};
  // Of the voters before, only two are left.
  EXPECT_NE(CheckDurableVotes({Holding("a.1", joint), Holding("b.1", joint),
                               Holding("f.1", joint)},
                              exchange, 0, VoteRule::kAnyReplica),
            "");
  // Of the voters after it.
  EXPECT_NE(CheckDurableVotes({Holding("a.1", joint), Holding("b.1", joint),
                               Holding("e.1", joint)},
                              exchange, 0, VoteRule::kAnyReplica),
            "");
  EXPECT_EQ(CheckDurableVotes({Holding("a.1", joint), Holding("b.1", joint),
                               Holding("c.1", joint)},
                              exchange, 0, VoteRule::kAnyReplica),
            "");
}

}  // namespace
}  // namespace sumac::replication
