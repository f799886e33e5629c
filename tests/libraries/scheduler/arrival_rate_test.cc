// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/arrival_rate.h"

#include <gtest/gtest.h>

namespace sumac::scheduler {
namespace {

constexpr std::int64_t kWork = 1'000'000;
constexpr ForecastSettings kLooksBack{.horizon = Milliseconds(0)};
constexpr ForecastSettings kLooksAhead;

// Adds an arrival every `gap` ms from `from` until `to`.
void Arrive(ArrivalRate& rate, int from, int to, int gap) {
  for (int at = from; at < to; at += gap) {
    rate.Add(kWork, SteadyTime(Milliseconds(at)));
  }
}

std::int64_t ForecastMillicores(ArrivalRate& rate,
                                const ForecastSettings& settings,
                                SteadyTime now) {
  return rate.Measure(settings, now).forecast;
}

TEST(ArrivalRateTest, FewArrivalsAreIgnored) {
  ArrivalRate rate;
  Arrive(rate, 0, 300, 100);
  EXPECT_EQ(
      ForecastMillicores(rate, kLooksAhead, SteadyTime(Milliseconds(300))), 0);
}

TEST(ArrivalRateTest, ASteadyRateIsNotRaised) {
  ArrivalRate rate;
  Arrive(rate, 0, 4'000, 50);
  const SteadyTime now{Milliseconds(3'999)};
  EXPECT_EQ(ForecastMillicores(rate, kLooksAhead, now),
            ForecastMillicores(rate, kLooksBack, now));
}

TEST(ArrivalRateTest, AGrowingRateIsExtrapolatedWithinItsBound) {
  ArrivalRate rate;
  Arrive(rate, 0, 1'000, 100);
  Arrive(rate, 1'000, 2'000, 60);
  const SteadyTime now{Milliseconds(1'999)};
  const std::int64_t seen = ForecastMillicores(rate, kLooksBack, now);
  const std::int64_t ahead = ForecastMillicores(rate, kLooksAhead, now);
  EXPECT_GT(ahead, seen * 13 / 10);
  EXPECT_LE(ahead, 2 * seen);
}

TEST(ArrivalRateTest, AFallingRateIsNotExtrapolated) {
  ArrivalRate rate;
  Arrive(rate, 0, 1'000, 20);
  Arrive(rate, 1'000, 2'000, 100);
  const SteadyTime now{Milliseconds(1'999)};
  EXPECT_EQ(ForecastMillicores(rate, kLooksAhead, now),
            ForecastMillicores(rate, kLooksBack, now));
}

// A turn begins: the rate rises to five times what it was.
TEST(ArrivalRateTest, ARiseIsNoticedWhileItLasts) {
  ArrivalRate rate;
  Arrive(rate, 0, 2'000, 100);
  const auto is_rising = [&rate](int at) {
    return rate.Measure(kLooksAhead, SteadyTime(Milliseconds(at))).is_rising;
  };
  EXPECT_FALSE(is_rising(1'999));
  Arrive(rate, 2'000, 2'500, 20);
  EXPECT_TRUE(is_rising(2'499));
  Arrive(rate, 2'500, 5'000, 20);
  EXPECT_FALSE(is_rising(4'999));
}

// The plateau of a turn took twice its instances: half a second with a few jobs
// more than the one before counted as growth.
TEST(ArrivalRateTest, ChanceIsNoRise) {
  ArrivalRate rate;
  Arrive(rate, 0, 1'000, 50);
  Arrive(rate, 1'000, 2'000, 40);
  const ArrivalRate::Load load =
      rate.Measure(kLooksAhead, SteadyTime(Milliseconds(1'999)));
  EXPECT_FALSE(load.is_rising);
  EXPECT_GT(load.forecast, load.seen);
}

}  // namespace
}  // namespace sumac::scheduler
