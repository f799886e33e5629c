// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/customer_shares.h"

#include <gtest/gtest.h>

#include "libraries/scheduler/urgency.h"
#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {
namespace {

constexpr SteadyTime kStart{Milliseconds(1'000)};
constexpr Milliseconds kSecond{1'000};

// Returns how many of `jobs` jobs, sent evenly within `time`, are beyond the
// share.
int CountBeyond(CustomerShares& shares,
                const jobs::CustomerDeclaration& customer,
                int jobs,
                SteadyTime from,
                Milliseconds time) {
  int beyond = 0;
  for (int job = 0; job < jobs; ++job) {
    beyond +=
        static_cast<int>(shares.CountJob(&customer, from + time * job / jobs));
  }
  return beyond;
}

TEST(CustomerSharesTest, WhatIsSentWithinTheWeightIsWithinTheShare) {
  const jobs::CustomerDeclaration ann{.name = CustomerName("ann"), .weight = 5};
  CustomerShares shares;
  EXPECT_EQ(CountBeyond(shares, ann, 100, kStart, 20 * kSecond), 0);
}

TEST(CustomerSharesTest, AFloodIsBeyondTheShareBarOneSecondOfIt) {
  const jobs::CustomerDeclaration ann{.name = CustomerName("ann"), .weight = 5};
  const jobs::CustomerDeclaration bob{.name = CustomerName("bob"), .weight = 5};
  CustomerShares shares;
  // 50 jobs a second for 10 s; 50 of them and one second's share are owed.
  const int beyond = CountBeyond(shares, ann, 500, kStart, 10 * kSecond);
  EXPECT_NEAR(beyond, 445, 2);
  EXPECT_TRUE(shares.IsUsedUp(&ann, kStart + 10 * kSecond));
  EXPECT_FALSE(shares.IsUsedUp(&bob, kStart + 10 * kSecond));
  EXPECT_FALSE(shares.IsUsedUp(&ann, kStart + 11 * kSecond));
}

TEST(CustomerSharesTest, AShareBelowOneJobASecondAllowsOneAtATime) {
  const jobs::CustomerDeclaration ann{.name = CustomerName("ann"),
                                      .weight = 0.5};
  CustomerShares shares;
  EXPECT_FALSE(shares.CountJob(&ann, kStart));
  EXPECT_TRUE(shares.CountJob(&ann, kStart + kSecond));
  EXPECT_FALSE(shares.CountJob(&ann, kStart + 3 * kSecond));
  EXPECT_FALSE(shares.CountJob(nullptr, kStart));
}

// One customer floods a full fleet; the other's jobs must not wait behind it.
TEST(CustomerSharesTest, AFloodDoesNotDelayWhatOthersAreOwed) {
  FakeFleet fleet(1);
  fleet.work = Milliseconds(500);
  fleet.PassTime(Milliseconds(500));
  for (int job = 0; job < 100; ++job) {
    fleet.Commit(
        jobs::SubmitJob{.job = JobId("flood" + std::to_string(job)),
                        .queue = QueueName("clips"),
                        .spec = {.steps = {{.need = {.millicores = 8'000}}}},
                        .customer = CustomerName("ann"),
                        .is_beyond_share = true});
  }
  fleet.PassTime(Milliseconds(200));
  fleet.Submit("owed", {.need = {.millicores = 8'000}}, "clips", "bob");
  EXPECT_EQ(fleet.scheduler->CountWaitingFor(QueueName("clips")).of_queue, 0U);
  fleet.PassTime(Milliseconds(1'500));
  EXPECT_FALSE(fleet.job("owed").is_active());
  EXPECT_EQ(fleet.problem, "");
}

}  // namespace
}  // namespace sumac::scheduler
