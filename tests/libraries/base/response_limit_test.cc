// SPDX-License-Identifier: Apache-2.0
#include "libraries/base/response_limit.h"

#include <gtest/gtest.h>

namespace sumac {
namespace {

constexpr SteadyTime kBegin{Milliseconds(1'000)};
constexpr Milliseconds kLimit{400};
constexpr Milliseconds kLastRound{15};

// A stalled loop may resume right at the limit, so that its timer is punctual
// although its sockets were not read. Guards against giving up an answer that
// is in the socket: that happened in 5 of 5 trials each with a loop that
// resumed 3, 7 or 11 ms after the limit.
TEST(ResponseLimitTest, APunctualTimerGivesTheLoopOneRoundToRead) {
  for (const Milliseconds late : {Milliseconds(0), Milliseconds(5)}) {
    ResponseLimit limit(kLimit, kBegin);
    const SteadyTime fired = kBegin + kLimit + late;
    EXPECT_EQ(limit.ExtendWait(fired), kLastRound);
    EXPECT_FALSE(limit.ExtendWait(fired + kLastRound));
  }
}

// A loop's timers count from the start of its last round, so they may fire
// early.
TEST(ResponseLimitTest, AnEarlyTimerWaitsForTheRest) {
  ResponseLimit limit(kLimit, kBegin);
  EXPECT_EQ(limit.ExtendWait(kBegin + Milliseconds(350)), Milliseconds(50));
  EXPECT_EQ(limit.ExtendWait(kBegin + kLimit), kLastRound);
  EXPECT_FALSE(limit.ExtendWait(kBegin + kLimit + kLastRound));
}

// After a stall of 120 ms the loop must read the bytes that arrived meanwhile
// before it gives the answer up.
TEST(ResponseLimitTest, ALateTimerGivesTheLoopOneMoreRound) {
  ResponseLimit limit(kLimit, kBegin);
  const SteadyTime fired = kBegin + kLimit + Milliseconds(120);
  EXPECT_EQ(limit.ExtendWait(fired), Milliseconds(120));
  EXPECT_FALSE(limit.ExtendWait(fired + Milliseconds(121)));
}

// The timers of a busy loop may be punctual to 30 ms while received bytes wait
// in its sockets for 420 ms, since it checks its timers between any two
// sockets. The answer to a renewal may be 400 ms late, so healthy workers
// counted as silent.
TEST(ResponseLimitTest, ALoopThatReadsLateGetsMoreRoundsForAPunctualTimer) {
  ResponseLimit limit(kLimit, kBegin);
  SteadyTime fired = kBegin + kLimit;
  EXPECT_EQ(limit.ExtendWait(fired, Milliseconds(420)), Milliseconds(250));
  fired += Milliseconds(250);
  EXPECT_EQ(limit.ExtendWait(fired, Milliseconds(200)), Milliseconds(200));
  EXPECT_FALSE(limit.ExtendWait(fired + Milliseconds(200), Milliseconds(2)));
}

// A process that was stopped for a long time must not wait as long again, and
// one that is always late must give up eventually.
TEST(ResponseLimitTest, TheRoundsAreBounded) {
  ResponseLimit limit(kLimit, kBegin);
  SteadyTime fired = kBegin + kLimit + Milliseconds(9'000);
  for (int round = 0; round < 4; ++round) {
    EXPECT_EQ(limit.ExtendWait(fired), Milliseconds(250)) << round;
    fired += Milliseconds(250 + 300);
  }
  EXPECT_FALSE(limit.ExtendWait(fired));
}

}  // namespace
}  // namespace sumac
