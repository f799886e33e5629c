// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <memory>

#include "libraries/base/time.h"
#include "libraries/http/async_connection.h"
#include "libraries/http/async_http_server.h"
#include "tests/stand_ins/suspendable_clock.h"

namespace sumac {
namespace {

constexpr Milliseconds kSuspended{10'000};
constexpr Milliseconds kLimit{300};
constexpr Milliseconds kLongestWait{1'000};
constexpr const char* kAddress = "127.0.7.38:18738";

// A connection to a listener that leaves requests to the path /hang unanswered.
struct Parts {
  Parts()
      : io(kj::setupAsyncIo()),
        headers(this->builder.build()),
        door(this->io.provider->getTimer(),
             http::AsyncServerSettings{.address = kAddress},
             [this](const http::ServerRequest& request) {
               return this->Answer(request);
             }),
        connection(this->io.provider->getNetwork(),
                   this->io.provider->getTimer(),
                   *this->headers,
                   kAddress) {
    this->door.Listen(this->io.provider->getNetwork()).wait(this->io.waitScope);
  }

  kj::Promise<http::ServerReply> Answer(const http::ServerRequest& request) {
    ++this->arrived;
    if (request.path == "/hang") {
      return kj::NEVER_DONE;
    }
    return http::ServerReply{.body = "{}"};
  }

  kj::AsyncIoContext io;
  kj::HttpHeaderTable::Builder builder;
  kj::Own<kj::HttpHeaderTable> headers;
  int arrived = 0;
  http::AsyncHttpServer door;
  http::AsyncConnection connection;
};

TEST(SuspendedMachineTest, SteadyTimeIncludesASuspension) {
  const SystemClock clock;
  const SteadyTime before = clock.SteadyNow();
  SimulateSuspension(kSuspended);
  EXPECT_GE(clock.SteadyNow() - before, kSuspended);
}

TEST(SuspendedMachineTest, AnOrderThatWaitedThroughASuspensionIsNotSent) {
  auto parts = std::make_unique<Parts>();
  auto hanging = parts->connection.Call({.path = "/hang"}, kLimit);
  auto order = parts->connection.Call(
      {.path = "/order", .longest_wait = kLongestWait}, kLimit);
  SimulateSuspension(kSuspended);
  EXPECT_EQ(hanging.wait(parts->io.waitScope).outcome,
            http::CallOutcome::kNoAnswer);
  EXPECT_EQ(order.wait(parts->io.waitScope).outcome,
            http::CallOutcome::kNotSent);
  EXPECT_EQ(parts->arrived, 1);
}

// The machine is suspended while the connection for the order is being opened.
TEST(SuspendedMachineTest, AnOrderIsNotSentOverAConnectionOpenedMeanwhile) {
  auto parts = std::make_unique<Parts>();
  auto order = parts->connection.Call(
      {.path = "/order", .longest_wait = kLongestWait}, kLimit);
  SimulateSuspension(kSuspended);
  EXPECT_EQ(order.wait(parts->io.waitScope).outcome,
            http::CallOutcome::kNotSent);
  EXPECT_EQ(parts->arrived, 0);
}

}  // namespace
}  // namespace sumac
