// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_HTTP_SERVER_H_
#define LIBRARIES_HTTP_HTTP_SERVER_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/base/result_code.h"
#include "libraries/base/time.h"

namespace sumac::http {

// Limits of one listening door.
struct ServerSettings {
  // IP:PORT.
  std::string address;
  // Connections served at once; further ones wait in the listening queue.
  int most_connections = 512;
  // A connection without a request for this long is closed.
  Milliseconds idle_time{15'000};
  // A caller that sends or reads this slowly is cut off.
  Milliseconds io_time{10'000};
};

// One door: a POCO HTTP server, with a thread for each open connection.
class HttpServer {
 public:
  using Handler = std::function<void(Poco::Net::HTTPServerRequest&,
                                     Poco::Net::HTTPServerResponse&)>;

  // Binds and starts; the error is kSettingsInvalid when the address can't be
  // bound.
  static absl::StatusOr<std::unique_ptr<HttpServer>> Create(
      const ServerSettings& settings,
      Handler handler);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Stops listening and waits until the requests in hand are answered.
  void Stop();

  // Connections open now.
  int CountConnections() const;

 private:
  HttpServer(const ServerSettings& settings, Handler handler);

  std::unique_ptr<Poco::ThreadPool> threads;
  std::unique_ptr<Poco::Net::HTTPServer> server;
};

// Reads a request's body. The error is kBadRequest when the body is cut short
// or of unknown length, kBodyTooLarge when it is longer than `most_bytes`.
absl::StatusOr<std::string> ReadRequestBody(
    Poco::Net::HTTPServerRequest& request,
    std::uint64_t most_bytes);

// Sends a whole answer.
void SendAnswer(Poco::Net::HTTPServerResponse& response,
                int status,
                const std::string& content_type,
                const std::string& body);

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_HTTP_SERVER_H_
