// SPDX-License-Identifier: Apache-2.0
// A worker that crashes may start again under the id that it had, knowing
// nothing of before: its ends are numbered anew, its clock starts anew, and it
// takes fencing tokens and leases that were meant for the life before. Ids were
// taken for lives, so that its announcements were thrown away until they
// outnumbered the earlier ones, or for good, the acknowledgement of the earlier
// life's ends made it forget its own, and it carried out starts that were meant
// for the earlier life.
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

constexpr const char* kAddress = "127.0.7.34:18734";
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

// What controllers have on record.
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

TEST_F(WorkerLivesTest, TwoLivesOfOneIdAreTwoWorkers) {
  EXPECT_NE(this->first.id, this->second.id);
  EXPECT_EQ(this->first.id, Announced(kFirstStart, 1).id);
}

TEST_F(WorkerLivesTest, ALaterLifeCountsFromItsFirstAnnouncement) {
  this->Record(this->first);
  this->Record(this->second);
  ASSERT_EQ(this->state.workers().size(), 1U);
  const jobs::Worker& present = this->state.workers().begin()->second;
  EXPECT_EQ(present.address, "10.0.0.2:80");
  EXPECT_EQ(present.sequence, 1U);
}

TEST_F(WorkerLivesTest, ALaterLifeIsUsedAfterTheEarlierOneHasEnded) {
  this->Record(this->first);
  this->End(this->first.id);
  this->Record(this->second);
  EXPECT_EQ(this->state.workers().size(), 1U);
}

TEST_F(WorkerLivesTest, AnEarlierLifeIsNotBelievedAfterALaterOne) {
  this->Record(this->second);
  this->Record(this->first);
  ASSERT_EQ(this->state.workers().size(), 1U);
  EXPECT_EQ(this->state.workers().begin()->second.address, "10.0.0.2:80");
}

TEST_F(WorkerLivesTest, ALateAnnouncementOfALifeThatIsOverChangesNothing) {
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

TEST_F(WorkerLivesTest, AWorkerThatTellsNoStartIsItsId) {
  EXPECT_EQ(Announced(std::nullopt, 3).id.value(), kName);
}

TEST_F(WorkerLivesTest, AStatementWithoutAStartHarmsNothing) {
  this->Record(this->first);
  EXPECT_FALSE(
      this->Record(Announced(std::nullopt, 60, "10.0.0.9:80")).is_ok());
  ASSERT_EQ(this->state.workers().size(), 1U);
  EXPECT_EQ(this->state.workers().begin()->second.address, "10.0.0.1:80");
}

// One life of the worker's process, with all that it was told.
class Life {
 public:
  Life(kj::AsyncIoContext& io, std::optional<std::int64_t> born)
      : born(born),
        door(io.provider->getTimer(),
             http::AsyncServerSettings{.address = kAddress,
                                       .headers = {kExpectedWorkerHeader}},
             [this](const http::ServerRequest& request) {
               return this->Handle(request);
             }) {
    this->door.Listen(io.provider->getNetwork()).wait(io.waitScope);
  }

  // It takes requests and answers none of them.
  bool is_mute = false;
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
    if (this->is_mute) {
      return kj::Promise<http::ServerReply>(kj::NEVER_DONE);
    }
    return http::ServerReply{.body = reply.dump()};
  }

  std::optional<std::int64_t> born;
  http::AsyncHttpServer door;
};

enum class Call { kStart, kStop, kRenewal, kReport };
// What was going on over the connections when the worker crashed.
enum class Before { kNothing, kIdle, kUnderWay };

// Every call to a life that has ended, at each state of its connections.
class WorkerRestartTest : public testing::Test {
 protected:
  struct Parts {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    WorkerClient client{this->io.provider->getNetwork(),
                        this->io.provider->getTimer()};
    std::unique_ptr<Life> life;
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
  void Begin(std::optional<std::int64_t> born) {
    this->parts->life.reset();
    this->parts->life = std::make_unique<Life>(this->parts->io, born);
  }
  bool HeardNothing() const {
    return this->parts->life->starts == 0 && this->parts->life->stops == 0 &&
           this->parts->life->acknowledged == 0;
  }

  // Runs a check for every call at each state of the connections.
  void ForEach(const std::function<void(Call, Before)>& check) {
    for (const Call call :
         {Call::kStart, Call::kStop, Call::kRenewal, Call::kReport}) {
      for (const Before before :
           {Before::kNothing, Before::kIdle, Before::kUnderWay}) {
        SCOPED_TRACE(StrCat("call ", static_cast<int>(call), ", before ",
                            static_cast<int>(before)));
        this->parts.reset();
        this->parts = std::make_unique<Parts>();
        check(call, before);
      }
    }
  }

  std::unique_ptr<Parts> parts;
  const WorkerId first = Announced(kFirstStart, 57).id;
  const WorkerId second = Announced(kSecondStart, 1).id;
};

TEST_F(WorkerRestartTest, ACallForAnEndedLifeReachesNoLaterOne) {
  this->ForEach([this](Call call, Before before) {
    this->Begin(kFirstStart);
    std::vector<kj::Promise<OrderResult>> under_way;
    if (before == Before::kIdle) {
      for (const Call earlier :
           {Call::kStart, Call::kStop, Call::kRenewal, Call::kReport}) {
        EXPECT_EQ(this->SendAndWait(earlier, this->first), OrderResult::kDone);
      }
    } else if (before == Before::kUnderWay) {
      EXPECT_EQ(this->SendAndWait(call, this->first), OrderResult::kDone);
      this->parts->life->is_mute = true;
      under_way.push_back(this->Send(call, this->first));
      // The call is taken, and not answered.
      this->parts->io.provider->getTimer()
          .afterDelay(20 * kj::MILLISECONDS)
          .wait(this->parts->io.waitScope);
    }
    this->Begin(kSecondStart);
    for (auto& earlier : under_way) {
      EXPECT_NE(earlier.wait(this->parts->io.waitScope), OrderResult::kDone);
    }
    EXPECT_EQ(this->SendAndWait(call, this->first),
              OrderResult::kOtherIncarnation);
    EXPECT_TRUE(this->HeardNothing());
  });
}

TEST_F(WorkerRestartTest, ACallForTheLaterLifeReachesIt) {
  this->ForEach([this](Call call, Before before) {
    this->Begin(kFirstStart);
    if (before != Before::kNothing) {
      EXPECT_EQ(this->SendAndWait(call, this->first), OrderResult::kDone);
    }
    this->Begin(kSecondStart);
    EXPECT_EQ(this->SendAndWait(call, this->second), OrderResult::kDone);
    EXPECT_FALSE(this->HeardNothing());
  });
}

// The announcement of a life may be read before the one before it has ended.
TEST_F(WorkerRestartTest, ACallForALaterLifeReachesNoEarlierOne) {
  this->ForEach([this](Call call, Before /*before*/) {
    this->Begin(kFirstStart);
    EXPECT_EQ(this->SendAndWait(call, this->second),
              OrderResult::kOtherIncarnation);
    EXPECT_TRUE(this->HeardNothing());
  });
}

TEST_F(WorkerRestartTest, AWorkerThatTellsNoStartIsCalledByItsId) {
  const WorkerId worker = Announced(std::nullopt, 1).id;
  this->ForEach([this, &worker](Call call, Before /*before*/) {
    this->Begin(std::nullopt);
    EXPECT_EQ(this->SendAndWait(call, worker), OrderResult::kDone);
  });
}

}  // namespace
}  // namespace sumac::platform
