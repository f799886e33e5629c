// SPDX-License-Identifier: Apache-2.0
#include "libraries/rpc/rpc_server.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <string>

#include "libraries/wire/generated/peer.capnp.h"
#include "tests/stand_ins/kernel_connections.h"

namespace sumac::rpc {
namespace {

constexpr const char* kAddress = "127.0.7.34:18734";
// The same as the kernel writes it.
constexpr const char* kKernelAddress = "2207007F:492E";

class QuietPeer final : public wire::Peer::Server {};

// Another process was lost without a word. What it had opened here was kept for
// good, since nothing is ever sent over it from this side.
TEST(DoorTest, ConnectionsOfOthersAreProbedWhileTheyAreIdle) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  auto door = Door::Create(io, kAddress, kj::heap<QuietPeer>());
  ASSERT_TRUE(door.ok()) << door.status();
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
