// SPDX-License-Identifier: Apache-2.0
#include "libraries/relay/relay_link.h"

#include <capnp/rpc-twoparty.h>
#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/kj_time.h"
#include "libraries/base/text.h"
#include "libraries/relay/relay_service.h"
#include "libraries/rpc/channel.h"
#include "libraries/wire/generated/peer.capnp.h"

namespace sumac::relay {
namespace {

constexpr Milliseconds kWorkerTimeout{400};
constexpr LeaderEpoch kEpoch{3};

// Workers that answer as they are told to, or not at all.
struct FakeWorkers {
  bool answers = true;
  std::vector<scheduler::Order> orders;
  std::vector<scheduler::RenewOrder> renewals;
  std::vector<WorkerId> forgotten;
  std::vector<kj::Own<kj::PromiseFulfiller<scheduler::OrderAnswer>>> held;

  scheduler::WorkerCalls Calls() {
    const auto renew = [this](const scheduler::RenewOrder& order)
        -> kj::Promise<scheduler::RenewAnswer> {
      this->renewals.push_back(order);
      scheduler::RenewAnswer answer{.result = scheduler::OrderResult::kDone};
      answer.report.clock = scheduler::WorkerTime(5);
      return answer;
    };
    return {.renew = renew,
            .request_report = renew,
            .send = [this](const scheduler::Order& order)
                -> kj::Promise<scheduler::OrderAnswer> {
              this->orders.push_back(order);
              if (this->answers) {
                return scheduler::OrderAnswer{
                    .result = scheduler::OrderResult::kDone,
                    .clock = scheduler::WorkerTime(8)};
              }
              auto paf = kj::newPromiseAndFulfiller<scheduler::OrderAnswer>();
              this->held.push_back(kj::mv(paf.fulfiller));
              return kj::mv(paf.promise);
            },
            .forget =
                [this](const WorkerId& worker) {
                  this->forgotten.push_back(worker);
                }};
  }
};

// A controller that is a relay for anybody.
class RelayPeer final : public wire::Peer::Server {
 public:
  RelayPeer(FakeWorkers& workers, kj::Timer& timer, LeaderEpoch& known_epoch)
      : workers(workers), timer(timer), known_epoch(known_epoch) {}

  kj::Promise<void> openRelay(OpenRelayContext context) override {
    auto results = context.getResults();
    results.setRelay(kj::heap<RelayService>(
        OwnedWorkerCalls{nullptr, this->workers.Calls()},
        context.getParams().getAnswers(),
        LeaderEpoch(context.getParams().getEpoch()), this->timer,
        RelayService::Host{.is_current = [this](LeaderEpoch epoch) {
          return epoch >= this->known_epoch;
        }}));
    results.setDataCentre("north");
    results.setClockMs(SystemClock().SteadyNow().time_since_epoch().count());
    return kj::READY_NOW;
  }

 private:
  FakeWorkers& workers;
  kj::Timer& timer;
  LeaderEpoch& known_epoch;
};

class RelayLinkTest : public testing::Test {
 protected:
  RelayLinkTest() : io(kj::setupAsyncIo()) {
    kj::Network& network = this->io.provider->getNetwork();
    this->server = std::make_unique<capnp::TwoPartyServer>(kj::heap<RelayPeer>(
        this->workers, this->io.provider->getTimer(), this->known_epoch));
    auto address = network.parseAddress("127.0.0.1").wait(this->io.waitScope);
    this->receiver = address->listen();
    this->accepting =
        this->receiver->accept().then([this](kj::Own<kj::AsyncIoStream>&& end) {
          this->server->accept(kj::mv(end));
        });
    this->channel.emplace(network, this->io.provider->getTimer(),
                          StrCat("127.0.0.1:", this->receiver->getPort()));
    this->link.emplace(
        *this->channel, this->io.provider->getTimer(), kEpoch,
        RelayLink::Host{.lease_end = [this] { return this->lease_end; },
                        .on_change = [this] { ++this->changes; }});
  }

  // NOTE: kj's destructors may throw; a test's may not.
  ~RelayLinkTest() noexcept override {}

  void Open() {
    this->link->OpenIfDue(this->clock.SteadyNow());
    this->accepting.wait(this->io.waitScope);
    this->WaitFor([this] { return this->link->is_open(); });
  }

  template <typename Condition>
  void WaitFor(Condition condition) {
    constexpr Milliseconds kStep{5};
    constexpr int kMaxSteps = 1'000;
    for (int step = 0; step < kMaxSteps && !condition(); ++step) {
      this->io.provider->getTimer()
          .afterDelay(ToKj(kStep))
          .wait(this->io.waitScope);
    }
    ASSERT_TRUE(condition());
  }

  static scheduler::StopOrder Stop() {
    return {.worker = WorkerId("w-1"),
            .address = "10.0.0.9:8080",
            .epoch = kEpoch,
            .task = {{JobId("5c0e7a21d94b36f8"), 0, 0}, 1},
            .run = RunNumber(2)};
  }

  // The connection breaks without a word.
  void LoseRelay() { this->server.reset(); }

  SystemClock clock;
  kj::AsyncIoContext io;
  FakeWorkers workers;
  LeaderEpoch known_epoch{kEpoch};
  std::unique_ptr<capnp::TwoPartyServer> server;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Promise<void> accepting = nullptr;
  std::optional<rpc::Channel> channel;
  std::optional<SteadyTime> lease_end =
      SystemClock().SteadyNow() + Milliseconds(60'000);
  int changes = 0;
  std::optional<RelayLink> link;
};

TEST_F(RelayLinkTest, CallsAreSentAndAnswersReturned) {
  this->Open();
  EXPECT_EQ(this->link->data_centre(), DataCentre("north"));
  const RelayAnswer stopped =
      this->link->Call(Stop(), kWorkerTimeout).wait(this->io.waitScope);
  EXPECT_EQ(stopped.result, scheduler::OrderResult::kDone);
  EXPECT_EQ(stopped.clock, scheduler::WorkerTime(8));
  const RelayAnswer renewed =
      this->link->Call(RenewCall{{.worker = WorkerId("w-1")}}, kWorkerTimeout)
          .wait(this->io.waitScope);
  ASSERT_NE(renewed.report, nullptr);
  EXPECT_EQ(renewed.report->clock, scheduler::WorkerTime(5));
  this->link->CloseConnectionsTo(WorkerId("w-1"));
  this->WaitFor([this] { return !this->workers.forgotten.empty(); });
}

TEST_F(RelayLinkTest, OrdersOfOnePassShareABatch) {
  constexpr int kOrders = 50;
  this->Open();
  std::vector<kj::Promise<RelayAnswer>> answers;
  answers.reserve(kOrders);
  for (int count = 0; count < kOrders; ++count) {
    answers.push_back(this->link->Call(Stop(), kWorkerTimeout));
  }
  for (auto& answer : answers) {
    EXPECT_EQ(answer.wait(this->io.waitScope).result,
              scheduler::OrderResult::kDone);
  }
  EXPECT_EQ(this->link->counts().batches, 1U);
  EXPECT_EQ(this->link->counts().answer_batches, 1U);
}

// A relay may be suspended while an order lies in it.
TEST_F(RelayLinkTest, EachCallContainsItsDeadline) {
  constexpr Milliseconds kLease{300};
  this->Open();
  this->lease_end = this->clock.SteadyNow() + kLease;
  this->link->Call(Stop(), kWorkerTimeout).wait(this->io.waitScope);
  const auto& order = std::get<scheduler::StopOrder>(this->workers.orders[0]);
  EXPECT_GT(order.longest_wait, Milliseconds(0));
  EXPECT_LE(order.longest_wait, kLease);
}

TEST_F(RelayLinkTest, ACallWhoseDeadlineHasPassedIsNotMade) {
  this->Open();
  this->lease_end = this->clock.SteadyNow() - Milliseconds(1);
  EXPECT_EQ(
      this->link->Call(Stop(), kWorkerTimeout).wait(this->io.waitScope).result,
      scheduler::OrderResult::kNotSent);
  EXPECT_TRUE(this->workers.orders.empty());
}

TEST_F(RelayLinkTest, ALeaderWithoutALeaseSendsNothing) {
  this->Open();
  this->lease_end.reset();
  EXPECT_EQ(
      this->link->Call(Stop(), kWorkerTimeout).wait(this->io.waitScope).result,
      scheduler::OrderResult::kNotSent);
  EXPECT_EQ(this->link->counts().batches, 0U);
}

TEST_F(RelayLinkTest, ARelayMakesNoCallsOnceALaterLeadershipIsKnown) {
  this->Open();
  this->known_epoch = kEpoch.Next();
  EXPECT_EQ(
      this->link->Call(Stop(), kWorkerTimeout).wait(this->io.waitScope).result,
      scheduler::OrderResult::kNotSent);
  EXPECT_TRUE(this->workers.orders.empty());
}

// "Never left" would let the scheduler start the task elsewhere.
TEST_F(RelayLinkTest, CallsOfALostRelayHaveAnUnknownOutcome) {
  this->Open();
  this->workers.answers = false;
  auto answer = this->link->Call(Stop(), kWorkerTimeout);
  this->WaitFor([this] { return !this->workers.orders.empty(); });
  this->LoseRelay();
  auto next = this->link->Call(Stop(), kWorkerTimeout);
  EXPECT_EQ(answer.wait(this->io.waitScope).result,
            scheduler::OrderResult::kRelayLost);
  EXPECT_EQ(next.wait(this->io.waitScope).result,
            scheduler::OrderResult::kRelayLost);
  EXPECT_FALSE(this->link->is_open());
  EXPECT_EQ(this->changes, 2);
}

TEST_F(RelayLinkTest, QueuedCallsAreNotSentAfterTheLinkEnds) {
  this->Open();
  auto answer =
      this->link->Call(RenewCall{{.worker = WorkerId("w-1")}}, kWorkerTimeout);
  this->link.reset();
  EXPECT_EQ(answer.wait(this->io.waitScope).result,
            scheduler::OrderResult::kNotSent);
  EXPECT_TRUE(this->workers.renewals.empty());
}

TEST_F(RelayLinkTest, ARelayThatHoldsBackAnAnswerIsGivenUp) {
  constexpr Milliseconds kBeyond{60'000};
  this->Open();
  this->workers.answers = false;
  auto answer = this->link->Call(Stop(), kWorkerTimeout);
  this->WaitFor([this] { return !this->workers.orders.empty(); });
  this->link->CheckOpenCalls(this->clock.SteadyNow());
  EXPECT_TRUE(this->link->is_open());
  this->link->CheckOpenCalls(this->clock.SteadyNow() + kBeyond);
  EXPECT_FALSE(this->link->is_open());
  EXPECT_EQ(answer.wait(this->io.waitScope).result,
            scheduler::OrderResult::kRelayLost);
}

}  // namespace
}  // namespace sumac::relay
