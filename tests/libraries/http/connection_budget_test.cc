// SPDX-License-Identifier: Apache-2.0
#include "libraries/base/connection_budget.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>
#include <kj/debug.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libraries/http/async_connection.h"
#include "libraries/http/async_http_server.h"

namespace sumac::http {
namespace {

constexpr Milliseconds kLimit{60'000};

TEST(ConnectionBudgetTest, TheLongestIdleConnectionIsClosed) {
  ConnectionBudget budget(2);
  std::optional<ConnectionBudget::Place> first = budget.AcquirePlace();
  std::optional<ConnectionBudget::Place> second = budget.AcquirePlace();
  EXPECT_FALSE(budget.AcquirePlace().has_value());
  EXPECT_EQ(budget.refused(), 1U);
  second->MarkIdle([&] { second.reset(); });
  first->MarkIdle([&] { first.reset(); });
  std::optional<ConnectionBudget::Place> third = budget.AcquirePlace();
  EXPECT_TRUE(third.has_value());
  EXPECT_FALSE(second.has_value());
  EXPECT_TRUE(first.has_value());
  first->MarkBusy();
  EXPECT_FALSE(budget.AcquirePlace().has_value());
  EXPECT_EQ(budget.open(), 2U);
  EXPECT_EQ(budget.closed(), 1U);
}

// An idle connection that does not close when asked must not be the only one
// that is ever asked.
TEST(ConnectionBudgetTest, AnotherIdleConnectionIsClosedIfTheFirstStaysOpen) {
  ConnectionBudget budget(2);
  std::optional<ConnectionBudget::Place> unclosable = budget.AcquirePlace();
  std::optional<ConnectionBudget::Place> other = budget.AcquirePlace();
  int asked = 0;
  unclosable->MarkIdle([&] { ++asked; });
  other->MarkIdle([&] { other.reset(); });
  EXPECT_FALSE(budget.AcquirePlace().has_value());
  EXPECT_TRUE(budget.AcquirePlace().has_value());
  EXPECT_EQ(asked, 1);
}

// A server and 20 connections to it that share one budget, as a leader's
// connections to its workers do.
struct Parts {
  explicit Parts(std::size_t max_open)
      : io(kj::setupAsyncIo()),
        headers(this->builder.build()),
        budget(max_open),
        server(this->io.provider->getTimer(),
               AsyncServerSettings{.address = kAddress},
               [](const ServerRequest& request) -> kj::Promise<ServerReply> {
                 if (request.path == "/hang") {
                   return kj::NEVER_DONE;
                 }
                 return ServerReply{.body = "{}"};
               }) {
    this->server.Listen(this->io.provider->getNetwork())
        .wait(this->io.waitScope);
    for (std::size_t count = 0; count < kConnections; ++count) {
      this->connections.push_back(std::make_unique<AsyncConnection>(
          this->io.provider->getNetwork(), this->io.provider->getTimer(),
          *this->headers, kAddress, &this->budget));
    }
  }

  static constexpr std::size_t kConnections = 20;
  static constexpr const char* kAddress = "127.0.7.34:18734";

  kj::AsyncIoContext io;
  kj::HttpHeaderTable::Builder builder;
  kj::Own<kj::HttpHeaderTable> headers;
  ConnectionBudget budget;
  AsyncHttpServer server;
  std::vector<std::unique_ptr<AsyncConnection>> connections;
};

TEST(ConnectionBudgetTest, ManyConnectionsShareFewPlacesOneAfterTheOther) {
  auto parts = std::make_unique<Parts>(3);
  for (int round = 0; round < 2; ++round) {
    for (const auto& connection : parts->connections) {
      EXPECT_EQ(connection->Call({.path = "/ok"}, kLimit)
                    .wait(parts->io.waitScope)
                    .outcome,
                CallOutcome::kAnswered);
      EXPECT_LE(parts->budget.open(), 3U);
    }
  }
}

// A call without a place in the budget fails at once with kNotSent, which does
// not mean that the other side is down.
TEST(ConnectionBudgetTest, WithoutAPlaceNothingIsSent) {
  auto parts = std::make_unique<Parts>(1);
  kj::Promise<CallReply> hanging = parts->connections[0]
                                       ->Call({.path = "/hang"}, kLimit)
                                       .eagerlyEvaluate(nullptr);
  EXPECT_EQ(parts->connections[1]
                ->Call({.path = "/ok"}, kLimit)
                .wait(parts->io.waitScope)
                .outcome,
            CallOutcome::kNotSent);
}

// A network on which no connection attempt ever ends.
class SilentNetwork : public kj::Network {
 public:
  kj::Promise<kj::Own<kj::NetworkAddress>> parseAddress(
      kj::StringPtr /*address*/,
      kj::uint /*port*/) override {
    return kj::NEVER_DONE;
  }
  kj::Own<kj::NetworkAddress> getSockaddr(const void* /*address*/,
                                          kj::uint /*length*/) override {
    KJ_UNIMPLEMENTED("not used");
  }
  kj::Own<kj::Network> restrictPeers(
      kj::ArrayPtr<const kj::StringPtr> /*allow*/,
      kj::ArrayPtr<const kj::StringPtr> /*deny*/) override {
    KJ_UNIMPLEMENTED("not used");
  }
};

// A silent peer must not be reported as a lack of connections: an unreachable
// worker would then never be noticed.
TEST(ConnectionBudgetTest, AConnectionThatNobodyAcceptsIsReportedAsNoAnswer) {
  auto parts = std::make_unique<Parts>(1);
  SilentNetwork network;
  AsyncConnection connection(network, parts->io.provider->getTimer(),
                             *parts->headers, Parts::kAddress, &parts->budget);
  EXPECT_EQ(connection.Call({.path = "/ok"}, Milliseconds(50))
                .wait(parts->io.waitScope)
                .outcome,
            CallOutcome::kNoAnswer);
}

TEST(ConnectionBudgetTest, ACallWhoseTurnComesTooLateIsNotSent) {
  auto parts = std::make_unique<Parts>(1);
  AsyncConnection& connection = *parts->connections[0];
  kj::Promise<CallReply> hanging =
      connection.Call({.path = "/hang"}, Milliseconds(200));
  kj::Promise<CallReply> waiting = connection.Call(
      {.path = "/ok", .longest_wait = Milliseconds(50)}, kLimit);
  kj::Promise<CallReply> patient = connection.Call({.path = "/ok"}, kLimit);
  EXPECT_EQ(hanging.wait(parts->io.waitScope).outcome, CallOutcome::kNoAnswer);
  EXPECT_EQ(waiting.wait(parts->io.waitScope).outcome, CallOutcome::kNotSent);
  EXPECT_EQ(patient.wait(parts->io.waitScope).outcome, CallOutcome::kAnswered);
}

// Callers that keep idle connections open must not prevent others from
// connecting.
TEST(ConnectionBudgetTest, AServerClosesIdleConnectionsForNewOnes) {
  auto parts = std::make_unique<Parts>(Parts::kConnections);
  AsyncHttpServer server(
      parts->io.provider->getTimer(),
      AsyncServerSettings{.address = "127.0.7.34:18735", .max_connections = 2},
      [](const ServerRequest&) { return ServerReply{.body = "{}"}; });
  server.Listen(parts->io.provider->getNetwork()).wait(parts->io.waitScope);
  std::vector<std::unique_ptr<AsyncConnection>> callers;
  for (int count = 0; count < 6; ++count) {
    callers.push_back(std::make_unique<AsyncConnection>(
        parts->io.provider->getNetwork(), parts->io.provider->getTimer(),
        *parts->headers, "127.0.7.34:18735"));
    EXPECT_EQ(callers.back()
                  ->Call({.path = "/ok"}, kLimit)
                  .wait(parts->io.waitScope)
                  .status,
              200U);
  }
  EXPECT_LE(server.connections().open(), 2U);
  EXPECT_EQ(server.connections().closed(), 4U);
}

// While all connections are busy, a further caller is refused at once with a
// numbered error, and the requests in progress are still answered.
TEST(ConnectionBudgetTest, AServerWithoutAnIdleConnectionRefuses) {
  auto parts = std::make_unique<Parts>(Parts::kConnections);
  auto paf = kj::newPromiseAndFulfiller<void>();
  kj::ForkedPromise<void> released = paf.promise.fork();
  AsyncHttpServer server(
      parts->io.provider->getTimer(),
      AsyncServerSettings{.address = "127.0.7.34:18736", .max_connections = 1},
      [&](const ServerRequest&) {
        return released.addBranch().then(
            [] { return ServerReply{.body = "{}"}; });
      });
  server.Listen(parts->io.provider->getNetwork()).wait(parts->io.waitScope);
  const auto make = [&] {
    return std::make_unique<AsyncConnection>(
        parts->io.provider->getNetwork(), parts->io.provider->getTimer(),
        *parts->headers, "127.0.7.34:18736");
  };
  const auto served = make();
  const auto refused = make();
  kj::Promise<CallReply> first =
      served->Call({.path = "/ok"}, kLimit).eagerlyEvaluate(nullptr);
  parts->io.provider->getTimer()
      .afterDelay(50 * kj::MILLISECONDS)
      .wait(parts->io.waitScope);
  const CallReply reply =
      refused->Call({.path = "/ok"}, kLimit).wait(parts->io.waitScope);
  EXPECT_EQ(reply.status, 503U);
  EXPECT_NE(reply.body.find("1109"), std::string::npos);
  paf.fulfiller->fulfill();
  EXPECT_EQ(first.wait(parts->io.waitScope).status, 200U);
}

// A process that stops destroys its listeners while requests are in progress;
// each request must return its place in the budget.
TEST(ConnectionBudgetTest, AServerMayBeDestroyedWithARequestInProgress) {
  auto parts = std::make_unique<Parts>(Parts::kConnections);
  auto server = std::make_unique<AsyncHttpServer>(
      parts->io.provider->getTimer(),
      AsyncServerSettings{.address = "127.0.7.34:18737", .max_connections = 4},
      [](const ServerRequest&) -> kj::Promise<ServerReply> {
        return kj::NEVER_DONE;
      });
  server->Listen(parts->io.provider->getNetwork()).wait(parts->io.waitScope);
  AsyncConnection caller(parts->io.provider->getNetwork(),
                         parts->io.provider->getTimer(), *parts->headers,
                         "127.0.7.34:18737");
  kj::Promise<CallReply> call =
      caller.Call({.path = "/ok"}, kLimit).eagerlyEvaluate(nullptr);
  while (server->open_requests() == 0) {
    parts->io.provider->getTimer()
        .afterDelay(1 * kj::MILLISECONDS)
        .wait(parts->io.waitScope);
  }
  server.reset();
  EXPECT_EQ(call.wait(parts->io.waitScope).outcome, CallOutcome::kNoAnswer);
}

}  // namespace
}  // namespace sumac::http
