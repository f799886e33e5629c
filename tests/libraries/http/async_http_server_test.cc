// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/async_http_server.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <string>

#include "tests/stand_ins/kernel_connections.h"

namespace sumac::http {
namespace {

constexpr const char* kAddress = "127.0.7.39:18739";
// The same as the kernel writes it.
constexpr const char* kKernelAddress = "2707007F:4933";

TEST(AsyncDoorTest, ACallerThatFallsSilentWithinItsBodyIsKeptForGood) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  AsyncHttpServer door(io.provider->getTimer(),
                       DoorSettings{.address = kAddress},
                       [](const ServerRequest&) { return ServerReply{}; });
  door.Listen(io.provider->getNetwork()).wait(io.waitScope);
  auto stream = io.provider->getNetwork()
                    .parseAddress(kAddress)
                    .wait(io.waitScope)
                    ->connect()
                    .wait(io.waitScope);
  const std::string head =
      "POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n{";
  stream->write(head.data(), head.size()).wait(io.waitScope);
  io.provider->getTimer().afterDelay(50 * kj::MILLISECONDS).wait(io.waitScope);
  const std::string line = stand_ins::FindConnection(kKernelAddress);
  ASSERT_FALSE(line.empty());
  EXPECT_NE(line.find(stand_ins::kProbeTimer), std::string::npos) << line;
}

}  // namespace
}  // namespace sumac::http
