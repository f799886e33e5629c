// SPDX-License-Identifier: Apache-2.0
#include "libraries/rpc/channel.h"

#include <capnp/rpc-twoparty.h>
#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/wire/generated/peer.capnp.h"

namespace sumac::rpc {
namespace {

constexpr Milliseconds kShort{30};
constexpr Milliseconds kLong{60'000};

// A peer that answers each request when the test fulfills its promise in
// `held`.
class HeldPeer final : public wire::Peer::Server {
 public:
  explicit HeldPeer(std::deque<kj::Own<kj::PromiseFulfiller<void>>>& held)
      : held(held) {}

  kj::Promise<void> ask(AskContext /*context*/) override {
    auto paf = kj::newPromiseAndFulfiller<void>();
    this->held.push_back(kj::mv(paf.fulfiller));
    return kj::mv(paf.promise);
  }

 private:
  std::deque<kj::Own<kj::PromiseFulfiller<void>>>& held;
};

class ChannelTest : public testing::Test {
 protected:
  ChannelTest() : io(kj::setupAsyncIo()), server(kj::heap<HeldPeer>(held)) {
    kj::Network& network = this->io.provider->getNetwork();
    auto address = network.parseAddress("127.0.0.1").wait(this->io.waitScope);
    this->receiver = address->listen();
    this->listening =
        this->server.listen(*this->receiver).eagerlyEvaluate(nullptr);
    this->channel.emplace(network, this->io.provider->getTimer(),
                          StrCat("127.0.0.1:", this->receiver->getPort()));
  }

  // NOTE: The destructors of kj's members may throw; that of a test must not.
  ~ChannelTest() noexcept override {}

  // Makes a call. The promise gives true if it was answered, false if it
  // failed.
  kj::Promise<bool> Call(Milliseconds limit) {
    auto request = this->channel->Get<wire::Peer>().askRequest();
    return this->channel
        ->Guard(limit, request.send().then([](auto&&) { return true; }))
        .catch_([](kj::Exception&&) { return false; });
  }

  // Waits until the peer has received `count` requests.
  void AwaitHeld(std::size_t count) {
    while (this->held.size() < count) {
      this->io.provider->getTimer()
          .afterDelay(1 * kj::MILLISECONDS)
          .wait(this->io.waitScope);
    }
  }

  kj::AsyncIoContext io;
  std::deque<kj::Own<kj::PromiseFulfiller<void>>> held;
  capnp::TwoPartyServer server;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Promise<void> listening = nullptr;
  std::optional<Channel> channel;
};

// The timeout of a slow read must not drop the connection and so leave the
// outcome of concurrent submissions unknown.
TEST_F(ChannelTest, ASlowCallAmongAnsweredOnesKeepsTheConnection) {
  auto slow = this->Call(kShort);
  this->AwaitHeld(1);
  auto waiting = this->Call(kLong);
  auto quick = this->Call(kLong);
  this->AwaitHeld(3);
  this->held[2]->fulfill();
  EXPECT_TRUE(quick.wait(this->io.waitScope));
  EXPECT_FALSE(slow.wait(this->io.waitScope));
  this->held[1]->fulfill();
  EXPECT_TRUE(waiting.wait(this->io.waitScope));
}

// A connection without any answer may be dead although it was never reset.
TEST_F(ChannelTest, ASilentConnectionIsReplaced) {
  auto slow = this->Call(kShort);
  auto waiting = this->Call(kLong);
  this->AwaitHeld(2);
  EXPECT_FALSE(slow.wait(this->io.waitScope));
  EXPECT_FALSE(waiting.wait(this->io.waitScope));
  auto next = this->Call(kLong);
  this->AwaitHeld(3);
  this->held[2]->fulfill();
  EXPECT_TRUE(next.wait(this->io.waitScope));
}

}  // namespace
}  // namespace sumac::rpc
