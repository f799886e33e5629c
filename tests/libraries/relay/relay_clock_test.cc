// SPDX-License-Identifier: Apache-2.0
#include "libraries/relay/relay_clock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>

namespace sumac::relay {
namespace {

SteadyTime At(std::int64_t milliseconds) {
  return SteadyTime(Milliseconds(milliseconds));
}

TEST(RelayClockTest, AnOldReadingIsNotUsed) {
  RelayClock clock;
  EXPECT_FALSE(clock.LowerBoundAt(At(0), At(0)));
  clock.RecordReading(RelayTime(70'000), At(1'000));
  EXPECT_EQ(clock.LowerBoundAt(At(1'500), At(1'000)), RelayTime(70'500));
  EXPECT_FALSE(clock.LowerBoundAt(At(9'000), At(9'000)));
}

TEST(RelayClockTest, AReadingThatCameLateDoesNotReplaceAFreshOne) {
  RelayClock clock;
  clock.RecordReading(RelayTime(70'000), At(1'000));
  clock.RecordReading(RelayTime(70'100), At(1'900));
  EXPECT_EQ(clock.LowerBoundAt(At(2'000), At(2'000)), RelayTime(71'000));
}

// A call must not leave a relay after the leader's lease: what the leader takes
// for the relay's clock may be early, and late by the margin at most.
RC_GTEST_PROP(RelayClockTest, TheClockIsNeverAheadByMoreThanTheMargin, ()) {
  constexpr std::int64_t kMargin = 45;
  constexpr int kReadings = 60;
  const auto offset = *rc::gen::inRange<std::int64_t>(-100'000, 100'000);
  const auto drift_permille = *rc::gen::inRange<std::int64_t>(-5, 6);
  const auto true_clock = [&](std::int64_t now) {
    return offset + now + now * drift_permille / 1'000;
  };
  RelayClock clock;
  std::int64_t now = 0;
  for (int count = 0; count < kReadings; ++count) {
    const auto sent = now;
    now += *rc::gen::inRange<std::int64_t>(0, 700);
    clock.RecordReading(RelayTime(true_clock(sent)), At(now));
    const auto ahead = *rc::gen::inRange<std::int64_t>(0, 450);
    const auto earliest = clock.LowerBoundAt(At(now + ahead), At(now));
    RC_ASSERT(earliest.has_value());
    RC_ASSERT(earliest->value() <= true_clock(now + ahead) + kMargin);
  }
}

}  // namespace
}  // namespace sumac::relay
