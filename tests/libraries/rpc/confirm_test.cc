// SPDX-License-Identifier: Apache-2.0
#include <capnp/rpc-twoparty.h>
#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <memory>
#include <string>

#include "libraries/base/kj_time.h"
#include "libraries/base/text.h"
#include "libraries/rpc/call.h"
#include "libraries/rpc/channel.h"
#include "libraries/wire/generated/peer.capnp.h"
#include "tests/stand_ins/fault_proxy.h"

namespace sumac::rpc {
namespace {

constexpr Milliseconds kLimit{1'000};
constexpr Milliseconds kPollInterval{10};
// Longer than a peer counts as fresh.
constexpr Milliseconds kQuietTime{150};
// The number of polls before a test gives up.
constexpr int kMaxPolls = 1'000;

// Counts the requests that it receives, and answers all but those of which
// `holds` is true.
class CountingPeer final : public wire::Peer::Server {
 public:
  CountingPeer(int& asked, const bool& holds) : asked(asked), holds(holds) {}

  kj::Promise<void> ask(AskContext /*context*/) override {
    ++this->asked;
    return this->holds ? kj::Promise<void>(kj::NEVER_DONE)
                       : kj::Promise<void>(kj::READY_NOW);
  }
  kj::Promise<void> leader(LeaderContext /*context*/) override {
    return kj::READY_NOW;
  }

 private:
  int& asked;
  const bool& holds;
};

// A channel to a peer through a proxy that injects faults.
class ConfirmTest : public testing::Test {
 protected:
  ConfirmTest()
      : io(kj::setupAsyncIo()),
        server(kj::heap<CountingPeer>(this->asked, this->holds)) {
    kj::Network& network = this->io.provider->getNetwork();
    auto address = network.parseAddress("127.0.0.1").wait(this->io.waitScope);
    this->receiver = address->listen();
    this->listening =
        this->server.listen(*this->receiver).eagerlyEvaluate(nullptr);
    // A free port for the proxy.
    const unsigned port = address->listen()->getPort();
    const std::string proxy_address = StrCat("127.0.0.1:", port);
    this->proxy = std::make_unique<stand_ins::FaultProxy>(
        network, this->io.provider->getTimer(), proxy_address,
        StrCat("127.0.0.1:", this->receiver->getPort()));
    this->accepting = this->proxy->Listen().eagerlyEvaluate(nullptr);
    this->channel = std::make_unique<Channel>(
        network, this->io.provider->getTimer(), proxy_address);
    this->Wait(kPollInterval);
  }

  // NOTE: The destructors of kj's members may throw; that of a test must not.
  ~ConfirmTest() noexcept override {}

  // Submits a request. The code is kUnreachable if the call failed after it may
  // have been written.
  ResultCode Submit(Milliseconds limit) {
    return ConfirmAndCall(
               *this->channel, limit,
               [this] { return this->channel->Get<wire::Peer>().askRequest(); })
        .catch_([](kj::Exception&&) {
          return fleet::Answer{.code = ResultCode::kUnreachable};
        })
        .wait(this->io.waitScope)
        .code;
  }

  void Apply(const std::string& fault) {
    ASSERT_TRUE(this->proxy->Apply(fault, Milliseconds(0)).ok());
    this->Wait(kPollInterval);
  }

  void Wait(Milliseconds time) {
    this->io.provider->getTimer()
        .afterDelay(ToKj(time))
        .wait(this->io.waitScope);
  }

  int asked = 0;
  bool holds = false;
  kj::AsyncIoContext io;
  capnp::TwoPartyServer server;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Promise<void> listening = nullptr;
  std::unique_ptr<stand_ins::FaultProxy> proxy;
  kj::Promise<void> accepting = nullptr;
  std::unique_ptr<Channel> channel;
};

TEST_F(ConfirmTest, APeerThatAnswersGetsTheRequest) {
  EXPECT_EQ(this->Submit(kLimit), ResultCode::kOk);
  this->Wait(kQuietTime);
  EXPECT_EQ(this->Submit(kLimit), ResultCode::kOk);
  EXPECT_EQ(this->asked, 2);
}

// Guards against callers who are told that the outcome of their request is
// unknown although no connection was ever open.
TEST_F(ConfirmTest, ARefusedConnectionMeansThatNothingWasWritten) {
  this->Apply("refuse");
  EXPECT_EQ(this->Submit(kLimit), ResultCode::kNoControllerInTime);
  EXPECT_EQ(this->Submit(kLimit), ResultCode::kNoControllerInTime);
  this->Apply("pass");
  while (this->Submit(kLimit) != ResultCode::kOk) {
    this->Wait(kPollInterval);
  }
  EXPECT_EQ(this->asked, 1);
}

// The same right after an answer, when no probe is sent.
TEST_F(ConfirmTest, ARefusedReconnectionMeansThatNothingWasWritten) {
  ASSERT_EQ(this->Submit(kLimit), ResultCode::kOk);
  this->Apply("refuse");
  this->Apply("reset");
  EXPECT_EQ(this->Submit(kLimit), ResultCode::kNoControllerInTime);
  EXPECT_EQ(this->asked, 1);
}

// Guards against requests that are written into a connection that has been
// silent for seconds, so that their outcome is unknown.
TEST_F(ConfirmTest, NothingIsWrittenToASilentPeer) {
  ASSERT_EQ(this->Submit(kLimit), ResultCode::kOk);
  this->Apply("cut-to");
  this->Wait(kQuietTime);
  EXPECT_EQ(this->Submit(kLimit), ResultCode::kNoControllerInTime);
  this->Apply("pass");
  this->Wait(kQuietTime);
  // What was not written must not arrive later.
  EXPECT_EQ(this->asked, 1);
  EXPECT_EQ(this->Submit(kLimit), ResultCode::kOk);
}

TEST_F(ConfirmTest, APeerThatOnlyReceivesIsSilentToo) {
  ASSERT_EQ(this->Submit(kLimit), ResultCode::kOk);
  this->Apply("cut-from");
  this->Wait(kQuietTime);
  EXPECT_EQ(this->Submit(kLimit), ResultCode::kNoControllerInTime);
  EXPECT_EQ(this->asked, 1);
}

// A process with nobody to ask refuses at once.
TEST_F(ConfirmTest, AKnownSilenceNeedsNoFurtherWait) {
  ASSERT_EQ(this->Submit(kLimit), ResultCode::kOk);
  this->Apply("cut-to");
  this->Wait(kQuietTime);
  EXPECT_FALSE(this->channel->Confirm(kLimit).wait(this->io.waitScope));
  // While the first probe is open, and while a later one is.
  for (int count = 0; count < 2; ++count) {
    auto next = this->channel->Confirm(kLimit);
    EXPECT_TRUE(next.poll(this->io.waitScope));
    EXPECT_FALSE(next.wait(this->io.waitScope));
    this->Wait(kLimit);
  }
}

TEST_F(ConfirmTest, ASilentPeerThatAnswersAgainIsNoticed) {
  ASSERT_EQ(this->Submit(kLimit), ResultCode::kOk);
  this->Apply("silence");
  this->Wait(kQuietTime);
  EXPECT_EQ(this->Submit(kLimit), ResultCode::kNoControllerInTime);
  int polls = 0;
  while (this->Submit(kLimit) != ResultCode::kOk && ++polls < kMaxPolls) {
    this->Wait(kPollInterval);
  }
  EXPECT_LT(polls, kMaxPolls);
  EXPECT_EQ(this->asked, 2);
}

// The peer has the request, so it must not be said that it was not written.
TEST_F(ConfirmTest, AWrittenRequestWithoutAnAnswerIsNotSaidUnwritten) {
  ASSERT_EQ(this->Submit(kLimit), ResultCode::kOk);
  this->holds = true;
  EXPECT_EQ(this->Submit(kLimit), ResultCode::kUnreachable);
  EXPECT_EQ(this->asked, 2);
}

TEST_F(ConfirmTest, AWrittenRequestWhoseConnectionIsResetIsNotSaidUnwritten) {
  ASSERT_EQ(this->Submit(kLimit), ResultCode::kOk);
  this->holds = true;
  auto submitted =
      ConfirmAndCall(
          *this->channel, 10 * kLimit,
          [this] { return this->channel->Get<wire::Peer>().askRequest(); })
          .then([](const fleet::Answer& answer) { return answer.code; },
                [](kj::Exception&&) { return ResultCode::kUnreachable; })
          .eagerlyEvaluate(nullptr);
  for (int polls = 0; this->asked < 2 && polls < kMaxPolls; ++polls) {
    this->Wait(kPollInterval);
  }
  this->Apply("refuse");
  this->Apply("reset");
  EXPECT_EQ(submitted.wait(this->io.waitScope), ResultCode::kUnreachable);
}

// The peer closed an idle connection. The next request opens another, instead
// of failing on the one that is gone.
TEST_F(ConfirmTest, ARequestAfterAResetUsesANewConnection) {
  ASSERT_EQ(this->Submit(kLimit), ResultCode::kOk);
  this->Apply("reset");
  EXPECT_EQ(this->Submit(kLimit), ResultCode::kOk);
  EXPECT_EQ(this->asked, 2);
}

}  // namespace
}  // namespace sumac::rpc
