// SPDX-License-Identifier: Apache-2.0
#include "libraries/rpc/rpc_server.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <string>

#include "libraries/wire/generated/peer.capnp.h"
#include "tests/stand_ins/kernel_connections.h"

namespace sumac::rpc {
namespace {

constexpr const char* kAddress = "127.0.7.56:18756";
// The address above in the notation of /proc/net/tcp.
constexpr const char* kKernelAddress = "3807007F:4944";

class QuietPeer final : public wire::Peer::Server {};

// If another process is lost without closing its connections, they would
// otherwise stay open here for ever, since this side sends nothing over an idle
// connection.
TEST(RpcServerTest, ConnectionsOfOthersAreProbedWhileTheyAreIdle) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  auto server = RpcServer::Create(io, kAddress, kj::heap<QuietPeer>());
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

}  // namespace
}  // namespace sumac::rpc
