// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/start_forecast.h"

#include <gtest/gtest.h>

namespace sumac::scheduler {
namespace {

const QueueName kQueue("clips");
constexpr Milliseconds kToSpare{1'000};
constexpr Milliseconds kLate{-1};

class StartForecastTest : public testing::Test {
 protected:
  // Records `count` jobs as begun now.
  void Begin(int count) {
    for (int number = 0; number < count; ++number) {
      this->forecast.RecordFirstStart(kQueue, this->now);
    }
  }
  void Wait(std::size_t new_in_time, std::size_t late = 0) {
    this->forecast.UpdateWaiting(
        {{kQueue, {.new_in_time = new_in_time, .late = late}}});
  }
  bool IsTooLate(Milliseconds to_spare) {
    return this->forecast.IsTooLate(kQueue, to_spare, this->now);
  }

  StartForecast forecast;
  SteadyTime now{Milliseconds(10'000)};
};

TEST_F(StartForecastTest, AJobIsTooLateBehindMoreThanAreBegunInHalfItsTime) {
  this->Begin(100);
  this->Wait(49);
  EXPECT_FALSE(this->IsTooLate(kToSpare));
  this->Wait(51);
  EXPECT_TRUE(this->IsTooLate(kToSpare));
  EXPECT_FALSE(this->IsTooLate(2 * kToSpare));
}

// A queue's turn begins: its pool has a few instances, and many move to it.
// Jobs were refused by the rate of the few, beside instances that were switched
// off.
TEST_F(StartForecastTest, AGrowingPoolBeginsMore) {
  this->Begin(10);
  this->Wait(20);
  EXPECT_TRUE(this->IsTooLate(kToSpare));
  EXPECT_FALSE(this->forecast.IsTooLate(kQueue, kToSpare, this->now, 5.0));
  EXPECT_TRUE(this->forecast.IsTooLate(kQueue, kToSpare, this->now, 3.0));
}

TEST_F(StartForecastTest, AFewAreTakenWhileTheRateIsNotKnown) {
  this->Wait(15);
  EXPECT_FALSE(this->IsTooLate(kToSpare));
  this->Wait(16);
  EXPECT_TRUE(this->IsTooLate(kToSpare));
}

TEST_F(StartForecastTest, JobsTakenAndBegunSinceTheLastPassCount) {
  this->Wait(15);
  this->forecast.RecordAccepted(kQueue);
  EXPECT_TRUE(this->IsTooLate(kToSpare));
  this->Begin(1);
  EXPECT_FALSE(this->IsTooLate(kToSpare));
}

// Waiting jobs that are late may cause the refusal only of jobs that are late,
// too.
TEST_F(StartForecastTest, LateJobsDelayOnlyLateOnes) {
  this->Begin(100);
  this->Wait(10, 1'000);
  EXPECT_FALSE(this->IsTooLate(kToSpare));
  EXPECT_TRUE(this->IsTooLate(kLate));
  this->Wait(10, 5);
  EXPECT_FALSE(this->IsTooLate(kLate));
}

TEST_F(StartForecastTest, TheRateIsThatOfTheLastSecond) {
  this->Begin(100);
  this->Wait(40);
  EXPECT_FALSE(this->IsTooLate(kToSpare));
  this->now += Milliseconds(1'100);
  EXPECT_TRUE(this->IsTooLate(kToSpare));
}

TEST_F(StartForecastTest, RefusedCallersReturnOneAfterTheOther) {
  this->Begin(10);
  EXPECT_EQ(this->forecast.RetryAfter(kQueue, this->now), Milliseconds(1'000));
  EXPECT_EQ(this->forecast.RetryAfter(kQueue, this->now), Milliseconds(1'100));
  for (int number = 0; number < 100; ++number) {
    this->forecast.RetryAfter(kQueue, this->now);
  }
  EXPECT_EQ(this->forecast.RetryAfter(kQueue, this->now), Milliseconds(4'000));
}

// The rate was measured with capacity that was lost since.
TEST_F(StartForecastTest, ALossOfCapacityLowersTheRateAtOnce) {
  this->Begin(100);
  this->Wait(40);
  EXPECT_FALSE(this->IsTooLate(kToSpare));
  this->forecast.ScaleRate(kQueue, 0.5);
  EXPECT_TRUE(this->IsTooLate(kToSpare));
  this->Wait(24);
  EXPECT_FALSE(this->IsTooLate(kToSpare));
  this->forecast.ScaleRate(kQueue, 1);
  EXPECT_FALSE(this->IsTooLate(kToSpare));
}

}  // namespace
}  // namespace sumac::scheduler
