// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/need_history.h"

#include <gtest/gtest.h>

namespace sumac::maintenance {
namespace {

constexpr Milliseconds kRemembered{20'000};

SteadyTime At(std::int64_t milliseconds) {
  return SteadyTime(Milliseconds(milliseconds));
}

TEST(NeedHistoryTest, ATurnIsRememberedForItsTimeAndNoLonger) {
  NeedHistory history;
  for (std::int64_t time = 0; time <= 40'000; time += 100) {
    const bool is_turn = time >= 1'000 && time < 5'500;
    history.Record(is_turn ? 400 : 5, kRemembered, At(time));
    const std::int64_t highest = history.HighestWithin(kRemembered, At(time));
    if (time >= 2'000 && time < 25'000) {
      EXPECT_EQ(highest, 400) << time;
    } else if (time >= 1'000 && (time < 2'000 || time > 26'500)) {
      EXPECT_EQ(highest, 5) << time;
    }
  }
}

// A rate of arrivals that seemed to double for half a second held hundreds of
// instances for many seconds.
TEST(NeedHistoryTest, APeakThatIsShorterThanAMoveCountsByItsMean) {
  NeedHistory history;
  for (std::int64_t time = 0; time <= 10'000; time += 100) {
    const bool is_peak = time >= 4'000 && time < 4'300;
    history.Record(is_peak ? 600 : 200, kRemembered, At(time));
  }
  EXPECT_EQ(history.HighestWithin(kRemembered, At(10'000)), 320);
}

TEST(NeedHistoryTest, ANewLeaderKnowsThatItHasSeenTooLittle) {
  NeedHistory history;
  EXPECT_FALSE(history.Covers(Milliseconds(0), At(500)));
  history.Record(3, kRemembered, At(1'000));
  EXPECT_FALSE(history.Covers(Milliseconds(2'500), At(3'000)));
  EXPECT_TRUE(history.Covers(Milliseconds(2'500), At(3'500)));
}

}  // namespace
}  // namespace sumac::maintenance
