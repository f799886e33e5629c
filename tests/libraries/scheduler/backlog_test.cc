// SPDX-License-Identifier: Apache-2.0
// Guards against a backlog that outlasts a load spike. A leader of 1,100
// workers received three times the jobs that it could start, accepted all of
// them, and started the newest first. 14 s after the last job had arrived, 171
// to 3,965 of them had not begun, although half of the workers were free.
#include "libraries/scheduler/backlog.h"

#include <gtest/gtest.h>

namespace sumac::scheduler {
namespace {

class BacklogTest : public testing::Test {
 protected:
  // Finishes `a_second` jobs in each of `seconds` seconds.
  void Finish(int a_second, int seconds) {
    for (int number = 0; number < a_second * seconds; ++number) {
      this->now += Milliseconds(1'000) / a_second;
      this->backlog.RecordFinished(this->now);
    }
  }
  // Returns true if the only queue with waiting jobs is refused.
  bool IsFull(std::size_t waiting) const {
    return this->backlog.IsFull(
        {.of_queue = waiting, .of_all = waiting, .queues = 1});
  }

  Backlog backlog;
  SteadyTime now{Milliseconds(10'000)};
};

TEST_F(BacklogTest, AsManyAreTakenAsCanBeBegunInTime) {
  this->Finish(100, 4);
  EXPECT_FALSE(this->IsFull(990));
  EXPECT_TRUE(this->IsFull(1'010));
  EXPECT_NEAR(
      static_cast<double>(this->backlog.RetryAfter({.of_all = 250}).count()),
      2'500, 100);
}

// A leader that has not been busy yet refuses nobody in the first seconds of a
// load spike.
TEST_F(BacklogTest, SomeAreTakenWhileTheRateIsNotKnown) {
  EXPECT_FALSE(this->IsFull(499));
  EXPECT_TRUE(this->IsFull(500));
  EXPECT_EQ(this->backlog.RetryAfter({.of_all = 500}), Milliseconds(4'000));
}

// The best rate must not drop at once when fewer jobs arrive.
TEST_F(BacklogTest, TheBestRateDecaysSlowly) {
  this->Finish(100, 4);
  this->Finish(5, 10);
  EXPECT_FALSE(this->IsFull(550));
  this->Finish(5, 60);
  EXPECT_TRUE(this->IsFull(550));
}

TEST_F(BacklogTest, AQueueIsNotRefusedForTheBacklogOfAnother) {
  this->Finish(100, 4);
  EXPECT_TRUE(
      this->backlog.IsFull({.of_queue = 900, .of_all = 1'000, .queues = 2}));
  EXPECT_FALSE(
      this->backlog.IsFull({.of_queue = 100, .of_all = 1'000, .queues = 2}));
}

// Half of the capacity is lost while jobs finish at the rate of all of it. The
// best rate of the past would admit, for many seconds, twice what can be begun.
TEST_F(BacklogTest, ALossOfCapacityLowersTheBestRateAtOnce) {
  this->Finish(200, 4);
  EXPECT_FALSE(this->IsFull(1'900));
  this->backlog.ScaleRate(0.5, this->now);
  EXPECT_TRUE(this->IsFull(1'010));
  EXPECT_FALSE(this->IsFull(900));
  // Jobs that had begun before the loss still finish.
  this->Finish(200, 2);
  EXPECT_TRUE(this->IsFull(1'010));
  // The rate that the capacity left allows counts in full.
  this->Finish(100, 2);
  EXPECT_FALSE(this->IsFull(900));
  this->Finish(100, 10);
  EXPECT_FALSE(this->IsFull(900));
  EXPECT_TRUE(this->IsFull(1'010));
}

TEST_F(BacklogTest, TheRateRisesWithTheCapacity) {
  this->Finish(200, 4);
  this->backlog.ScaleRate(0.5, this->now);
  this->Finish(100, 5);
  EXPECT_TRUE(this->IsFull(1'010));
  this->Finish(200, 3);
  EXPECT_FALSE(this->IsFull(1'900));
}

}  // namespace
}  // namespace sumac::scheduler
