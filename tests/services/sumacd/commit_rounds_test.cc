// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/commit_rounds.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <vector>

namespace sumac::daemon {
namespace {

// Commands that come while a round is gathered go with it, in their order, and
// one that comes after it waits for the next.
TEST(CommitRoundsTest, CommandsBeforeARoundBeginsArePartOfIt) {
  auto io = kj::setupAsyncIo();
  kj::TimerImpl timer(kj::origin<kj::TimePoint>());
  CommitRounds rounds(timer);
  std::vector<int> done;
  const auto wait = [&](int number, Milliseconds pause) {
    return rounds.AwaitNext(pause)
        .then([&done, number] { done.push_back(number); })
        .eagerlyEvaluate(nullptr);
  };
  const auto pass_time = [&](int milliseconds) {
    timer.advanceTo(timer.now() + milliseconds * kj::MILLISECONDS);
    kj::evalLater([] {}).wait(io.waitScope);
    kj::evalLater([] {}).wait(io.waitScope);
    kj::evalLater([] {}).wait(io.waitScope);
  };
  const auto first = wait(1, Milliseconds(10));
  pass_time(6);
  const auto second = wait(2, Milliseconds(10));
  EXPECT_TRUE(done.empty());
  pass_time(4);
  EXPECT_EQ(done, (std::vector<int>{1, 2}));
  const auto third = wait(3, Milliseconds(10));
  pass_time(9);
  EXPECT_EQ(done.size(), 2U);
  pass_time(1);
  EXPECT_EQ(done.size(), 3U);
}

}  // namespace
}  // namespace sumac::daemon
