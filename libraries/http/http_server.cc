// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>
#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/log/json_log.h"

namespace sumac::http {
namespace {

constexpr std::size_t kBufferBytes = 16'384;
constexpr int kListenBacklog = 512;
// The server is crowded when more than this fraction (three quarters) of its
// connections is open.
constexpr int kCrowdedNumerator = 3;
constexpr int kCrowdedDenominator = 4;
// The stack size of the connection threads. Each connection has a thread, so a
// small stack keeps many idle connections cheap.
constexpr int kThreadStackBytes = 256 * 1024;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1'000;

Poco::Timespan ToTimespan(Milliseconds time) {
  return Poco::Timespan(time.count() * kMicrosecondsPerMillisecond);
}

// Passes each request to the server's handler function.
class FunctionHandler : public Poco::Net::HTTPRequestHandler {
 public:
  FunctionHandler(const HttpServer::Handler& handler, bool is_crowded)
      : handler(handler), is_crowded(is_crowded) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    // An idle connection occupies a thread. While few threads are left, each
    // connection is closed after its answer, so that waiting connections are
    // accepted.
    if (this->is_crowded) {
      response.setKeepAlive(false);
    }
    try {
      this->handler(request, response);
    } catch (const Poco::Exception& error) {
      // The peer has disconnected, so no answer can be sent.
      LogEvent(LogLevel::kDebug, "connection-lost",
               {{"detail", error.displayText()}});
      response.setKeepAlive(false);
    }
  }

 private:
  const HttpServer::Handler& handler;
  bool is_crowded;
};

class FunctionHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  FunctionHandlerFactory(HttpServer::Handler handler,
                         std::function<bool()> is_crowded)
      : handler(std::move(handler)), is_crowded(std::move(is_crowded)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new FunctionHandler(this->handler, this->is_crowded());
  }

 private:
  HttpServer::Handler handler;
  std::function<bool()> is_crowded;
};

}  // namespace

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::Create(
    const ServerSettings& settings,
    Handler handler) {
  try {
    return std::unique_ptr<HttpServer>(
        new HttpServer(settings, std::move(handler)));
  } catch (const Poco::Exception& error) {
    return MakeError(ResultCode::kSettingsInvalid,
                     StrCat("can't listen on ", settings.address, ": ",
                            error.displayText()));
  }
}

HttpServer::HttpServer(const ServerSettings& settings, Handler handler)
    : threads(
          std::make_unique<Poco::ThreadPool>(2, settings.max_connections + 1)) {
  this->threads->setStackSize(kThreadStackBytes);
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress(settings.address), true, false);
  socket.listen(kListenBacklog);
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(settings.max_connections);
  params->setMaxQueued(settings.max_connections);
  params->setKeepAlive(true);
  params->setMaxKeepAliveRequests(0);
  params->setKeepAliveTimeout(ToTimespan(settings.idle_time));
  params->setTimeout(ToTimespan(settings.io_time));
  Poco::Net::HTTPRequestHandlerFactory::Ptr factory =
      new FunctionHandlerFactory(
          std::move(handler), [this, max_open = settings.max_connections] {
            return this->server->currentConnections() * kCrowdedDenominator >
                   max_open * kCrowdedNumerator;
          });
  this->server = std::make_unique<Poco::Net::HTTPServer>(
      factory, *this->threads, socket, params);
  this->server->start();
}

HttpServer::~HttpServer() {
  this->Stop();
}

void HttpServer::Stop() {
  this->server->stopAll(false);
  this->threads->joinAll();
}

int HttpServer::CountConnections() const {
  return this->server->currentConnections();
}

absl::StatusOr<std::string> ReadRequestBody(
    Poco::Net::HTTPServerRequest& request,
    std::uint64_t max_bytes) {
  if (!request.hasContentLength()) {
    if (request.getChunkedTransferEncoding()) {
      return MakeError(ResultCode::kBadRequest,
                       "the body must declare a Content-Length");
    }
    return std::string();
  }
  const auto length = static_cast<std::uint64_t>(request.getContentLength64());
  if (length > max_bytes) {
    return MakeError(
        ResultCode::kBodyTooLarge,
        StrCat("the body has ", length, " bytes; ", max_bytes, " are allowed"));
  }
  std::string body;
  std::array<char, kBufferBytes> buffer{};
  while (body.size() < length) {
    request.stream().read(buffer.data(),
                          static_cast<std::streamsize>(std::min<std::uint64_t>(
                              buffer.size(), length - body.size())));
    if (request.stream().gcount() <= 0) {
      return MakeError(ResultCode::kBadRequest,
                       StrCat("the body ended after ", body.size(), " of ",
                              length, " bytes"));
    }
    body.append(buffer.data(),
                static_cast<std::size_t>(request.stream().gcount()));
  }
  return body;
}

void SendAnswer(Poco::Net::HTTPServerResponse& response,
                int status,
                const std::string& content_type,
                const std::string& body) {
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  if (!content_type.empty()) {
    response.setContentType(content_type);
  }
  response.sendBuffer(body.data(), body.size());
}

}  // namespace sumac::http
