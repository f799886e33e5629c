// SPDX-License-Identifier: Apache-2.0
#include "libraries/relay/relay_routes.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace sumac::relay {
namespace {

constexpr int kWorkers = 1'000;
constexpr SteadyTime kStart{Milliseconds(1'000)};

WorkerId WorkerOf(int number) {
  return WorkerId("worker-" + std::to_string(number));
}

// How many workers each relay has.
std::map<std::size_t, int> Share(RelayRoutes& routes) {
  std::map<std::size_t, int> shares;
  for (int number = 0; number < kWorkers; ++number) {
    ++shares[routes.Find(WorkerOf(number), DataCentre("none"), kStart)];
  }
  return shares;
}

TEST(RelayRoutesTest, WithoutRelaysTheLeaderMakesTheCalls) {
  RelayRoutes routes;
  EXPECT_TRUE(routes.empty());
  EXPECT_EQ(routes.Find(WorkerOf(1), DataCentre("a"), kStart),
            RelayRoutes::kLeader);
}

TEST(RelayRoutesTest, WorkersAreSharedOutEvenly) {
  RelayRoutes routes;
  for (std::size_t relay = 0; relay < 4; ++relay) {
    routes.Add(relay, DataCentre("other"));
  }
  const std::map<std::size_t, int> shares = Share(routes);
  EXPECT_EQ(shares.size(), 4U);
  for (const auto& [relay, share] : shares) {
    EXPECT_GT(share, kWorkers / 6) << relay;
  }
}

TEST(RelayRoutesTest, AWorkerGoesToARelayOfItsDataCentre) {
  RelayRoutes routes;
  routes.Add(0, DataCentre("a"));
  routes.Add(1, DataCentre("b"));
  for (int number = 0; number < kWorkers; ++number) {
    EXPECT_EQ(routes.Find(WorkerOf(number), DataCentre("b"), kStart), 1U);
  }
}

TEST(RelayRoutesTest, OnlyTheWorkersOfALostRelayGetAnother) {
  RelayRoutes routes;
  for (std::size_t relay = 0; relay < 4; ++relay) {
    routes.Add(relay, DataCentre("other"));
  }
  std::map<int, std::size_t> before;
  for (int number = 0; number < kWorkers; ++number) {
    before[number] = routes.Find(WorkerOf(number), DataCentre("a"), kStart);
  }
  routes.Remove(2);
  for (int number = 0; number < kWorkers; ++number) {
    const std::size_t now =
        routes.Find(WorkerOf(number), DataCentre("a"), kStart);
    EXPECT_NE(now, 2U);
    EXPECT_TRUE(before[number] == 2 || now == before[number]);
  }
}

// A relay may be cut off from workers and not from the leader.
TEST(RelayRoutesTest, AWorkerThatARelayCannotReachGetsAnotherForAWhile) {
  constexpr Milliseconds kAvoidTime{5'000};
  RelayRoutes routes;
  routes.Add(0, DataCentre("a"));
  routes.Add(1, DataCentre("b"));
  const WorkerId worker = WorkerOf(1);
  EXPECT_EQ(routes.Find(worker, DataCentre("a"), kStart), 0U);
  routes.RecordFailure(worker, 0, kStart);
  EXPECT_EQ(routes.Find(worker, DataCentre("a"), kStart), 1U);
  // A late answer of the relay before says nothing about the present one.
  routes.RecordFailure(worker, 0, kStart);
  EXPECT_EQ(routes.Find(worker, DataCentre("a"), kStart), 1U);
  routes.RecordFailure(worker, 1, kStart);
  EXPECT_EQ(routes.Find(worker, DataCentre("a"), kStart), RelayRoutes::kLeader);
  EXPECT_EQ(routes.Find(worker, DataCentre("a"), kStart + kAvoidTime), 0U);
}

}  // namespace
}  // namespace sumac::relay
