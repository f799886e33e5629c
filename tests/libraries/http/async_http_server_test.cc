// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/async_http_server.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>
#include <sys/socket.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "tests/stand_ins/kernel_connections.h"
#include "tests/stand_ins/taken_descriptors.h"

namespace sumac::http {
namespace {

constexpr const char* kAddress = "127.0.7.39:18739";
// The address above in the notation of /proc/net/tcp.
constexpr const char* kKernelAddress = "2707007F:4933";

TEST(AsyncHttpServerTest, AConnectionIsProbedWhileItsRequestBodyIsIncomplete) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  AsyncHttpServer server(io.provider->getTimer(),
                         AsyncServerSettings{.address = kAddress},
                         [](const ServerRequest&) { return ServerReply{}; });
  server.Listen(io.provider->getNetwork()).wait(io.waitScope);
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

// After two accepts in a row without a free descriptor, the server took no
// connection any more.
TEST(AsyncHttpServerTest, FailedAcceptsDoNotEndTheServer) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  AsyncHttpServer server(io.provider->getTimer(),
                         AsyncServerSettings{.address = kAddress},
                         [](const ServerRequest&) { return ServerReply{}; });
  server.Listen(io.provider->getNetwork()).wait(io.waitScope);
  const auto connect = [&io] {
    return io.provider->getNetwork()
        .parseAddress(kAddress)
        .wait(io.waitScope)
        ->connect()
        .wait(io.waitScope);
  };
  stand_ins::TakenDescriptors taken;
  taken.ReturnOne();
  const auto unaccepted = connect();
  io.provider->getTimer().afterDelay(200 * kj::MILLISECONDS).wait(io.waitScope);
  taken.ReturnAll();
  auto client = connect();
  const std::string_view request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  client->write(request.data(), request.size()).wait(io.waitScope);
  char first = 0;
  const std::size_t size =
      client->tryRead(&first, 1, 1)
          .exclusiveJoin(
              io.provider->getTimer().afterDelay(5 * kj::SECONDS).then([] {
                return std::size_t{0};
              }))
          .wait(io.waitScope);
  EXPECT_EQ(size, 1U);
}

// A server whose handler keeps the request unanswered, and one client of it.
class AwaitedRequestTest : public testing::Test {
 protected:
  AwaitedRequestTest()
      : io(kj::setupAsyncIo()),
        server(this->io.provider->getTimer(),
               AsyncServerSettings{.address = kAddress},
               [this](ServerRequest request) -> kj::Promise<ServerReply> {
                 this->is_awaited = std::move(request.is_awaited);
                 return kj::Promise<ServerReply>(kj::NEVER_DONE)
                     .attach(kj::defer([this] { this->is_dropped = true; }));
               }) {
    kj::Network& network = this->io.provider->getNetwork();
    this->server.Listen(network).wait(this->io.waitScope);
    this->client = network.parseAddress(kAddress)
                       .wait(this->io.waitScope)
                       ->connect()
                       .wait(this->io.waitScope);
    this->Write(
        "POST /evacuate/a HTTP/1.1\r\nHost: h\r\n"
        "Content-Length: 0\r\n\r\n");
  }
  // NOTE: Destructors of kj may throw, the destructor of a gtest fixture may
  // not.
  ~AwaitedRequestTest() noexcept override {}

  void Write(const std::string& text) {
    this->client->write(text.data(), text.size()).wait(this->io.waitScope);
    this->Pause();
  }
  void Pause() {
    this->io.provider->getTimer()
        .afterDelay(50 * kj::MILLISECONDS)
        .wait(this->io.waitScope);
  }

  kj::AsyncIoContext io;
  std::function<bool()> is_awaited;
  // Whether the work on the request was cancelled.
  bool is_dropped = false;
  AsyncHttpServer server;
  kj::Own<kj::AsyncIoStream> client;
};

TEST_F(AwaitedRequestTest, ARequestIsAwaitedWhileItsClientIsConnected) {
  ASSERT_TRUE(this->is_awaited);
  EXPECT_TRUE(this->is_awaited());
  this->Write("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(this->is_awaited());
}

TEST_F(AwaitedRequestTest, ARequestWhoseClientHasClosedItsSideIsNotAwaited) {
  this->client->shutdownWrite();
  this->Pause();
  EXPECT_FALSE(this->is_awaited());
}

// The client is gone although bytes of it are left to read.
TEST_F(AwaitedRequestTest, AClientThatSentMoreAndClosedDoesNotWait) {
  this->Write("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  this->client->shutdownWrite();
  this->Pause();
  EXPECT_FALSE(this->is_awaited());
}

TEST_F(AwaitedRequestTest, ARequestWhoseConnectionWasResetIsDropped) {
  const linger reset{.l_onoff = 1, .l_linger = 0};
  this->client->setsockopt(SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  this->client = nullptr;
  this->Pause();
  EXPECT_TRUE(this->is_dropped);
}

}  // namespace
}  // namespace sumac::http
