// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/async_connection.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <cstddef>
#include <memory>
#include <vector>

#include "libraries/base/kj_time.h"
#include "libraries/http/async_http_server.h"
#include "tests/stand_ins/relay.h"

namespace sumac::http {
namespace {

constexpr const char* kAddress = "127.0.7.32:18732";
constexpr Milliseconds kLimit{200};
// For a busy computer.
constexpr Milliseconds kSlack{1'000};

// A connection to a server that answers at once, over a path that can go
// silent.
struct Parts {
  Parts()
      : io(kj::setupAsyncIo()),
        headers(this->builder.build()),
        door(this->io.provider->getTimer(),
             DoorSettings{.address = kAddress},
             [](const ServerRequest&) { return ServerReply{.body = "{}"}; }),
        relay(this->io, kAddress),
        connection(this->io.provider->getNetwork(),
                   this->io.provider->getTimer(),
                   *this->headers,
                   this->relay.address()) {
    this->door.Listen(this->io.provider->getNetwork()).wait(this->io.waitScope);
  }

  kj::Promise<CallReply> Call(bool is_idempotent) {
    return this->connection.Call(
        {.path = "/ok", .body = "{}", .is_idempotent = is_idempotent}, kLimit);
  }

  kj::AsyncIoContext io;
  kj::HttpHeaderTable::Builder builder;
  kj::Own<kj::HttpHeaderTable> headers;
  AsyncHttpServer door;
  stand_ins::Relay relay;
  AsyncConnection connection;
};

// Only one of the calls that wait for their turn has to find out.
TEST(AsyncConnectionTest, ASilentConnectionCostsOneCallAndIsNotKept) {
  for (const bool is_idempotent : {false, true}) {
    auto parts = std::make_unique<Parts>();
    EXPECT_EQ(parts->Call(is_idempotent).wait(parts->io.waitScope).outcome,
              CallOutcome::kAnswered);
    parts->relay.SilenceOpen();
    SystemClock clock;
    const SteadyTime silent_from = clock.SteadyNow();
    constexpr std::size_t kCalls = 10;
    std::vector<kj::Promise<CallReply>> calls;
    calls.reserve(kCalls);
    for (std::size_t count = 0; count < kCalls; ++count) {
      calls.push_back(parts->Call(is_idempotent));
    }
    EXPECT_EQ(calls[0].wait(parts->io.waitScope).outcome,
              CallOutcome::kNoAnswer);
    const Milliseconds took = clock.SteadyNow() - silent_from;
    RecordProperty("detection_ms", static_cast<int>(took.count()));
    EXPECT_GE(took, kLimit);
    EXPECT_LT(took, kLimit + kSlack);
    for (std::size_t place = 1; place < calls.size(); ++place) {
      EXPECT_EQ(calls[place].wait(parts->io.waitScope).outcome,
                CallOutcome::kAnswered);
    }
    EXPECT_EQ(parts->relay.accepted(), 2U);
    EXPECT_EQ(parts->relay.open(), 1U);
  }
}

}  // namespace
}  // namespace sumac::http
