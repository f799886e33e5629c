// SPDX-License-Identifier: Apache-2.0
// Guards against refusals that come again and again: in a rush of 20 s, each
// caller that gave up in the end had been refused four times.
#include "libraries/scheduler/return_times.h"

#include <gtest/gtest.h>

#include "tests/libraries/scheduler/rush_replay.h"

namespace sumac::scheduler {
namespace {

const QueueName kQueue("clips");
constexpr Milliseconds kRetry{3'000};

class ReturnTimesTest : public testing::Test {
 protected:
  // Refuses new callers for some time; returns what the last of them was told.
  Milliseconds Refuse(Milliseconds time) {
    Milliseconds told{0};
    for (Milliseconds passed{0}; passed < time; passed += Milliseconds(100)) {
      this->now += Milliseconds(100);
      told = this->returns.Stretch(kQueue, true, kRetry, this->now);
    }
    return told;
  }

  ReturnTimes returns;
  SteadyTime now{Milliseconds(10'000)};
};

TEST_F(ReturnTimesTest, CallersWaitLongerInALongRush) {
  EXPECT_EQ(this->Refuse(Milliseconds(4'000)), kRetry);
  EXPECT_EQ(this->Refuse(Milliseconds(2'100)), kRetry * 3 / 2);
  EXPECT_EQ(this->Refuse(Milliseconds(20'000)), kRetry * 2);
  EXPECT_EQ(this->returns.Stretch(QueueName("other"), true, kRetry, this->now),
            kRetry);
}

TEST_F(ReturnTimesTest, ReturningCallersDoNotProlongARush) {
  this->Refuse(Milliseconds(20'000));
  for (int refusal = 0; refusal < 11; ++refusal) {
    this->now += Milliseconds(100);
    this->returns.Stretch(kQueue, false, kRetry, this->now);
  }
  EXPECT_EQ(this->returns.Stretch(kQueue, false, kRetry, this->now), kRetry);
  EXPECT_EQ(this->Refuse(Milliseconds(1'000)), kRetry);
}

RushReplay Replay(double calls_a_second,
                  std::chrono::seconds rush,
                  bool stretches) {
  RushReplay replay({.rush_calls_a_second = calls_a_second,
                     .rush = rush,
                     .has_backlog_limits = true,
                     .patience = std::chrono::seconds(15),
                     .stretches_retries = stretches});
  replay.Run();
  return replay;
}

// A long rush causes a quarter fewer refusals, and as many jobs are done.
TEST(LongRushReturnTest, ALongRushCausesFewerRefusals) {
  const RushReplay before = Replay(400, std::chrono::seconds(20), false);
  const RushReplay after = Replay(400, std::chrono::seconds(20), true);
  EXPECT_LT(after.refusals() * 4, before.refusals() * 3);
  EXPECT_GT(after.DoneShare(), before.DoneShare() - 0.01);
  EXPECT_GT(after.BothInTimeShare(), before.BothInTimeShare() - 0.005);
}

// After a short rush its callers are served as before.
TEST(LongRushReturnTest, AShortRushDelaysNobodyMore) {
  const RushReplay before = Replay(400, std::chrono::seconds(3), false);
  const RushReplay after = Replay(400, std::chrono::seconds(3), true);
  EXPECT_EQ(after.refusals(), before.refusals());
  EXPECT_EQ(after.DoneShare(), before.DoneShare());
}

}  // namespace
}  // namespace sumac::scheduler
