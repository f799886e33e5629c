// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include <concepts>
#include <cstddef>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "tests/libraries/replication/cluster.h"

namespace sumac::replication {
namespace {

// Returns the position of the first message to a node for which `is_meant`
// returns true.
template <std::predicate<const Message&> Predicate>
std::optional<std::size_t> FindMessage(const Cluster& cluster,
                                       const NodeId& to,
                                       Predicate is_meant) {
  for (std::size_t position = 0; position < cluster.network.size();
       ++position) {
    const Message& message = cluster.network[position];
    if (message.to == to && is_meant(message)) {
      return position;
    }
  }
  return std::nullopt;
}

// Delivers the first message to a node that contains a `Body`, and returns true
// if there is one.
template <typename Body>
bool DeliverTo(Cluster& cluster, const NodeId& to) {
  const auto position = FindMessage(cluster, to, [](const Message& message) {
    return std::holds_alternative<Body>(message.body);
  });
  return position && cluster.Deliver(*position);
}

// Three voters of which the leader has been silent for longer than an election
// timeout. One voter has just stood for election and holds the consent of the
// other one; the leader has not stepped down.
class DeposedLeaderTest : public testing::Test {
 protected:
  DeposedLeaderTest() {
    this->leader = this->cluster.ElectLeader().value();
    this->voter = (this->leader + 1) % 3;
    this->other = (this->leader + 2) % 3;
    EXPECT_TRUE(this->cluster.Propose(this->leader, "a").ok());
    this->cluster.PassTime(Milliseconds(300));
    this->cluster.SetCut(this->leader, true);
    this->cluster.nodes[this->other].is_frozen = true;
    while (this->Leader().role() == Role::kLeader && !this->HasVoterAsked()) {
      this->cluster.network.clear();
      this->cluster.Tick(Milliseconds(10));
    }
    this->cluster.nodes[this->other].is_frozen = false;
    EXPECT_TRUE(DeliverTo<VoteRequest>(this->cluster, this->IdOf(this->other)));
    this->cluster.SetCut(this->leader, false);
  }

  Replica& Leader() { return *this->cluster.nodes[this->leader].replica; }
  const NodeId& IdOf(std::size_t node) const {
    return this->cluster.nodes[node].id;
  }
  bool HasVoterAsked() const {
    return FindMessage(
               this->cluster, this->IdOf(this->other),
               [](const Message& message) {
                 return std::holds_alternative<VoteRequest>(message.body);
               })
        .has_value();
  }

  Cluster cluster{3, 1};
  std::size_t leader = 0;
  std::size_t voter = 0;
  std::size_t other = 0;
};

// The leader gets its lease back from the other voter, which gives its vote to
// nobody from then on. The voter that stood has begun a newer term, so the
// leader steps down with the lease, and the outcome of its commands is unknown.
TEST_F(DeposedLeaderTest, AVoterThatStoodBeforeDeposesALeaderWithALease) {
  ASSERT_EQ(this->Leader().role(), Role::kLeader);
  ASSERT_FALSE(this->Leader().HoldsLease(this->cluster.now));
  const Term term = this->Leader().term();
  // The other voter's consent is on its way while the leader is heard again.
  std::vector<Message> consent;
  std::erase_if(this->cluster.network, [&](const Message& message) {
    const bool is_consent = std::holds_alternative<VoteAnswer>(message.body);
    if (is_consent) {
      consent.push_back(message);
    }
    return true;
  });
  ASSERT_EQ(consent.size(), 1U);
  while (this->cluster.network.empty()) {
    this->cluster.now += Milliseconds(10);
    this->Leader().Tick(this->cluster.now);
    this->cluster.Pump(this->leader);
  }
  ASSERT_TRUE(DeliverTo<AppendRequest>(this->cluster, this->IdOf(this->other)));
  ASSERT_TRUE(DeliverTo<AppendAnswer>(this->cluster, this->IdOf(this->leader)));
  ASSERT_TRUE(this->Leader().is_ready_to_lead());
  ASSERT_TRUE(this->Leader().HoldsLease(this->cluster.now));

  this->cluster.network.clear();
  const auto index = this->cluster.Propose(this->leader, "b");
  ASSERT_TRUE(index.ok());
  this->cluster.network.push_front(consent.front());
  ASSERT_TRUE(this->cluster.Deliver(0));
  EXPECT_EQ(this->cluster.nodes[this->voter].replica->role(), Role::kCandidate);
  ASSERT_TRUE(DeliverTo<AppendRequest>(this->cluster, this->IdOf(this->voter)));
  ASSERT_TRUE(DeliverTo<AppendAnswer>(this->cluster, this->IdOf(this->leader)));
  EXPECT_EQ(this->Leader().role(), Role::kFollower);
  EXPECT_GT(this->Leader().term(), term);
  EXPECT_LT(this->Leader().commit_index(), *index);

  // The group serves again.
  const auto next = this->cluster.ElectLeader();
  ASSERT_TRUE(next);
  ASSERT_TRUE(this->cluster.Propose(*next, "c").ok());
  this->cluster.PassTime(Milliseconds(400));
  for (const Cluster::Node& node : this->cluster.nodes) {
    EXPECT_EQ(node.applied.front(), "a");
    EXPECT_EQ(node.applied.back(), "c");
  }
  EXPECT_EQ(this->cluster.CheckInvariants(), "");
}

}  // namespace
}  // namespace sumac::replication
