// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/arrival_rate.h"

#include <gtest/gtest.h>

namespace sumac::scheduler {
namespace {

constexpr std::int64_t kWork = 1'000'000;
constexpr ForecastSettings kLooksBack{.horizon = Milliseconds(0)};
constexpr ForecastSettings kLooksAhead;

// Jobs arrive each `gap` from `from` until `to`.
void Arrive(ArrivalRate& rate, int from, int to, int gap) {
  for (int at = from; at < to; at += gap) {
    rate.Add(kWork, SteadyTime(Milliseconds(at)));
  }
}

TEST(ArrivalRateTest, FewArrivalsAreIgnored) {
  ArrivalRate rate;
  Arrive(rate, 0, 300, 100);
  EXPECT_EQ(rate.ForecastMillicores(kLooksAhead, SteadyTime(Milliseconds(300))),
            0);
}

TEST(ArrivalRateTest, ASteadyRateIsNotRaised) {
  ArrivalRate rate;
  Arrive(rate, 0, 4'000, 50);
  const SteadyTime now{Milliseconds(3'999)};
  EXPECT_EQ(rate.ForecastMillicores(kLooksAhead, now),
            rate.ForecastMillicores(kLooksBack, now));
}

TEST(ArrivalRateTest, AGrowingRateIsExtrapolatedWithinItsBound) {
  ArrivalRate rate;
  Arrive(rate, 0, 1'000, 100);
  Arrive(rate, 1'000, 2'000, 60);
  const SteadyTime now{Milliseconds(1'999)};
  const std::int64_t seen = rate.ForecastMillicores(kLooksBack, now);
  const std::int64_t ahead = rate.ForecastMillicores(kLooksAhead, now);
  EXPECT_GT(ahead, seen * 13 / 10);
  EXPECT_LE(ahead, 2 * seen);
}

TEST(ArrivalRateTest, AFallingRateIsNotExtrapolated) {
  ArrivalRate rate;
  Arrive(rate, 0, 1'000, 20);
  Arrive(rate, 1'000, 2'000, 100);
  const SteadyTime now{Milliseconds(1'999)};
  EXPECT_EQ(rate.ForecastMillicores(kLooksAhead, now),
            rate.ForecastMillicores(kLooksBack, now));
}

}  // namespace
}  // namespace sumac::scheduler
