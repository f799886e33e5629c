// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>
#include <kj/async-io.h>

#include "libraries/base/time.h"
#include "libraries/http/async_connection.h"
#include "libraries/http/async_door.h"
#include "tests/stand_ins/suspendable_clock.h"

namespace sumac {
namespace {

constexpr Milliseconds kSuspended{10'000};
constexpr Milliseconds kLimit{300};
constexpr const char* kAddress = "127.0.7.38:18738";

// A door that leaves the path /hang unanswered.
kj::Promise<http::DoorReply> AnswerUnlessHanging(
    const http::DoorRequest& request) {
  if (request.path == "/hang") {
    return kj::NEVER_DONE;
  }
  return http::DoorReply{.body = "{}"};
}

TEST(SuspendedMachineTest, TheTimeOfASuspensionCounts) {
  const SystemClock clock;
  const SteadyTime before = clock.SteadyNow();
  PassSuspended(kSuspended);
  EXPECT_GE(clock.SteadyNow() - before, kSuspended);
}

TEST(SuspendedMachineTest, AnOrderThatWaitedThroughASuspensionIsNotSent) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  kj::HttpHeaderTable::Builder builder;
  const kj::Own<kj::HttpHeaderTable> headers = builder.build();
  int arrived = 0;
  http::AsyncDoor door(io.provider->getTimer(),
                       http::DoorSettings{.address = kAddress},
                       [&arrived](const http::DoorRequest& request) {
                         ++arrived;
                         return AnswerUnlessHanging(request);
                       });
  door.Listen(io.provider->getNetwork()).wait(io.waitScope);
  http::AsyncConnection connection(io.provider->getNetwork(),
                                   io.provider->getTimer(), *headers, kAddress);
  kj::Promise<http::CallReply> hanging =
      connection.Call({.path = "/hang"}, kLimit);
  kj::Promise<http::CallReply> order = connection.Call(
      {.path = "/order", .longest_wait = Milliseconds(1'000)}, kLimit);
  PassSuspended(kSuspended);
  EXPECT_EQ(hanging.wait(io.waitScope).outcome, http::CallOutcome::kNoAnswer);
  EXPECT_EQ(order.wait(io.waitScope).outcome, http::CallOutcome::kNotSent);
  EXPECT_EQ(arrived, 1);
}

// The order's turn has come, and its connection is being opened.
TEST(SuspendedMachineTest, AnOrderIsNotSentOverAConnectionOpenedMeanwhile) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  kj::HttpHeaderTable::Builder builder;
  const kj::Own<kj::HttpHeaderTable> headers = builder.build();
  int arrived = 0;
  http::AsyncDoor door(io.provider->getTimer(),
                       http::DoorSettings{.address = kAddress},
                       [&arrived](const http::DoorRequest& request) {
                         ++arrived;
                         return AnswerUnlessHanging(request);
                       });
  door.Listen(io.provider->getNetwork()).wait(io.waitScope);
  http::AsyncConnection connection(io.provider->getNetwork(),
                                   io.provider->getTimer(), *headers, kAddress);
  kj::Promise<http::CallReply> order = connection.Call(
      {.path = "/order", .longest_wait = Milliseconds(1'000)}, kLimit);
  PassSuspended(kSuspended);
  EXPECT_EQ(order.wait(io.waitScope).outcome, http::CallOutcome::kNotSent);
  EXPECT_EQ(arrived, 0);
}

}  // namespace
}  // namespace sumac
