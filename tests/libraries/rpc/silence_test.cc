// SPDX-License-Identifier: Apache-2.0
#include <capnp/rpc-twoparty.h>
#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <memory>
#include <vector>

#include "libraries/base/kj_time.h"
#include "libraries/base/text.h"
#include "libraries/rpc/channel.h"
#include "libraries/wire/generated/peer.capnp.h"
#include "tests/stand_ins/relay.h"

namespace sumac::rpc {
namespace {

constexpr Milliseconds kLimit{200};
constexpr Milliseconds kInterval{25};
// The extra time allowed on a busy machine.
constexpr Milliseconds kSlack{1'000};

class AnsweringPeer final : public wire::Peer::Server {
 public:
  kj::Promise<void> ask(AskContext /*context*/) override {
    return kj::READY_NOW;
  }
};

// A channel to a peer that answers at once, through a relay that can stop
// forwarding.
struct Parts {
  Parts() : io(kj::setupAsyncIo()), server(kj::heap<AnsweringPeer>()) {
    kj::Network& network = this->io.provider->getNetwork();
    auto address = network.parseAddress("127.0.0.1").wait(this->io.waitScope);
    this->receiver = address->listen();
    this->listening =
        this->server.listen(*this->receiver).eagerlyEvaluate(nullptr);
    this->relay = std::make_unique<stand_ins::Relay>(
        this->io, StrCat("127.0.0.1:", this->receiver->getPort()));
    this->channel = std::make_unique<Channel>(
        network, this->io.provider->getTimer(), this->relay->address());
  }

  // Makes a call. The promise gives true if it was answered, false if it
  // failed.
  kj::Promise<bool> Call() {
    auto request = this->channel->Get<wire::Peer>().askRequest();
    return this->channel
        ->Guard(kLimit, request.send().then([](auto&&) { return true; }))
        .catch_([](kj::Exception&&) { return false; })
        .eagerlyEvaluate(nullptr);
  }

  void Wait(Milliseconds time) {
    this->io.provider->getTimer()
        .afterDelay(ToKj(time))
        .wait(this->io.waitScope);
  }

  kj::AsyncIoContext io;
  capnp::TwoPartyServer server;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Promise<void> listening = nullptr;
  std::unique_ptr<stand_ins::Relay> relay;
  std::unique_ptr<Channel> channel;
};

// Heartbeats continue while the connection is silent. The first one sent after
// the last answer must detect it when it times out, although earlier ones were
// answered.
TEST(SilenceTest, ASteadyFlowOfCallsNoticesASilentConnectionByItsLimit) {
  auto parts = std::make_unique<Parts>();
  ASSERT_TRUE(parts->Call().wait(parts->io.waitScope));
  parts->relay->SilenceOpen();
  SystemClock clock;
  const SteadyTime silent_from = clock.SteadyNow();
  bool is_answered = false;
  std::vector<kj::Promise<void>> calls;
  while (!is_answered && clock.SteadyNow() - silent_from < 10 * kSlack) {
    calls.push_back(
        parts->Call()
            .then([&](bool has_answer) { is_answered |= has_answer; })
            .eagerlyEvaluate(nullptr));
    parts->Wait(kInterval);
  }
  const Milliseconds took = clock.SteadyNow() - silent_from;
  RecordProperty("detection_ms", static_cast<int>(took.count()));
  EXPECT_GE(took, kLimit);
  EXPECT_LT(took, kLimit + 2 * kInterval + kSlack);
  EXPECT_EQ(parts->relay->accepted(), 2U);
  calls.clear();
  // The silent connection must be closed.
  for (int count = 0; count < 100 && parts->relay->open() > 1; ++count) {
    parts->Wait(kInterval);
  }
  EXPECT_EQ(parts->relay->open(), 1U);
}

TEST(SilenceTest, ManyCallsOnASilentConnectionShareTheNextOne) {
  constexpr std::size_t kCalls = 200;
  auto parts = std::make_unique<Parts>();
  ASSERT_TRUE(parts->Call().wait(parts->io.waitScope));
  parts->relay->SilenceOpen();
  for (const bool is_answered : {false, true}) {
    std::vector<kj::Promise<bool>> calls;
    for (std::size_t count = 0; count < kCalls; ++count) {
      calls.push_back(parts->Call());
    }
    for (kj::Promise<bool>& call : calls) {
      EXPECT_EQ(call.wait(parts->io.waitScope), is_answered);
    }
  }
  EXPECT_EQ(parts->relay->accepted(), 2U);
}

}  // namespace
}  // namespace sumac::rpc
