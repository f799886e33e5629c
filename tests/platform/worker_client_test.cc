// SPDX-License-Identifier: Apache-2.0
#include "platform/worker_client.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/kj_time.h"
#include "libraries/http/async_http_server.h"
#include "tests/stand_ins/relay.h"

namespace sumac::platform {
namespace {

constexpr const char* kAddress = "127.0.7.33:18733";
constexpr const char* kExpectedWorkerHeader = "Sumacstack-Expected-Instance";
constexpr std::uint32_t kOtherLifeStatus = 421;
// What a silent order takes, and a renewal beyond the time for which it may be
// kept back.
constexpr Milliseconds kOrderLimit{400};
// For a busy computer.
constexpr Milliseconds kSlack{1'000};

// A worker that answers at once and only for itself, over a path that can go
// silent.
struct Parts {
  Parts()
      : io(kj::setupAsyncIo()),
        door(this->io.provider->getTimer(),
             http::AsyncServerSettings{.address = kAddress,
                                       .headers = {kExpectedWorkerHeader}},
             [this](const http::ServerRequest& request) {
               const auto header = request.headers.find(kExpectedWorkerHeader);
               const bool is_meant = header != request.headers.end() &&
                                     header->second == this->present;
               return is_meant ? http::ServerReply{.body = R"({"clock_ms":5,)"
                                                           R"("running":[],)"
                                                           R"("ended":[]})"}
                               : http::ServerReply{.status = kOtherLifeStatus};
             }),
        relay(this->io, kAddress),
        client(this->io.provider->getNetwork(), this->io.provider->getTimer()) {
    this->door.Listen(this->io.provider->getNetwork()).wait(this->io.waitScope);
  }

  scheduler::OrderResult Renew(const std::string& worker,
                               Milliseconds wait = Milliseconds(0)) {
    return this->client.Calls()
        .renew({.worker = WorkerId(worker),
                .address = this->relay.address(),
                .epoch = LeaderEpoch(1),
                .wait = wait})
        .wait(this->io.waitScope)
        .result;
  }
  kj::Promise<scheduler::OrderAnswer> Stop(const std::string& worker) {
    return this->client.Calls().send(
        scheduler::StopOrder{.worker = WorkerId(worker),
                             .address = this->relay.address(),
                             .epoch = LeaderEpoch(1),
                             .task = {{JobId("5c0e7a21d94b36f8"), 0, 0}, 0},
                             .run = RunNumber(1)});
  }

  kj::AsyncIoContext io;
  // The life that runs there.
  std::string present = "i-1";
  http::AsyncHttpServer door;
  stand_ins::Relay relay;
  WorkerClient client;
};

// An address is reused, by the next life or by a worker of another service. A
// call that is meant for the life before is not taken by the present one, and
// says nothing against it.
TEST(WorkerClientTest, AReusedAddressAnswersOnlyForThePresentLife) {
  auto parts = std::make_unique<Parts>();
  EXPECT_EQ(parts->Renew("i-1"), scheduler::OrderResult::kDone);
  parts->present = "i-2";
  EXPECT_EQ(parts->Renew("i-1"), scheduler::OrderResult::kOtherIncarnation);
  EXPECT_EQ(parts->Stop("i-1").wait(parts->io.waitScope).result,
            scheduler::OrderResult::kOtherIncarnation);
  EXPECT_EQ(parts->Renew("i-2"), scheduler::OrderResult::kDone);
  EXPECT_EQ(parts->Stop("i-2").wait(parts->io.waitScope).result,
            scheduler::OrderResult::kDone);
}

TEST(WorkerClientTest, ASilentRenewalIsNoticedAndTheNextGoesThrough) {
  constexpr Milliseconds kWait{600};
  auto parts = std::make_unique<Parts>();
  EXPECT_EQ(parts->Renew("i-1", kWait), scheduler::OrderResult::kDone);
  parts->relay.SilenceOpen();
  SystemClock clock;
  const SteadyTime silent_from = clock.SteadyNow();
  EXPECT_EQ(parts->Renew("i-1", kWait), scheduler::OrderResult::kUnknown);
  const Milliseconds took = clock.SteadyNow() - silent_from;
  RecordProperty("detection_ms", static_cast<int>(took.count()));
  EXPECT_LT(took, kWait + kOrderLimit + kSlack);
  EXPECT_EQ(parts->Renew("i-1", kWait), scheduler::OrderResult::kDone);
  EXPECT_EQ(parts->relay.accepted(), 2U);
  EXPECT_EQ(parts->relay.open(), 1U);
}

// All connections for orders are silent at once. Each costs one order, and as
// many new ones take their place.
TEST(WorkerClientTest, SilentOrdersAreNoticedAndNoConnectionIsKept) {
  constexpr std::size_t kOrders = 20;
  auto parts = std::make_unique<Parts>();
  const auto send = [&] {
    std::vector<kj::Promise<scheduler::OrderAnswer>> orders;
    for (std::size_t count = 0; count < kOrders; ++count) {
      orders.push_back(parts->Stop("i-1"));
    }
    std::size_t unanswered = 0;
    for (auto& order : orders) {
      unanswered +=
          static_cast<std::size_t>(order.wait(parts->io.waitScope).result !=
                                   scheduler::OrderResult::kDone);
    }
    return unanswered;
  };
  EXPECT_EQ(send(), 0U);
  const std::size_t opened = parts->relay.accepted();
  parts->relay.SilenceOpen();
  SystemClock clock;
  const SteadyTime silent_from = clock.SteadyNow();
  EXPECT_EQ(send(), opened);
  const Milliseconds took = clock.SteadyNow() - silent_from;
  RecordProperty("detection_ms", static_cast<int>(took.count()));
  EXPECT_LT(took, kOrderLimit + kSlack);
  EXPECT_EQ(send(), 0U);
  EXPECT_EQ(parts->relay.accepted(), 2 * opened);
  EXPECT_EQ(parts->relay.open(), opened);
}

}  // namespace
}  // namespace sumac::platform
