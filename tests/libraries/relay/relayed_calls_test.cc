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

// Workers that count who asks them.
scheduler::WorkerCalls CountingCalls(int& count) {
  const auto renew =
      [&count](
          const scheduler::RenewOrder&) -> kj::Promise<scheduler::RenewAnswer> {
    ++count;
    return scheduler::RenewAnswer{.result = scheduler::OrderResult::kDone};
  };
  return {.renew = renew,
          .request_report = renew,
          .forget = [](const WorkerId&) {}};
}

// A relay that takes every call and makes none while `sends` is false.
class FakePeer final : public wire::Peer::Server {
 public:
  FakePeer(int& count, const bool& sends, kj::Timer& timer)
      : count(count), sends(sends), timer(timer) {}

  kj::Promise<void> openRelay(OpenRelayContext context) override {
    auto results = context.getResults();
    results.setRelay(kj::heap<RelayService>(
        OwnedWorkerCalls{nullptr, CountingCalls(this->count)},
        context.getParams().getAnswers(), LeaderEpoch(1), this->timer,
        RelayService::Host{
            .is_current = [this](LeaderEpoch) { return this->sends; }}));
    results.setClockMs(SystemClock().SteadyNow().time_since_epoch().count());
    return kj::READY_NOW;
  }

 private:
  int& count;
  const bool& sends;
  kj::Timer& timer;
};

class RelayedCallsTest : public testing::Test {
 protected:
  RelayedCallsTest() : io(kj::setupAsyncIo()) {
    kj::Network& network = this->io.provider->getNetwork();
    kj::Timer& timer = this->io.provider->getTimer();
    this->server = std::make_unique<capnp::TwoPartyServer>(
        kj::heap<FakePeer>(this->by_relay, this->relay_sends, timer));
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

  // NOTE: kj's destructors may throw; a test's may not.
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

  kj::AsyncIoContext io;
  int by_relay = 0;
  int by_leader = 0;
  bool relay_sends = true;
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

// A relay that is late, or has no connection to spare, would hold up its
// workers until their leases end.
TEST_F(RelayedCallsTest, AWorkerWhoseRelaySendsNothingIsCalledDirectly) {
  this->OpenRelay();
  this->relay_sends = false;
  EXPECT_EQ(this->Renew(), scheduler::OrderResult::kNotSent);
  EXPECT_EQ(this->Renew(), scheduler::OrderResult::kDone);
  EXPECT_EQ(this->by_relay, 0);
  EXPECT_EQ(this->by_leader, 1);
}

}  // namespace
}  // namespace sumac::relay
