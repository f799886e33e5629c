// SPDX-License-Identifier: Apache-2.0
// A worker that crashes may restart under the same id without any state: it
// numbers its ends and its clock from the beginning, and accepts fencing tokens
// and leases that were meant for the previous incarnation. If an id identified
// an incarnation, the restarted worker's announcements would be discarded until
// their sequence numbers exceed the earlier ones, or for ever; it would drop
// its own ends when the earlier ones are acknowledged; and it would carry out
// starts meant for the previous incarnation.
#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libraries/base/text.h"
#include "libraries/http/async_http_server.h"
#include "libraries/jobs/jobs_state.h"
#include "nlohmann/json.hpp"
#include "platform/wire_codec.h"
#include "platform/worker_client.h"

namespace sumac::platform {
namespace {

using scheduler::OrderResult;

constexpr const char* kAddress = "127.0.7.57:18757";
constexpr const char* kExpectedWorkerHeader = "Sumacstack-Expected-Instance";
constexpr const char* kName = "i-7f3a91c2";
constexpr std::int64_t kFirstStart = 1'764'739'200'000;
constexpr std::int64_t kSecondStart = 1'764'739'260'500;

std::string AnnouncementText(std::optional<std::int64_t> born,
                             std::uint64_t sequence,
                             const std::string& address = kAddress) {
  nlohmann::json body = {{"service", "previews"}, {"address", address},
                         {"zone", "z1"},          {"machine", "m1"},
                         {"state", "ready"},      {"seq", sequence}};
  if (born) {
    body["born"] = *born;
  }
  return body.dump();
}

absl::StatusOr<jobs::Worker> ReadText(const std::string& text) {
  return ReadAnnouncement(WorkerName(kName), text);
}

jobs::Worker Announced(std::optional<std::int64_t> born,
                       std::uint64_t sequence,
                       const std::string& address = kAddress) {
  return *ReadText(AnnouncementText(born, sequence, address));
}

// Tests of the recorded state of workers in the controllers.
class WorkerLivesTest : public testing::Test {
 protected:
  fleet::Answer Record(const jobs::Worker& worker) {
    return this->state.Apply({WallTime(), jobs::RecordWorker{worker}});
  }
  fleet::Answer End(const WorkerId& worker) {
    return this->state.Apply({WallTime(), jobs::ForgetWorker{worker, true}});
  }

  jobs::JobsState state{
      [](std::string_view) { return jobs::JobsDeclaration(); }};
  const jobs::Worker first = Announced(kFirstStart, 57, "10.0.0.1:80");
  const jobs::Worker second = Announced(kSecondStart, 1, "10.0.0.2:80");
};

TEST_F(WorkerLivesTest, TwoIncarnationsOfOneNameAreTwoWorkers) {
  EXPECT_NE(this->first.id, this->second.id);
  EXPECT_EQ(this->first.id, Announced(kFirstStart, 1).id);
}

TEST_F(WorkerLivesTest, ALaterIncarnationReplacesTheEarlierOne) {
  this->Record(this->first);
  this->Record(this->second);
  ASSERT_EQ(this->state.workers().size(), 1U);
  const jobs::Worker& present = this->state.workers().begin()->second;
  EXPECT_EQ(present.address, "10.0.0.2:80");
  EXPECT_EQ(present.sequence, 1U);
}

TEST_F(WorkerLivesTest, ALaterIncarnationIsUsedAfterTheEarlierOneHasEnded) {
  this->Record(this->first);
  this->End(this->first.id);
  this->Record(this->second);
  EXPECT_EQ(this->state.workers().size(), 1U);
}

TEST_F(WorkerLivesTest, AnEarlierIncarnationIsIgnoredAfterALaterOne) {
  this->Record(this->second);
  this->Record(this->first);
  ASSERT_EQ(this->state.workers().size(), 1U);
  EXPECT_EQ(this->state.workers().begin()->second.address, "10.0.0.2:80");
}

TEST_F(WorkerLivesTest, ALateAnnouncementOfAnEndedIncarnationChangesNothing) {
  this->Record(this->first);
  this->Record(this->second);
  this->Record(Announced(kFirstStart, 58, "10.0.0.1:80"));
  ASSERT_EQ(this->state.workers().size(), 1U);
  EXPECT_EQ(this->state.workers().begin()->second.address, "10.0.0.2:80");
}

TEST_F(WorkerLivesTest, AStartTimeOfAnotherTypeIsRefused) {
  for (const char* born : {"1764739200000.5", "\"1764739200000\"", "-1", "true",
                           "null", "[]", "1e30"}) {
    const std::string text =
        StrCat(R"({"service":"previews","address":"10.0.0.1:80",)",
               R"("state":"ready","seq":4,"born":)", born, "}");
    EXPECT_FALSE(ReadText(text).ok()) << born;
  }
}

TEST_F(WorkerLivesTest, AWorkerWithoutAStartTimeIsIdentifiedByItsName) {
  EXPECT_EQ(Announced(std::nullopt, 3).id.value(), kName);
}

TEST_F(WorkerLivesTest,
       AnAnnouncementWithoutAStartTimeIsRefusedAfterOneWithIt) {
  this->Record(this->first);
  EXPECT_FALSE(
      this->Record(Announced(std::nullopt, 60, "10.0.0.9:80")).is_ok());
  ASSERT_EQ(this->state.workers().size(), 1U);
  EXPECT_EQ(this->state.workers().begin()->second.address, "10.0.0.1:80");
}

// An incarnation of the worker that counts the orders and acknowledgements it
// receives.
class FakeIncarnation {
 public:
  FakeIncarnation(kj::AsyncIoContext& io, std::optional<std::int64_t> born)
      : born(born),
        server(io.provider->getTimer(),
               http::AsyncServerSettings{.address = kAddress,
                                         .headers = {kExpectedWorkerHeader}},
               [this](const http::ServerRequest& request) {
                 return this->Handle(request);
               }) {
    this->server.Listen(io.provider->getNetwork()).wait(io.waitScope);
  }

  // True if it reads requests but does not answer them.
  bool never_answers = false;
  std::size_t starts = 0;
  std::size_t stops = 0;
  std::uint64_t acknowledged = 0;

 private:
  kj::Promise<http::ServerReply> Handle(const http::ServerRequest& request) {
    constexpr std::uint32_t kMisdirected = 421;
    if (request.headers.at(kExpectedWorkerHeader) != kName) {
      return http::ServerReply{.status = kMisdirected};
    }
    const nlohmann::json body = nlohmann::json::parse(request.body);
    nlohmann::json reply = {{"clock_ms", 1}};
    if (request.path == "/hold") {
      this->acknowledged =
          std::max(this->acknowledged, body.value("acked_upto", 0UL));
      reply["running"] = nlohmann::json::array();
      reply["ended"] = nlohmann::json::array();
      if (this->born) {
        reply["born"] = *this->born;
      }
    }
    this->starts += static_cast<std::size_t>(request.path == "/run-start");
    this->stops += static_cast<std::size_t>(request.path == "/run-stop");
    if (this->never_answers) {
      return kj::Promise<http::ServerReply>(kj::NEVER_DONE);
    }
    return http::ServerReply{.body = reply.dump()};
  }

  std::optional<std::int64_t> born;
  http::AsyncHttpServer server;
};

enum class Call { kStart, kStop, kRenewal, kReport };
// The state of the connections when the worker crashes.
enum class ConnectionState { kNothing, kIdle, kInProgress };

// Tests of every kind of call after a restart of the worker, in each state of
// the connections.
class WorkerRestartTest : public testing::Test {
 protected:
  struct Parts {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    WorkerClient client{this->io.provider->getNetwork(),
                        this->io.provider->getTimer()};
    std::unique_ptr<FakeIncarnation> incarnation;
  };

  kj::Promise<OrderResult> Send(Call call, const WorkerId& worker) {
    scheduler::WorkerCalls calls = this->parts->client.Calls();
    const jobs::TaskId task{{JobId("5c0e7a21d94b36f8"), 0, 0}, 0};
    const auto order_result = [](const scheduler::OrderAnswer& answer) {
      return answer.result;
    };
    const auto renewal_result = [](const scheduler::RenewAnswer& answer) {
      return answer.result;
    };
    const scheduler::RenewOrder renewal{.worker = worker,
                                        .address = kAddress,
                                        .epoch = LeaderEpoch(1),
                                        .acknowledged_ends = 5};
    switch (call) {
      case Call::kStart:
        return calls
            .send(scheduler::StartOrder{
                .worker = worker,
                .address = kAddress,
                .epoch = LeaderEpoch(1),
                .task = task,
                .run = RunNumber(1),
                .lease_end = scheduler::WorkerTime(900'000)})
            .then(order_result);
      case Call::kStop:
        return calls
            .send(scheduler::StopOrder{.worker = worker,
                                       .address = kAddress,
                                       .epoch = LeaderEpoch(1),
                                       .task = task,
                                       .run = RunNumber(1)})
            .then(order_result);
      case Call::kRenewal:
        return calls.renew(renewal).then(renewal_result);
      case Call::kReport:
        return calls.request_report(renewal).then(renewal_result);
    }
    return OrderResult::kUnknown;
  }

  OrderResult SendAndWait(Call call, const WorkerId& worker) {
    return this->Send(call, worker).wait(this->parts->io.waitScope);
  }
  void StartWorker(std::optional<std::int64_t> born) {
    this->parts->incarnation.reset();
    this->parts->incarnation =
        std::make_unique<FakeIncarnation>(this->parts->io, born);
  }
  bool HasReceivedNothing() const {
    return this->parts->incarnation->starts == 0 &&
           this->parts->incarnation->stops == 0 &&
           this->parts->incarnation->acknowledged == 0;
  }

  // Runs a check for every kind of call in each state of the connections.
  void ForEachCallAndState(
      const std::function<void(Call, ConnectionState)>& check) {
    for (const Call call :
         {Call::kStart, Call::kStop, Call::kRenewal, Call::kReport}) {
      for (const ConnectionState state_before :
           {ConnectionState::kNothing, ConnectionState::kIdle,
            ConnectionState::kInProgress}) {
        SCOPED_TRACE(StrCat("call ", static_cast<int>(call), ", before ",
                            static_cast<int>(state_before)));
        this->parts.reset();
        this->parts = std::make_unique<Parts>();
        check(call, state_before);
      }
    }
  }

  std::unique_ptr<Parts> parts;
  const WorkerId first = Announced(kFirstStart, 57).id;
  const WorkerId second = Announced(kSecondStart, 1).id;
};

TEST_F(WorkerRestartTest, ACallForAnEndedIncarnationReachesNoLaterOne) {
  this->ForEachCallAndState([this](Call call, ConnectionState state_before) {
    this->StartWorker(kFirstStart);
    std::vector<kj::Promise<OrderResult>> in_progress;
    if (state_before == ConnectionState::kIdle) {
      for (const Call earlier :
           {Call::kStart, Call::kStop, Call::kRenewal, Call::kReport}) {
        EXPECT_EQ(this->SendAndWait(earlier, this->first), OrderResult::kDone);
      }
    } else if (state_before == ConnectionState::kInProgress) {
      EXPECT_EQ(this->SendAndWait(call, this->first), OrderResult::kDone);
      this->parts->incarnation->never_answers = true;
      in_progress.push_back(this->Send(call, this->first));
      // The worker reads the call and does not answer it.
      this->parts->io.provider->getTimer()
          .afterDelay(20 * kj::MILLISECONDS)
          .wait(this->parts->io.waitScope);
    }
    this->StartWorker(kSecondStart);
    for (auto& earlier : in_progress) {
      EXPECT_NE(earlier.wait(this->parts->io.waitScope), OrderResult::kDone);
    }
    EXPECT_EQ(this->SendAndWait(call, this->first),
              OrderResult::kOtherIncarnation);
    EXPECT_TRUE(this->HasReceivedNothing());
  });
}

TEST_F(WorkerRestartTest, ACallForTheLaterIncarnationReachesIt) {
  this->ForEachCallAndState([this](Call call, ConnectionState state_before) {
    this->StartWorker(kFirstStart);
    if (state_before != ConnectionState::kNothing) {
      EXPECT_EQ(this->SendAndWait(call, this->first), OrderResult::kDone);
    }
    this->StartWorker(kSecondStart);
    EXPECT_EQ(this->SendAndWait(call, this->second), OrderResult::kDone);
    EXPECT_FALSE(this->HasReceivedNothing());
  });
}

// The announcement of an incarnation may be handled before the previous
// incarnation has ended.
TEST_F(WorkerRestartTest, ACallForALaterIncarnationReachesNoEarlierOne) {
  this->ForEachCallAndState(
      [this](Call call, ConnectionState /*state_before*/) {
        this->StartWorker(kFirstStart);
        EXPECT_EQ(this->SendAndWait(call, this->second),
                  OrderResult::kOtherIncarnation);
        EXPECT_TRUE(this->HasReceivedNothing());
      });
}

TEST_F(WorkerRestartTest, AWorkerWithoutAStartTimeIsCalledByItsName) {
  const WorkerId worker = Announced(std::nullopt, 1).id;
  this->ForEachCallAndState(
      [this, &worker](Call call, ConnectionState /*state_before*/) {
        this->StartWorker(std::nullopt);
        EXPECT_EQ(this->SendAndWait(call, worker), OrderResult::kDone);
      });
}

}  // namespace
}  // namespace sumac::platform
