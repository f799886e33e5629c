// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/waiting_table.h"

#include <gtest/gtest.h>

namespace sumac::scheduler {
namespace {

constexpr std::uint32_t kTasks = 4;

// One step, reviewed again and again.
class WaitingTableTest : public testing::Test {
 protected:
  ReviewFinding Review(Milliseconds after) {
    this->now += after;
    this->table.Begin(this->now);
    return this->table.RecordWait(this->step, kTasks, this->cause);
  }

  const jobs::StepId step{JobId("job"), 0, 0};
  WaitingCause cause{.reason = WaitingReason::kRoom};
  SteadyTime now{Milliseconds(10'000)};
  WaitingTable table;
};

TEST_F(WaitingTableTest, ALongWaitIsReportedOnce) {
  EXPECT_EQ(this->Review(Milliseconds(0)), ReviewFinding::kNone);
  EXPECT_EQ(this->Review(WaitingTable::kLongWait - Milliseconds(1)),
            ReviewFinding::kNone);
  EXPECT_EQ(this->Review(Milliseconds(1)), ReviewFinding::kWaitsLong);
  EXPECT_EQ(this->Review(Milliseconds(1'000)), ReviewFinding::kNone);
}

TEST_F(WaitingTableTest, AWaitDespiteRoomIsReportedAlsoAfterALongWait) {
  this->Review(Milliseconds(0));
  EXPECT_EQ(this->Review(WaitingTable::kLongWait), ReviewFinding::kWaitsLong);
  this->cause.is_feasible = true;
  EXPECT_EQ(this->Review(Milliseconds(1'000)), ReviewFinding::kNone);
  this->cause.is_half_free = true;
  EXPECT_EQ(this->Review(Milliseconds(1'000)),
            ReviewFinding::kWaitsDespiteRoom);
  EXPECT_EQ(this->Review(Milliseconds(1'000)), ReviewFinding::kNone);
}

TEST_F(WaitingTableTest, AStepThatIsNotRecordedNoLongerWaits) {
  this->Review(Milliseconds(0));
  this->now += WaitingTable::kLongWait;
  this->table.Begin(this->now);
  EXPECT_TRUE(this->table.steps().empty());
  EXPECT_EQ(this->Review(Milliseconds(1'000)), ReviewFinding::kNone);
}

TEST_F(WaitingTableTest, TasksAreCountedByReason) {
  this->Review(Milliseconds(0));
  EXPECT_EQ(this->table.CountTasks(WaitingReason::kRoom), kTasks);
  EXPECT_EQ(this->table.CountTasks(WaitingReason::kLabel), 0U);
}

TEST_F(WaitingTableTest, AReviewIsBounded) {
  this->table.Begin(this->now);
  for (std::uint32_t number = 0; number < WaitingTable::kMostSteps; ++number) {
    EXPECT_TRUE(this->table.HasRoom());
    this->table.RecordWait({JobId("job"), 0, number}, kTasks, this->cause);
  }
  EXPECT_FALSE(this->table.HasRoom());
}

}  // namespace
}  // namespace sumac::scheduler
