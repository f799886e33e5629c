// SPDX-License-Identifier: Apache-2.0
#include "libraries/rpc/rpc_server.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <memory>
#include <string>
#include <vector>

#include "libraries/wire/generated/peer.capnp.h"
#include "tests/stand_ins/kernel_connections.h"
#include "tests/stand_ins/taken_descriptors.h"

namespace sumac::rpc {
namespace {

constexpr const char* kAddress = "127.0.7.56:18756";
// The address above in the notation of /proc/net/tcp.
constexpr const char* kKernelAddress = "3807007F:4944";

constexpr std::size_t kManyConnections = 100;
constexpr auto kAnswerTime = 5 * kj::SECONDS;

class QuietPeer final : public wire::Peer::Server {};

// If another process is lost without closing its connections, they would
// otherwise stay open here for ever, since this side sends nothing over an idle
// connection.
TEST(RpcServerTest, ConnectionsOfOthersAreProbedWhileTheyAreIdle) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  auto server =
      RpcServer::Create(io, kAddress, kj::heap<QuietPeer>(), kManyConnections);
  ASSERT_TRUE(server.ok()) << server.status();
  auto stream = io.provider->getNetwork()
                    .parseAddress(kAddress)
                    .wait(io.waitScope)
                    ->connect()
                    .wait(io.waitScope);
  io.provider->getTimer().afterDelay(50 * kj::MILLISECONDS).wait(io.waitScope);
  const std::string line = stand_ins::FindConnection(kKernelAddress);
  ASSERT_FALSE(line.empty());
  EXPECT_NE(line.find(stand_ins::kProbeTimer), std::string::npos) << line;
}

// A server and connections to it.
struct Parts {
  explicit Parts(std::size_t max_connections)
      : io(kj::setupAsyncIo()),
        server(RpcServer::Create(this->io,
                                 kAddress,
                                 kj::heap<QuietPeer>(),
                                 max_connections)
                   .value()) {}

  kj::Own<kj::AsyncIoStream> Connect() {
    return this->io.provider->getNetwork()
        .parseAddress(kAddress)
        .wait(this->io.waitScope)
        ->connect()
        .wait(this->io.waitScope);
  }
  void Pause() {
    this->io.provider->getTimer()
        .afterDelay(200 * kj::MILLISECONDS)
        .wait(this->io.waitScope);
  }
  // Returns true if the server answers a call. QuietPeer answers that it does
  // not know the method.
  bool IsAnswered(capnp::TwoPartyClient& client) {
    return client.bootstrap()
        .castAs<wire::Peer>()
        .leaderRequest()
        .send()
        .then([](auto&&) { return true; })
        .exclusiveJoin(
            this->io.provider->getTimer().afterDelay(kAnswerTime).then([] {
              return false;
            }))
        .catch_([](kj::Exception&& error) {
          return error.getType() == kj::Exception::Type::UNIMPLEMENTED;
        })
        .wait(this->io.waitScope);
  }

  kj::AsyncIoContext io;
  std::unique_ptr<RpcServer> server;
};

// Connections without a call took all descriptors of the process, also those of
// its disk.
TEST(RpcServerTest, SilentConnectionsMakeRoomForOthers) {
  constexpr std::size_t kMaxConnections = 4;
  auto parts = std::make_unique<Parts>(kMaxConnections);
  auto first_stream = parts->Connect();
  capnp::TwoPartyClient first(*first_stream);
  std::vector<kj::Own<kj::AsyncIoStream>> silent;
  for (int round = 0; round < 10; ++round) {
    EXPECT_TRUE(parts->IsAnswered(first)) << round;
    silent.push_back(parts->Connect());
    silent.push_back(parts->Connect());
    parts->Pause();
    EXPECT_LE(parts->server->connections().open(), kMaxConnections);
  }
  auto last_stream = parts->Connect();
  capnp::TwoPartyClient last(*last_stream);
  EXPECT_TRUE(parts->IsAnswered(last));
}

// After an accept without a free descriptor, the server took no connection any
// more.
TEST(RpcServerTest, FailedAcceptsDoNotEndTheServer) {
  auto parts = std::make_unique<Parts>(kManyConnections);
  stand_ins::TakenDescriptors taken;
  // One for the client's side, and none for the server's.
  taken.ReturnOne();
  const auto unaccepted = parts->Connect();
  parts->Pause();
  taken.ReturnAll();
  auto stream = parts->Connect();
  capnp::TwoPartyClient client(*stream);
  EXPECT_TRUE(parts->IsAnswered(client));
}

}  // namespace
}  // namespace sumac::rpc
