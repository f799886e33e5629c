// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/http_server.h"

#include <Poco/ErrorHandler.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <exception>
#include <istream>
#include <optional>
#include <ostream>
#include <string_view>
#include <utility>

#include "absl/strings/match.h"
#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/http/server_message.h"
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
// The maximum time from the end of a request's head to the end of its body. A
// single read is limited by ServerSettings::io_time.
constexpr Milliseconds kMaxBodyTime{15'000};
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
    } catch (const Poco::IOException& error) {
      LogLostConnection(response, error);
    } catch (const Poco::TimeoutException& error) {
      LogLostConnection(response, error);
    } catch (const std::exception& error) {
      LogEvent(LogLevel::kError, "request-failed",
               {{"path", request.getURI()}, {"error", error.what()}});
      AnswerInternalError(response);
    }
  }

 private:
  // The peer has disconnected, so no answer can be sent.
  static void LogLostConnection(Poco::Net::HTTPServerResponse& response,
                                const Poco::Exception& error) {
    LogEvent(LogLevel::kDebug, "connection-lost",
             {{"detail", error.displayText()}});
    response.setKeepAlive(false);
  }
  static void AnswerInternalError(Poco::Net::HTTPServerResponse& response) {
    response.setKeepAlive(false);
    if (response.sent()) {
      return;
    }
    try {
      const ServerReply reply = ErrorReply(ResultCode::kInternal);
      SendAnswer(response, static_cast<int>(reply.status), reply.content_type,
                 reply.body);
    } catch (const Poco::Exception& error) {
      LogLostConnection(response, error);
    }
  }

  const HttpServer::Handler& handler;
  bool is_crowded;
};

// Logs the errors that end a connection outside of its handlers, such as a head
// that the library can't read. There is one for the whole process.
class ConnectionErrorLog : public Poco::ErrorHandler {
 public:
  static void Install() {
    static ConnectionErrorLog log;
    Poco::ErrorHandler::set(&log);
  }

  void exception(const Poco::Exception& error) override {
    // A connection that was lost is no error.
    if (dynamic_cast<const Poco::IOException*>(&error) == nullptr &&
        dynamic_cast<const Poco::TimeoutException*>(&error) == nullptr) {
      Log(error.displayText());
    }
  }
  void exception(const std::exception& error) override { Log(error.what()); }
  void exception() override { Log("unknown"); }

 private:
  static void Log(const std::string& error) {
    LogEvent(LogLevel::kWarning, "request-unreadable", {{"error", error}});
  }
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

// Returns the declared length of a request's body. The error is kBadRequest if
// it is not one whole number.
absl::StatusOr<std::uint64_t> ReadDeclaredLength(
    const Poco::Net::HTTPServerRequest& request) {
  std::optional<std::uint64_t> length;
  for (const auto& [name, value] : request) {
    if (!absl::EqualsIgnoreCase(name, "Content-Length")) {
      continue;
    }
    std::uint64_t number = 0;
    if (length || !ParseNumber(std::string_view(value), &number)) {
      return MakeError(ResultCode::kBadRequest,
                       "the Content-Length is not a number, or given twice");
    }
    length = number;
  }
  return length.value_or(0);
}

}  // namespace

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::Create(
    const ServerSettings& settings,
    Handler handler) {
  ConnectionErrorLog::Install();
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
  if (request.getChunkedTransferEncoding()) {
    return MakeError(ResultCode::kBadRequest,
                     "the body must declare a Content-Length");
  }
  const std::uint64_t length = TRY(ReadDeclaredLength(request));
  if (length > max_bytes) {
    return MakeError(
        ResultCode::kBodyTooLarge,
        StrCat("the body has ", length, " bytes; ", max_bytes, " are allowed"));
  }
  std::string body;
  std::array<char, kBufferBytes> buffer{};
  const SystemClock clock;
  const SteadyTime began_at = clock.SteadyNow();
  while (body.size() < length) {
    if (clock.SteadyNow() - began_at > kMaxBodyTime) {
      return MakeError(ResultCode::kBodyTooSlow, "the body is incomplete");
    }
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
