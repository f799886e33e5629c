// SPDX-License-Identifier: Apache-2.0
// A leader of 1,100 workers in a rush of three times what it could start took
// every job, and gave its starts to the newest. 14 s after the last job had
// come, 171 to 3,965 of them had not begun, though half of the workers were
// free.
#include "libraries/scheduler/backlog.h"

#include <gtest/gtest.h>

namespace sumac::scheduler {
namespace {

class BacklogTest : public testing::Test {
 protected:
  // Lets so many jobs finish a second.
  void Finish(int a_second, int seconds) {
    for (int number = 0; number < a_second * seconds; ++number) {
      this->now += Milliseconds(1'000) / a_second;
      this->backlog.RecordFinished(this->now);
    }
  }
  // True if a queue is refused that is the only one with jobs that wait.
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

// A leader that has not been busy yet refuses nobody in the first seconds.
TEST_F(BacklogTest, SomeAreTakenWhileTheRateIsNotKnown) {
  EXPECT_FALSE(this->IsFull(499));
  EXPECT_TRUE(this->IsFull(500));
  EXPECT_EQ(this->backlog.RetryAfter({.of_all = 500}), Milliseconds(4'000));
}

// Nor does a calm time make it forget at once what it can do.
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

}  // namespace
}  // namespace sumac::scheduler
