// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/dominant_shares.h"

#include <gtest/gtest.h>

namespace sumac::scheduler {
namespace {

constexpr SteadyTime kNow{Milliseconds(1'000)};
const jobs::CustomerDeclaration kAnn{.name = CustomerName("ann"), .weight = 1};
const jobs::CustomerDeclaration kBob{.name = CustomerName("bob"), .weight = 1};
// Ann's jobs need mostly processors, Bob's mostly memory.
constexpr ShareRequest kCores{.need = {.millicores = 1'000, .memory_mb = 10}};
constexpr ShareRequest kMemory{.need = {.millicores = 100, .memory_mb = 1'000}};

TEST(DominantSharesTest, EachGetsItsShareOfTheResourceThatItNeedsMost) {
  DominantShares shares;
  shares.SetCapacity({.millicores = 10'000, .memory_mb = 10'000});
  shares.CountJob(kBob, kMemory, kNow);
  int ann = 0;
  int bob = 1;
  for (int job = 0; job < 20; ++job) {
    ann += shares.CountJob(kAnn, kCores, kNow) ? 0 : 1;
    bob += shares.CountJob(kBob, kMemory, kNow) ? 0 : 1;
  }
  EXPECT_EQ(ann, 5);
  EXPECT_EQ(bob, 5);
  // Its end makes room for another job.
  EXPECT_TRUE(shares.CountJob(kAnn, kCores, kNow));
  shares.CountEnd(kAnn, kCores, kNow);
  EXPECT_FALSE(shares.CountJob(kAnn, kCores, kNow));
}

TEST(DominantSharesTest, ACustomerAloneGetsTheWholeFleet) {
  DominantShares shares;
  shares.SetCapacity({.millicores = 10'000, .memory_mb = 10'000});
  int ann = 0;
  for (int job = 0; job < 20; ++job) {
    ann += shares.CountJob(kAnn, kCores, kNow) ? 0 : 1;
  }
  EXPECT_EQ(ann, 10);
}

}  // namespace
}  // namespace sumac::scheduler
