// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/connection_pool.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <memory>
#include <vector>

#include "libraries/http/async_http_server.h"

namespace sumac::http {
namespace {

constexpr const char* kAddress = "127.0.7.31:18731";
// Long; nothing in these tests waits for it.
constexpr Milliseconds kLimit{60'000};

// A server that never answers /hang, and a pool of two connections to it.
struct Parts {
  Parts()
      : io(kj::setupAsyncIo()),
        headers(this->builder.build()),
        door(this->io.provider->getTimer(),
             DoorSettings{.address = kAddress},
             [](const ServerRequest& request) -> kj::Promise<ServerReply> {
               if (request.path == "/hang") {
                 return kj::NEVER_DONE;
               }
               return ServerReply{.body = "{}"};
             }),
        pool(this->io.provider->getNetwork(),
             this->io.provider->getTimer(),
             *this->headers,
             kAddress,
             2) {
    this->door.Listen(this->io.provider->getNetwork()).wait(this->io.waitScope);
  }

  kj::AsyncIoContext io;
  kj::HttpHeaderTable::Builder builder;
  kj::Own<kj::HttpHeaderTable> headers;
  AsyncHttpServer door;
  ConnectionPool pool;
};

TEST(ConnectionPoolTest, ACallWithoutAnAnswerHoldsUpNoOther) {
  auto parts = std::make_unique<Parts>();
  bool has_hung_up = false;
  kj::Promise<void> hanging =
      parts->pool.Call({.path = "/hang"}, kLimit)
          .then([&](const CallReply& /*reply*/) { has_hung_up = true; })
          .eagerlyEvaluate(nullptr);
  for (int count = 0; count < 3; ++count) {
    const CallReply reply =
        parts->pool.Call({.path = "/ok"}, kLimit).wait(parts->io.waitScope);
    EXPECT_EQ(reply.outcome, CallOutcome::kAnswered);
    EXPECT_EQ(reply.status, 200U);
  }
  EXPECT_FALSE(has_hung_up);
}

TEST(ConnectionPoolTest, CallsBeyondItsSizeWaitForTheirTurn) {
  auto parts = std::make_unique<Parts>();
  std::vector<kj::Promise<CallReply>> calls;
  calls.reserve(20);
  for (int count = 0; count < 20; ++count) {
    calls.push_back(parts->pool.Call({.path = "/ok"}, kLimit));
  }
  for (auto& call : calls) {
    EXPECT_EQ(call.wait(parts->io.waitScope).outcome, CallOutcome::kAnswered);
  }
}

}  // namespace
}  // namespace sumac::http
