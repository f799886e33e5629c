// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/http_server.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/text.h"

namespace sumac::http {
namespace {

using Session = std::unique_ptr<Poco::Net::HTTPClientSession>;

std::string FreeAddress() {
  return Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0))
      .address()
      .toString();
}

std::unique_ptr<HttpServer> Open(const std::string& address,
                                 HttpServer::Handler handler) {
  auto server =
      HttpServer::Create(ServerSettings{.address = address,
                                        .max_connections = 4,
                                        .idle_time = Milliseconds(600'000)},
                         std::move(handler));
  EXPECT_TRUE(server.ok()) << server.status();
  return *std::move(server);
}

std::string Ask(Session& session) {
  Poco::Net::HTTPRequest request("GET", "/", Poco::Net::HTTPMessage::HTTP_1_1);
  session->sendRequest(request);
  Poco::Net::HTTPResponse response;
  std::string body;
  Poco::StreamCopier::copyToString(session->receiveResponse(response), body);
  return body;
}

TEST(HttpServerTest, IdleConnectionsDoNotKeepNewOnesOut) {
  const std::string address = FreeAddress();
  const auto server = Open(address, [](auto& /*request*/, auto& response) {
    SendAnswer(response, 200, "text/plain", "hello");
  });
  // Twice as many as there are threads, each staying open after its answer.
  // Without room being made the fifth would wait for ten minutes.
  std::vector<Session> sessions;
  for (int number = 0; number < 8; ++number) {
    sessions.push_back(std::make_unique<Poco::Net::HTTPClientSession>(
        Poco::Net::SocketAddress(address)));
    sessions.back()->setKeepAlive(true);
    sessions.back()->setTimeout(Poco::Timespan(20, 0));
    EXPECT_EQ(Ask(sessions.back()), "hello") << number;
  }
}

TEST(HttpServerTest, ABodyThatIsCutShortIsNoRequest) {
  const std::string address = FreeAddress();
  std::atomic<int> whole = 0;
  std::atomic<int> cut = 0;
  const auto server = Open(address, [&](auto& request, auto& response) {
    const auto body = ReadRequestBody(request, 100);
    if (body.ok()) {
      ++whole;
    } else {
      ++cut;
      EXPECT_EQ(CodeOf(body.status()), ResultCode::kBadRequest);
    }
    response.setKeepAlive(false);
    SendAnswer(response, 200, "text/plain", "");
  });
  Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
  const std::string half =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhalf";
  socket.sendBytes(half.data(), static_cast<int>(half.size()));
  socket.shutdownSend();
  char byte = 0;
  socket.receiveBytes(&byte, 1);
  EXPECT_EQ(cut, 1);
  EXPECT_EQ(whole, 0);
}

TEST(HttpServerTest, AnAddressInUseIsANumberedError) {
  const Poco::Net::ServerSocket taken(Poco::Net::SocketAddress("127.0.0.1", 0));
  const auto server =
      HttpServer::Create(ServerSettings{.address = taken.address().toString()},
                         [](auto& /*request*/, auto& /*response*/) {});
  EXPECT_EQ(CodeOf(server.status()), ResultCode::kSettingsInvalid);
}

}  // namespace
}  // namespace sumac::http
