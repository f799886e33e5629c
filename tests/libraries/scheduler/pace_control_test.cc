// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/pace_control.h"

#include <gtest/gtest.h>

namespace sumac::scheduler {
namespace {

SharingReport At(std::int64_t permille) {
  return {.worst_permille = permille,
          .serving_image = "site",
          .filler_image = "batch"};
}

class PaceControlTest : public testing::Test {
 protected:
  bool Report(std::int64_t permille, int after) {
    this->now += Milliseconds(after);
    return this->control.Update(this->pace, At(permille), this->now);
  }

  PaceControl control;
  PaceState pace;
  SteadyTime now{Milliseconds(10'000)};
};

TEST_F(PaceControlTest, NearTheTargetItGoesDownAndWaitsForTheEffect) {
  EXPECT_TRUE(this->Report(900, 1'000));
  EXPECT_EQ(this->pace.percent, 50U);
  EXPECT_FALSE(this->Report(900, 300));
  EXPECT_TRUE(this->Report(900, 300));
  EXPECT_EQ(this->pace.percent, 25U);
}

TEST_F(PaceControlTest, FarOverTheTargetItStopsAtOnce) {
  EXPECT_TRUE(this->Report(1'500, 1'000));
  EXPECT_EQ(this->pace.percent, 0U);
  EXPECT_FALSE(this->Report(1'500, 1'000));
}

TEST_F(PaceControlTest, ItComesBackSlowlyAndRemembersWhatWasTooFast) {
  this->Report(900, 1'000);
  this->Report(900, 1'000);
  ASSERT_EQ(this->pace.percent, 25U);
  EXPECT_FALSE(this->Report(500, 500));
  EXPECT_TRUE(this->Report(500, 500));
  EXPECT_EQ(this->pace.percent, 35U);
  EXPECT_TRUE(this->Report(500, 1'000));
  EXPECT_EQ(this->pace.percent, 45U);
  // A pace of 50 percent was too fast, so the pace now rises in small steps.
  EXPECT_TRUE(this->Report(500, 1'000));
  EXPECT_EQ(this->pace.percent, 48U);
  EXPECT_EQ(this->control.FirstPercent("site", "batch"), 48U);
  EXPECT_EQ(this->control.FirstPercent("site", "other"), 100U);
}

TEST_F(PaceControlTest, BetweenTheBoundsNothingChanges) {
  this->Report(900, 1'000);
  EXPECT_FALSE(this->Report(750, 5'000));
  EXPECT_EQ(this->pace.percent, 50U);
}

}  // namespace
}  // namespace sumac::scheduler
