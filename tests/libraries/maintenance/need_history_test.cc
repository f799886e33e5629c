// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/need_history.h"

#include <gtest/gtest.h>

namespace sumac::maintenance {
namespace {

constexpr Milliseconds kRetention{20'000};

SteadyTime At(std::int64_t milliseconds) {
  return SteadyTime(Milliseconds(milliseconds));
}

TEST(NeedHistoryTest, ATurnIsRememberedForItsTimeAndNoLonger) {
  NeedHistory history;
  for (std::int64_t time = 0; time <= 40'000; time += 100) {
    const bool is_turn = time >= 1'000 && time < 5'500;
    history.Record(is_turn ? 400 : 5, kRetention, At(time));
    const bool is_remembered = time >= 1'000 && time < 25'000;
    if (is_remembered) {
      EXPECT_EQ(history.HighestWithin(kRetention, At(time)), 400) << time;
    } else if (time < 1'000 || time > 26'000) {
      EXPECT_EQ(history.HighestWithin(kRetention, At(time)), 5) << time;
    }
  }
  EXPECT_EQ(history.HighestWithin(Milliseconds(0), At(40'000)), 5);
}

TEST(NeedHistoryTest, ANewLeaderKnowsThatItHasSeenTooLittle) {
  NeedHistory history;
  EXPECT_FALSE(history.Covers(Milliseconds(0), At(500)));
  history.Record(3, kRetention, At(1'000));
  EXPECT_FALSE(history.Covers(Milliseconds(2'500), At(3'000)));
  EXPECT_TRUE(history.Covers(Milliseconds(2'500), At(3'500)));
}

}  // namespace
}  // namespace sumac::maintenance
