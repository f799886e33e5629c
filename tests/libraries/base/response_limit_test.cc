// SPDX-License-Identifier: Apache-2.0
#include "libraries/base/response_limit.h"

#include <gtest/gtest.h>

namespace sumac {
namespace {

constexpr SteadyTime kBegin{Milliseconds(1'000)};
constexpr Milliseconds kLimit{400};
constexpr Milliseconds kLastRound{15};

// A loop that stood still may come back right at the limit: that its timer is
// punctual does not say that it has read. With an answer in the socket and the
// loop back 3, 7 or 11 ms after the limit the answer was given up, 5 of 5 times
// each.
TEST(ResponseLimitTest, APunctualTimerGivesTheLoopOneRoundToRead) {
  for (const Milliseconds late : {Milliseconds(0), Milliseconds(5)}) {
    ResponseLimit limit(kLimit, kBegin);
    const SteadyTime fired = kBegin + kLimit + late;
    EXPECT_EQ(limit.ExtendWait(fired), kLastRound);
    EXPECT_FALSE(limit.ExtendWait(fired + kLastRound));
  }
}

// A loop's timers count from its last round, so they may fire early.
TEST(ResponseLimitTest, AnEarlyTimerWaitsForTheRest) {
  ResponseLimit limit(kLimit, kBegin);
  EXPECT_EQ(limit.ExtendWait(kBegin + Milliseconds(350)), Milliseconds(50));
  EXPECT_EQ(limit.ExtendWait(kBegin + kLimit), kLastRound);
  EXPECT_FALSE(limit.ExtendWait(kBegin + kLimit + kLastRound));
}

// The loop stood still for 120 ms: it must read what came meanwhile before it
// gives the answer up.
TEST(ResponseLimitTest, ALateTimerGivesTheLoopOneMoreRound) {
  ResponseLimit limit(kLimit, kBegin);
  const SteadyTime fired = kBegin + kLimit + Milliseconds(120);
  EXPECT_EQ(limit.ExtendWait(fired), Milliseconds(120));
  EXPECT_FALSE(limit.ExtendWait(fired + Milliseconds(121)));
}

// The timers of a busy loop were punctual to 30 ms while what had come lay in
// its sockets for 420 ms: it looks at its timers between any two sockets. A
// renewal's answer may be 400 ms late, so sound workers counted as silent.
TEST(ResponseLimitTest, ALoopThatReadsLateGetsMoreRoundsForAPunctualTimer) {
  ResponseLimit limit(kLimit, kBegin);
  SteadyTime fired = kBegin + kLimit;
  EXPECT_EQ(limit.ExtendWait(fired, Milliseconds(420)), Milliseconds(250));
  fired += Milliseconds(250);
  EXPECT_EQ(limit.ExtendWait(fired, Milliseconds(200)), Milliseconds(200));
  EXPECT_FALSE(limit.ExtendWait(fired + Milliseconds(200), Milliseconds(2)));
}

// A process that was stopped for long does not wait for as long again, and one
// that is always late gives up at last.
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
