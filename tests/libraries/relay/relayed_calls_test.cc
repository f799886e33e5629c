// SPDX-License-Identifier: Apache-2.0
#include "libraries/relay/relayed_calls.h"

#include <capnp/rpc-twoparty.h>
#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <memory>
#include <optional>

#include "libraries/base/kj_time.h"
#include "libraries/base/text.h"
#include "libraries/relay/relay_service.h"
#include "libraries/wire/generated/peer.capnp.h"

namespace sumac::relay {
namespace {

// Calls to workers that succeed at once and are counted in `count`.
scheduler::WorkerCalls CountingCalls(int& count) {
  const auto renew =
      [&count](
          const scheduler::RenewOrder&) -> kj::Promise<scheduler::RenewAnswer> {
    ++count;
    return scheduler::RenewAnswer{.result = scheduler::OrderResult::kDone};
  };
  return {
      .renew = renew,
      .request_report = renew,
      .send = [&count](const scheduler::Order&)
          -> kj::Promise<scheduler::OrderAnswer> {
        ++count;
        return scheduler::OrderAnswer{.result = scheduler::OrderResult::kDone};
      },
      .forget = [](const WorkerId&) {}};
}

// A relay that accepts all calls, but makes none while `sends` is false, and no
// starts while `may_start` is false.
class FakePeer final : public wire::Peer::Server {
 public:
  FakePeer(int& count,
           const bool& sends,
           const bool& may_start,
           kj::Timer& timer)
      : count(count), sends(sends), may_start(may_start), timer(timer) {}

  kj::Promise<void> openRelay(OpenRelayContext context) override {
    auto results = context.getResults();
    results.setRelay(kj::heap<RelayService>(
        OwnedWorkerCalls{nullptr, CountingCalls(this->count)},
        context.getParams().getAnswers(), LeaderEpoch(1), this->timer,
        RelayService::Host{
            .is_current = [this](LeaderEpoch) { return this->sends; },
            .may_start_on =
                [this](const WorkerId&) { return this->may_start; }}));
    results.setClockMs(SystemClock().SteadyNow().time_since_epoch().count());
    return kj::READY_NOW;
  }

 private:
  int& count;
  const bool& sends;
  const bool& may_start;
  kj::Timer& timer;
};

class RelayedCallsTest : public testing::Test {
 protected:
  RelayedCallsTest() : io(kj::setupAsyncIo()) {
    kj::Network& network = this->io.provider->getNetwork();
    kj::Timer& timer = this->io.provider->getTimer();
    this->server = std::make_unique<capnp::TwoPartyServer>(kj::heap<FakePeer>(
        this->by_relay, this->relay_sends, this->relay_may_start, timer));
    auto address = network.parseAddress("127.0.0.1").wait(this->io.waitScope);
    this->receiver = address->listen();
    this->listening =
        this->server->listen(*this->receiver).eagerlyEvaluate(nullptr);
    this->channel.emplace(network, timer,
                          StrCat("127.0.0.1:", this->receiver->getPort()));
    this->calls.emplace(
        CountingCalls(this->by_leader), timer, LeaderEpoch(1),
        RelayedCalls::Host{
            .find = [this](const ProcessName&) { return &*this->channel; },
            .lease_end =
                [] {
                  return std::optional(SystemClock().SteadyNow() +
                                       Milliseconds(60'000));
                },
            .data_centre_of = [](const WorkerId&) { return DataCentre("a"); }});
  }

  // NOTE: Destructors of kj may throw, the destructor of a gtest fixture may
  // not.
  ~RelayedCallsTest() noexcept override {}

  void OpenRelay() {
    constexpr int kMaxSteps = 1'000;
    constexpr Milliseconds kStep{5};
    for (int step = 0; step < kMaxSteps && this->calls->open_relays() == 0;
         ++step) {
      this->calls->UpdateRelays({ProcessName("c2")}, SystemClock().SteadyNow());
      this->io.provider->getTimer()
          .afterDelay(ToKj(kStep))
          .wait(this->io.waitScope);
    }
    ASSERT_EQ(this->calls->open_relays(), 1U);
  }

  scheduler::OrderResult Renew() {
    return this->calls->Renew({.worker = WorkerId("w-1")})
        .wait(this->io.waitScope)
        .result;
  }

  scheduler::OrderResult Send(const scheduler::Order& order) {
    return this->calls->Send(order).wait(this->io.waitScope).result;
  }

  kj::AsyncIoContext io;
  int by_relay = 0;
  int by_leader = 0;
  bool relay_sends = true;
  bool relay_may_start = true;
  std::unique_ptr<capnp::TwoPartyServer> server;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Promise<void> listening = nullptr;
  std::optional<rpc::Channel> channel;
  std::optional<RelayedCalls> calls;
};

TEST_F(RelayedCallsTest, WithoutARelayTheLeaderCallsByItself) {
  EXPECT_EQ(this->Renew(), scheduler::OrderResult::kDone);
  EXPECT_EQ(this->by_leader, 1);
  this->OpenRelay();
  EXPECT_EQ(this->Renew(), scheduler::OrderResult::kDone);
  EXPECT_EQ(this->by_relay, 1);
  this->calls->UpdateRelays({}, SystemClock().SteadyNow());
  EXPECT_EQ(this->Renew(), scheduler::OrderResult::kDone);
  EXPECT_EQ(this->by_leader, 2);
}

// A relay that is late or has no free connection would otherwise block the
// calls to its workers until their leases end.
TEST_F(RelayedCallsTest, AWorkerWhoseRelaySendsNothingIsCalledDirectly) {
  this->OpenRelay();
  this->relay_sends = false;
  EXPECT_EQ(this->Renew(), scheduler::OrderResult::kNotSent);
  EXPECT_EQ(this->Renew(), scheduler::OrderResult::kDone);
  EXPECT_EQ(this->by_relay, 0);
  EXPECT_EQ(this->by_leader, 1);
}

// The leader may be slow to apply an evacuation, or may be an earlier one.
TEST_F(RelayedCallsTest, ARelaySendsNoStartToADataCentreItKnowsAsEvacuated) {
  this->OpenRelay();
  this->relay_may_start = false;
  const jobs::TaskId task{{JobId("j"), 0, 0}, 0};
  EXPECT_EQ(this->Send(
                scheduler::StartOrder{.worker = WorkerId("w-1"), .task = task}),
            scheduler::OrderResult::kNotSent);
  EXPECT_EQ(this->by_relay + this->by_leader, 0);
}

// What runs in an evacuated data centre is renewed and can be stopped.
TEST_F(RelayedCallsTest, ARelaySendsAllButStartsThere) {
  this->OpenRelay();
  this->relay_may_start = false;
  const jobs::TaskId task{{JobId("j"), 0, 0}, 0};
  EXPECT_EQ(this->Renew(), scheduler::OrderResult::kDone);
  EXPECT_EQ(
      this->Send(scheduler::StopOrder{.worker = WorkerId("w-1"), .task = task}),
      scheduler::OrderResult::kDone);
  EXPECT_EQ(this->by_relay, 2);
}

}  // namespace
}  // namespace sumac::relay
