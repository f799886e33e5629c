// SPDX-License-Identifier: Apache-2.0
#include "libraries/rpc/door.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <fstream>
#include <sstream>
#include <string>

#include "libraries/wire/generated/peer.capnp.h"

namespace sumac::rpc {
namespace {

constexpr const char* kAddress = "127.0.7.34:18734";
// The same as the kernel writes it.
constexpr const char* kKernelAddress = "2207007F:492E";
constexpr const char* kEstablished = "01";
// The timer that a connection without anything unacknowledged has only if it is
// probed.
constexpr const char* kProbeTimer = "02:";

class QuietPeer final : public wire::Peer::Server {};

// The kernel's line about the door's side of its open connection; empty if
// there is none.
std::string FindConnection() {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    fields >> number >> local >> remote >> state;
    if (local == kKernelAddress && state == kEstablished) {
      return line;
    }
  }
  return "";
}

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
  const std::string line = FindConnection();
  ASSERT_FALSE(line.empty());
  EXPECT_NE(line.find(kProbeTimer), std::string::npos) << line;
}

}  // namespace
}  // namespace sumac::rpc
