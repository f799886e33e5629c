// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/replica.h"

#include <gtest/gtest.h>

#include <deque>
#include <utility>
#include <variant>

#include "libraries/base/error.h"
#include "tests/libraries/replication/cluster.h"

namespace sumac::replication {
namespace {

TEST(ReplicaTest, ElectsALeaderAndCommitsEverywhere) {
  Cluster cluster(3);
  const auto leader = cluster.ElectLeader();
  ASSERT_TRUE(leader);
  ASSERT_TRUE(cluster.Propose(*leader, "a").ok());
  ASSERT_TRUE(cluster.Propose(*leader, "b").ok());
  cluster.PassTime(Milliseconds(400));
  for (const Cluster::Node& node : cluster.nodes) {
    EXPECT_EQ(node.applied, (std::vector<std::string>{"a", "b"}));
  }
  EXPECT_EQ(cluster.CheckInvariants(), "");
}

// Guards against a command that every replica stores and none can read.
TEST(ReplicaTest, ACommandThatNoRecordCanHoldIsRefused) {
  Cluster cluster(3);
  const auto leader = cluster.ElectLeader();
  ASSERT_TRUE(leader);
  EXPECT_EQ(
      CodeOf(cluster.Propose(*leader, std::string(kMaxCommandBytes + 1, 'x'))
                 .status()),
      ResultCode::kBodyTooLarge);
  EXPECT_TRUE(cluster.Propose(*leader, "a").ok());
}

TEST(ReplicaTest, ALeaderThatIsCutOffStopsActingBeforeItsSuccessorStarts) {
  Cluster cluster(3);
  const auto old_leader = cluster.ElectLeader();
  ASSERT_TRUE(old_leader);
  cluster.SetCut(*old_leader, true);
  std::optional<std::size_t> successor;
  for (int step = 0; step < 1'000 && !successor; ++step) {
    cluster.PassTime(Milliseconds(10));
    ASSERT_LE(cluster.LeaseHolders().size(), 1U);
    for (std::size_t node = 0; node < 3; ++node) {
      if (node != *old_leader &&
          cluster.nodes[node].replica->is_ready_to_lead()) {
        successor = node;
      }
    }
  }
  ASSERT_TRUE(successor);
  EXPECT_FALSE(cluster.nodes[*old_leader].replica->HoldsLease(cluster.now));
}

TEST(ReplicaTest, AFrozenLeaderHoldsNoLeaseWhenItResumes) {
  Cluster cluster(3);
  const auto old_leader = cluster.ElectLeader();
  ASSERT_TRUE(old_leader);
  cluster.nodes[*old_leader].is_frozen = true;
  cluster.PassTime(Milliseconds(30'000));
  cluster.nodes[*old_leader].is_frozen = false;
  // The lease must have expired even before any other event reaches the
  // replica.
  EXPECT_FALSE(cluster.nodes[*old_leader].replica->HoldsLease(cluster.now));
}

TEST(ReplicaTest, ARestartedVoterDoesNotBreakALease) {
  Cluster cluster(3);
  const auto leader = cluster.ElectLeader();
  ASSERT_TRUE(leader);
  const std::size_t second = (*leader + 1) % 3;
  const std::size_t third = (*leader + 2) % 3;
  // The third voter is cut off from the leader and requests a vote. The second
  // voter, which had a message from the leader shortly before, restarts and
  // loses the time of that message.
  cluster.SetCut(*leader, true);
  cluster.PassTime(Milliseconds(10));
  cluster.Crash(second);
  cluster.Restart(second);
  Message vote_request{
      cluster.nodes[third].id, cluster.nodes[second].id, Term(99),
      VoteRequest{.last_index = LogIndex(1'000), .last_term = Term(99)}};
  cluster.nodes[second].replica->Receive(vote_request, cluster.now);
  const Output output = cluster.nodes[second].replica->TakeOutput();
  ASSERT_EQ(output.messages.size(), 1U);
  EXPECT_FALSE(std::get<VoteAnswer>(output.messages[0].body).is_granted);
}

TEST(ReplicaTest, ARejoiningMinorityDoesNotDisturbTheLeader) {
  Cluster cluster(3);
  const auto leader = cluster.ElectLeader();
  ASSERT_TRUE(leader);
  const Term term = cluster.nodes[*leader].replica->term();
  const std::size_t other = (*leader + 1) % 3;
  cluster.SetCut(other, true);
  cluster.PassTime(Milliseconds(10'000));
  cluster.SetCut(other, false);
  cluster.PassTime(Milliseconds(2'000));
  EXPECT_EQ(cluster.nodes[*leader].replica->term(), term);
  EXPECT_EQ(cluster.nodes[*leader].replica->role(), Role::kLeader);
}

TEST(ReplicaTest, HandsOverWithoutWaitingForATimeout) {
  Cluster cluster(3);
  const auto leader = cluster.ElectLeader();
  ASSERT_TRUE(leader);
  cluster.PassTime(Milliseconds(300));
  ASSERT_TRUE(cluster.nodes[*leader].replica->HandOver(cluster.now).ok());
  EXPECT_EQ(CodeOf(cluster.Propose(*leader, "late").status()),
            ResultCode::kNoLeader);
  cluster.PassTime(Milliseconds(20));
  EXPECT_NE(cluster.nodes[*leader].replica->role(), Role::kLeader);
  const auto successor = cluster.ElectLeader(Milliseconds(100));
  ASSERT_TRUE(successor);
  EXPECT_NE(*successor, *leader);
  EXPECT_EQ(cluster.CheckInvariants(), "");
}

// A leader that hands over, and whose host makes no ticks until the time of the
// hand-over is over. The others lack its last entry.
class LateHandOverTest : public testing::Test {
 protected:
  LateHandOverTest() {
    this->cluster.PassTime(Milliseconds(300));
    EXPECT_TRUE(this->cluster.Propose(this->leader, "a").ok());
    EXPECT_TRUE(this->Leader().HandOver(this->cluster.now).ok());
    this->cluster.Pump(this->leader);
    this->cluster.now += this->cluster.settings.hand_over_timeout;
  }

  Replica& Leader() { return *this->cluster.nodes[this->leader].replica; }

  Cluster cluster{3};
  std::size_t leader = this->cluster.ElectLeader().value();
};

TEST_F(LateHandOverTest, ItRefusesNothing) {
  ASSERT_TRUE(this->Leader().HoldsLease(this->cluster.now));
  EXPECT_TRUE(this->cluster.Propose(this->leader, "b").ok());
  Membership more = this->Leader().membership();
  this->cluster.Settle();
  more.learners.insert(NodeId("n9.1"));
  EXPECT_TRUE(this->Leader().ProposeMembership(more, this->cluster.now).ok());
}

TEST_F(LateHandOverTest, ItIsNotCarriedOut) {
  const Term term = this->Leader().term();
  this->cluster.Settle();
  EXPECT_TRUE(this->Leader().HoldsLease(this->cluster.now));
  this->cluster.PassTime(Milliseconds(400));
  EXPECT_EQ(this->Leader().role(), Role::kLeader);
  EXPECT_EQ(this->Leader().term(), term);
}

TEST_F(LateHandOverTest, TheNextOneBeginsAnew) {
  ASSERT_TRUE(this->Leader().HandOver(this->cluster.now).ok());
  EXPECT_EQ(CodeOf(this->cluster.Propose(this->leader, "b").status()),
            ResultCode::kNoLeader);
  this->cluster.PassTime(Milliseconds(100));
  EXPECT_NE(this->Leader().role(), Role::kLeader);
}

TEST(ReplicaTest, AHandOverWhoseMessageIsLateNeverLeavesTwoLeases) {
  Cluster cluster(3);
  const auto leader = cluster.ElectLeader();
  ASSERT_TRUE(leader);
  cluster.PassTime(Milliseconds(300));
  ASSERT_TRUE(cluster.nodes[*leader].replica->HandOver(cluster.now).ok());
  cluster.Pump(*leader);
  std::deque<Message> held;
  std::erase_if(cluster.network, [&](const Message& message) {
    const bool is_timeout_now =
        std::holds_alternative<TimeoutNow>(message.body);
    if (is_timeout_now) {
      held.push_back(message);
    }
    return is_timeout_now;
  });
  ASSERT_EQ(held.size(), 1U);
  // The leader may not resume this term, since the message may still arrive.
  cluster.PassTime(Milliseconds(700));
  EXPECT_NE(cluster.nodes[*leader].replica->role(), Role::kLeader);
  cluster.network.push_back(held.front());
  for (int step = 0; step < 300; ++step) {
    cluster.PassTime(Milliseconds(10));
    ASSERT_LE(cluster.LeaseHolders().size(), 1U);
  }
  EXPECT_TRUE(cluster.ElectLeader());
}

// Guards against a leader that neither decides nor lets others decide: while
// its disk hangs, its host asks for a hand-over again and again.
TEST(ReplicaTest, AHandOverThatIsRequestedAgainStillEnds) {
  Cluster cluster(3);
  const auto leader = cluster.ElectLeader();
  ASSERT_TRUE(leader);
  Replica& replica = *cluster.nodes[*leader].replica;
  constexpr Milliseconds kStep{20};
  constexpr Milliseconds kLimit{2'000};
  for (Milliseconds passed{0};
       passed < kLimit && replica.role() == Role::kLeader; passed += kStep) {
    ASSERT_TRUE(replica.HandOver(cluster.now).ok());
    // The receiver of TimeoutNow may start its election at any later moment.
    EXPECT_FALSE(replica.HoldsLease(cluster.now));
    cluster.Pump(*leader);
    std::erase_if(cluster.network, [](const Message& message) {
      return std::holds_alternative<TimeoutNow>(message.body);
    });
    cluster.Tick(kStep);
    cluster.Settle();
  }
  EXPECT_NE(replica.role(), Role::kLeader);
}

TEST(ReplicaTest, CatchesUpALaggardBySnapshot) {
  Cluster cluster(3);
  cluster.settings.snapshot_chunk_bytes = 64;
  for (std::size_t node = 0; node < 3; ++node) {
    cluster.Restart(node);
  }
  const auto leader = cluster.ElectLeader();
  ASSERT_TRUE(leader);
  const std::size_t laggard = (*leader + 1) % 3;
  cluster.Crash(laggard);
  for (int number = 0; number < 300; ++number) {
    ASSERT_TRUE(
        cluster.Propose(*leader, "command-" + std::to_string(number)).ok());
    cluster.Settle();
  }
  cluster.Compact(*leader);
  cluster.Restart(laggard);
  cluster.PassTime(Milliseconds(20'000));
  EXPECT_EQ(cluster.nodes[laggard].applied.size(), 300U);
  EXPECT_EQ(cluster.CheckInvariants(), "");
}

// A group in which a lagging member receives a snapshot over a link that is
// slower than the heartbeats. Counts the snapshot bytes sent.
class SnapshotTransfer {
 public:
  SnapshotTransfer() : cluster(3) {
    this->cluster.settings.snapshot_chunk_bytes = 256;
    for (std::size_t node = 0; node < 3; ++node) {
      this->cluster.Restart(node);
    }
    this->leader = this->cluster.ElectLeader().value();
    this->laggard = (this->leader + 1) % 3;
    this->cluster.Crash(this->laggard);
    this->ProposeMany(300);
    this->cluster.Compact(this->leader);
    this->cluster.Restart(this->laggard);
  }

  void ProposeMany(int count) {
    for (int number = 0; number < count; ++number) {
      EXPECT_TRUE(this->cluster.Propose(this->leader, "command").ok());
      this->cluster.Settle();
    }
  }

  // Advances the clock by `time`. Messages to and from the lagging member take
  // `one_way`.
  void PassTime(Milliseconds time, Milliseconds one_way) {
    constexpr Milliseconds kStep{10};
    const NodeId& slow = this->cluster.nodes[this->laggard].id;
    for (Milliseconds passed{0}; passed < time; passed += kStep) {
      this->cluster.Tick(kStep);
      while (!this->cluster.network.empty()) {
        const Message message = this->cluster.network.front();
        if (message.from == slow || message.to == slow) {
          this->cluster.network.pop_front();
          this->on_the_way.emplace_back(this->cluster.now + one_way, message);
        } else {
          this->cluster.Deliver(0);
        }
      }
      while (!this->on_the_way.empty() &&
             this->on_the_way.front().first <= this->cluster.now) {
        this->DeliverSlow(this->on_the_way.front().second);
        this->on_the_way.pop_front();
      }
    }
  }

  std::size_t AppliedByLaggard() const {
    return this->cluster.nodes[this->laggard].applied.size();
  }

  Cluster cluster;
  std::size_t leader = 0;
  std::size_t laggard = 0;
  std::size_t snapshot_bytes_sent = 0;
  std::size_t entries_sent = 0;

 private:
  void DeliverSlow(const Message& message) {
    if (const auto* chunk = std::get_if<SnapshotChunk>(&message.body)) {
      this->snapshot_bytes_sent += chunk->data.size();
    } else if (const auto* append = std::get_if<AppendRequest>(&message.body)) {
      this->entries_sent += append->entries.size();
    }
    std::deque<Message> others = std::exchange(this->cluster.network, {});
    this->cluster.network.push_back(message);
    this->cluster.Deliver(0);
    for (Message& later : others) {
      this->cluster.network.push_back(std::move(later));
    }
  }

  std::deque<std::pair<SteadyTime, Message>> on_the_way;
};

// Sending the chunk again at each heartbeat would trigger a further chunk for
// every copy. The transfer would send several times the size of the snapshot,
// and a busy leader would not finish it.
TEST(ReplicaTest, ASnapshotIsSentOnceOverALinkSlowerThanHeartbeats) {
  SnapshotTransfer transfer;
  transfer.PassTime(Milliseconds(20'000), Milliseconds(180));
  EXPECT_GE(transfer.AppliedByLaggard(), 300U);
  const std::size_t size =
      transfer.cluster.nodes[transfer.laggard].snapshot.state.size();
  EXPECT_GT(size, 2'000U);
  EXPECT_LE(transfer.snapshot_bytes_sent, size + size / 4);
  EXPECT_EQ(transfer.cluster.CheckInvariants(), "");
}

// Guards against copies of all that is on its way, one at each heartbeat, while
// lost packets hold up the answers: they are in the way of everything that
// follows, and a new member does not catch up.
TEST(ReplicaTest, WhatIsHeldUpOnALinkIsSentOnce) {
  constexpr Milliseconds kHeldUp{1'700};
  SnapshotTransfer transfer;
  transfer.PassTime(Milliseconds(20'000), kHeldUp);
  EXPECT_GE(transfer.AppliedByLaggard(), 300U);
  const std::size_t size =
      transfer.cluster.nodes[transfer.laggard].snapshot.state.size();
  EXPECT_LE(transfer.snapshot_bytes_sent, size + size / 4);
  const std::size_t before = transfer.entries_sent;
  constexpr std::size_t kMore = 100;
  for (std::size_t number = 0; number < kMore; ++number) {
    ASSERT_TRUE(transfer.cluster.Propose(transfer.leader, "command").ok());
    transfer.PassTime(Milliseconds(10), kHeldUp);
  }
  transfer.PassTime(Milliseconds(20'000), kHeldUp);
  EXPECT_GE(transfer.AppliedByLaggard(), 300U + kMore);
  EXPECT_LE(transfer.entries_sent - before, kMore + kMore / 4);
  EXPECT_EQ(transfer.cluster.CheckInvariants(), "");
}

// Guards against entries that are never sent again because the leader waits for
// answers to messages that were lost.
TEST(ReplicaTest, WhatIsLostOnALinkIsSentAgain) {
  Cluster cluster(3);
  const auto leader = cluster.ElectLeader();
  ASSERT_TRUE(leader);
  const std::size_t other = (*leader + 1) % 3;
  cluster.PassTime(Milliseconds(500));
  constexpr int kCommands = 40;
  for (int round = 1; round <= 3; ++round) {
    cluster.SetCut(other, true);
    for (int number = 0; number < kCommands; ++number) {
      ASSERT_TRUE(cluster.Propose(*leader, "command").ok());
      cluster.PassTime(Milliseconds(10));
    }
    cluster.SetCut(other, false);
    cluster.PassTime(Milliseconds(600));
    EXPECT_EQ(cluster.nodes[other].applied.size(),
              static_cast<std::size_t>(round * kCommands));
  }
  EXPECT_EQ(cluster.CheckInvariants(), "");
}

TEST(ReplicaTest, ASupersededSnapshotIsSentAgain) {
  SnapshotTransfer transfer;
  transfer.PassTime(Milliseconds(900), Milliseconds(60));
  transfer.ProposeMany(50);
  transfer.cluster.Compact(transfer.leader);
  transfer.PassTime(Milliseconds(20'000), Milliseconds(60));
  EXPECT_GE(transfer.AppliedByLaggard(), 350U);
  EXPECT_EQ(transfer.cluster.CheckInvariants(), "");
}

TEST(ReplicaTest, AMemberThatRestartsDuringASnapshotGetsItAgain) {
  SnapshotTransfer transfer;
  for (int step = 0; step < 100 && transfer.snapshot_bytes_sent == 0; ++step) {
    transfer.PassTime(Milliseconds(10), Milliseconds(60));
  }
  ASSERT_GT(transfer.snapshot_bytes_sent, 0U);
  ASSERT_LT(transfer.AppliedByLaggard(), 300U);
  transfer.cluster.Crash(transfer.laggard);
  transfer.cluster.Restart(transfer.laggard);
  transfer.PassTime(Milliseconds(20'000), Milliseconds(60));
  EXPECT_GE(transfer.AppliedByLaggard(), 300U);
  EXPECT_EQ(transfer.cluster.CheckInvariants(), "");
}

TEST(ReplicaTest, MembersChangeOneAtATime) {
  Cluster cluster(3);
  const auto leader = cluster.ElectLeader();
  ASSERT_TRUE(leader);
  Replica& replica = *cluster.nodes[*leader].replica;
  const std::size_t added = cluster.AddNode(NodeId("n9.1"));
  Membership two_at_once = replica.membership();
  two_at_once.voters.insert(NodeId("n9.1"));
  two_at_once.voters.erase(cluster.nodes[(*leader + 1) % 3].id);
  EXPECT_EQ(
      CodeOf(replica.ProposeMembership(two_at_once, cluster.now).status()),
      ResultCode::kBadArgument);
  Membership with_learner = replica.membership();
  with_learner.learners.insert(NodeId("n9.1"));
  ASSERT_TRUE(replica.ProposeMembership(with_learner, cluster.now).ok());
  EXPECT_EQ(
      CodeOf(replica.ProposeMembership(with_learner, cluster.now).status()),
      ResultCode::kWrongState);
  cluster.PassTime(Milliseconds(1'000));
  Membership with_voter = replica.membership();
  with_voter.learners.erase(NodeId("n9.1"));
  with_voter.voters.insert(NodeId("n9.1"));
  ASSERT_TRUE(replica.ProposeMembership(with_voter, cluster.now).ok());
  cluster.PassTime(Milliseconds(1'000));
  EXPECT_EQ(cluster.nodes[added].replica->membership().voters.size(), 4U);
  EXPECT_EQ(cluster.CheckInvariants(), "");
}

TEST(ReplicaTest, AnEmptyDiskUnderItsOldNameNeverVotes) {
  Cluster cluster(3);
  const auto leader = cluster.ElectLeader();
  ASSERT_TRUE(leader);
  const std::size_t lost = (*leader + 1) % 3;
  cluster.Crash(lost);
  // The same process returns with a new disk and therefore a new incarnation.
  const std::size_t new_position = cluster.AddNode(NodeId("n9.2"));
  cluster.PassTime(Milliseconds(30'000));
  EXPECT_EQ(cluster.nodes[new_position].replica->role(), Role::kFollower);
  EXPECT_EQ(cluster.nodes[new_position].replica->term(), Term(0));
}

TEST(ReplicaTest, ALostDiskComesBackAsALearnerAndThenVotes) {
  Cluster cluster(3);
  const auto leader = cluster.ElectLeader();
  ASSERT_TRUE(leader);
  ASSERT_TRUE(cluster.Propose(*leader, "a").ok());
  cluster.PassTime(Milliseconds(500));
  const std::size_t lost = (*leader + 1) % 3;
  const NodeId old = cluster.nodes[lost].id;
  cluster.Crash(lost);
  const NodeId new_node("n9.2");
  const std::size_t new_position = cluster.AddNode(new_node);
  Replica& replica = *cluster.nodes[*leader].replica;
  const auto change = [&](auto edit) {
    Membership membership = replica.membership();
    edit(membership);
    ASSERT_TRUE(replica.ProposeMembership(membership, cluster.now).ok());
    cluster.PassTime(Milliseconds(1'000));
    ASSERT_EQ(cluster.CheckInvariants(), "");
  };
  change([&](Membership& membership) { membership.learners.insert(new_node); });
  EXPECT_EQ(cluster.nodes[new_position].applied, std::vector<std::string>{"a"});
  change([&](Membership& membership) { membership.voters.erase(old); });
  change([&](Membership& membership) {
    membership.learners.erase(new_node);
    membership.voters.insert(new_node);
  });
  // If the replica of the old disk starts again, the others ignore it.
  cluster.Restart(lost);
  const Term term = replica.term();
  cluster.PassTime(Milliseconds(10'000));
  EXPECT_EQ(replica.term(), term);
  // The vote of the new replica counts.
  cluster.Crash(*leader);
  EXPECT_TRUE(cluster.ElectLeader());
  EXPECT_EQ(cluster.CheckInvariants(), "");
}

// Guards against a group that nobody can lead: the others count the vote of a
// spare that has not received the entry that made it a voter.
TEST(ReplicaTest, ASpareVotesBeforeItKnowsOfItsPromotion) {
  Cluster cluster(5);
  const auto leader = cluster.ElectLeader();
  ASSERT_TRUE(leader);
  const NodeId spare("n9.1");
  const std::size_t spare_position = cluster.AddNode(spare);
  Replica& replica = *cluster.nodes[*leader].replica;
  const std::size_t lost = (*leader + 1) % 5;
  const auto change = [&](auto edit) {
    Membership membership = replica.membership();
    edit(membership);
    ASSERT_TRUE(replica.ProposeMembership(membership, cluster.now).ok());
    cluster.PassTime(Milliseconds(100));
    ASSERT_TRUE(replica.is_membership_committed());
  };
  change([&](Membership& members) { members.learners.insert(spare); });
  cluster.Crash(lost);
  change([&](Membership& members) {
    members.voters.erase(cluster.nodes[lost].id);
  });
  cluster.SetCut(spare_position, true);
  change([&](Membership& members) {
    members.learners.erase(spare);
    members.voters.insert(spare);
  });
  ASSERT_TRUE(cluster.Propose(*leader, "a").ok());
  cluster.PassTime(Milliseconds(20));

  // All lose power, and two of the voters their disks.
  for (std::size_t node = 0; node < cluster.nodes.size(); ++node) {
    cluster.Crash(node);
  }
  cluster.SetCut(spare_position, false);
  const std::size_t wiped = (*leader + 2) % 5;
  for (std::size_t node = 0; node < cluster.nodes.size(); ++node) {
    if (node != lost && node != *leader && node != wiped) {
      cluster.Restart(node);
    }
  }
  EXPECT_TRUE(cluster.ElectLeader());
  cluster.PassTime(Milliseconds(1'000));
  EXPECT_EQ(cluster.nodes[spare_position].applied,
            std::vector<std::string>{"a"});
  EXPECT_EQ(cluster.CheckInvariants(), "");
}

TEST(ReplicaTest, ARestartedCopyIsNotVerifiedUntilALeaderVouchesForIt) {
  Cluster cluster(3);
  const auto leader = cluster.ElectLeader();
  ASSERT_TRUE(leader);
  ASSERT_TRUE(cluster.Propose(*leader, "a").ok());
  cluster.PassTime(Milliseconds(500));
  const std::size_t other = (*leader + 1) % 3;
  EXPECT_TRUE(cluster.nodes[other].replica->has_verified_state());
  cluster.Crash(other);
  cluster.SetCut(other, true);
  cluster.Restart(other);
  cluster.PassTime(Milliseconds(2'000));
  EXPECT_FALSE(cluster.nodes[other].replica->has_verified_state());
  cluster.SetCut(other, false);
  cluster.PassTime(Milliseconds(5'000));
  EXPECT_TRUE(cluster.nodes[other].replica->has_verified_state());
}

// Returns one replica of three that has one entry of term 2 and has just won
// the election of term 4.
std::unique_ptr<Replica> MakeLeaderWithOldEntry(SteadyTime now) {
  const Membership membership{{NodeId("n0.1"), NodeId("n1.1"), NodeId("n2.1")},
                              {}};
  StartState start{.self = NodeId("n0.1"),
                   .hard_state = {Term(3), std::nullopt}};
  start.snapshot.meta.membership = membership;
  start.entries = {
      Entry{.term = Term(2), .index = LogIndex(1), .payload = "old"}};
  auto replica =
      std::make_unique<Replica>(ReplicationSettings(), start, SteadyTime{});
  replica->Tick(now);
  const Message pre_vote{NodeId("n1.1"), NodeId("n0.1"), Term(4),
                         VoteAnswer{true, true}};
  replica->Receive(pre_vote, now);
  const Message vote{NodeId("n1.1"), NodeId("n0.1"), Term(4),
                     VoteAnswer{false, true}};
  replica->Receive(vote, now);
  return replica;
}

TEST(ReplicaTest, AnEntryOfAnOldTermIsNotCommittedByCounting) {
  const SteadyTime now{Milliseconds(5'000)};
  const auto replica = MakeLeaderWithOldEntry(now);
  ASSERT_EQ(replica->role(), Role::kLeader);
  const auto acknowledge = [&](std::uint64_t index) {
    replica->Receive(Message{NodeId("n1.1"), NodeId("n0.1"), Term(4),
                             AppendAnswer{true, LogIndex(index), now}},
                     now);
  };
  // A majority holds the entry of term 2 now, but a later leader could still
  // overwrite it (Raft, figure 8).
  acknowledge(1);
  EXPECT_EQ(replica->commit_index(), LogIndex(0));
  acknowledge(2);
  replica->HandleLogWritten(LogIndex(2), now);
  EXPECT_EQ(replica->commit_index(), LogIndex(2));
}

TEST(ReplicaTest, ALeaderCountsItsOwnCopyOnlyOnceItIsWritten) {
  const SteadyTime now{Milliseconds(5'000)};
  const auto replica = MakeLeaderWithOldEntry(now);
  replica->Receive(Message{NodeId("n1.1"), NodeId("n0.1"), Term(4),
                           AppendAnswer{true, LogIndex(2), now}},
                   now);
  EXPECT_EQ(replica->commit_index(), LogIndex(0));
  replica->HandleLogWritten(LogIndex(2), now);
  EXPECT_EQ(replica->commit_index(), LogIndex(2));
}

TEST(ReplicaTest, ALeaderWithAStalledDiskCommitsWithTheOtherVoters) {
  const SteadyTime now{Milliseconds(5'000)};
  const auto replica = MakeLeaderWithOldEntry(now);
  for (const char* other : {"n1.1", "n2.1"}) {
    replica->Receive(Message{NodeId(other), NodeId("n0.1"), Term(4),
                             AppendAnswer{true, LogIndex(2), now}},
                     now);
  }
  EXPECT_EQ(replica->commit_index(), LogIndex(2));
}

TEST(ReplicaTest, ASnapshotKeepsAcknowledgedEntriesAfterIt) {
  const SteadyTime now{Milliseconds(5'000)};
  const Membership membership{{NodeId("n0.1"), NodeId("n1.1"), NodeId("n2.1")},
                              {}};
  StartState start{.self = NodeId("n0.1")};
  start.snapshot.meta.membership = membership;
  Replica replica(ReplicationSettings(), start, now);
  AppendRequest append{.sent_at = now};
  for (std::uint64_t index = 1; index <= 5; ++index) {
    append.entries.push_back(
        Entry{.term = Term(1), .index = LogIndex(index), .payload = "x"});
  }
  replica.Receive(Message{NodeId("n1.1"), NodeId("n0.1"), Term(1), append},
                  now);
  const SnapshotChunk chunk{.meta = {LogIndex(3), Term(1), membership},
                            .is_last = true};
  replica.Receive(Message{NodeId("n1.1"), NodeId("n0.1"), Term(1), chunk}, now);
  const Output output = replica.TakeOutput();
  EXPECT_FALSE(output.does_snapshot_replace_log);
  ASSERT_EQ(output.entries_to_write.size(), 2U);
  EXPECT_EQ(output.entries_to_write.front().index, LogIndex(4));
  EXPECT_EQ(replica.last_index(), LogIndex(5));
}

}  // namespace
}  // namespace sumac::replication
