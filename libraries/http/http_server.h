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

// The address and the limits of one HttpServer.
struct ServerSettings {
  // The address to listen on, as IP:PORT.
  std::string address;
  // The maximum number of connections served at once; further ones wait in the
  // listen queue.
  int max_connections = 512;
  // The time after which a connection without a request is closed.
  Milliseconds idle_time{15'000};
  // The timeout of each read and write; a caller that is slower is
  // disconnected.
  Milliseconds io_time{10'000};
};

// A POCO HTTP server on one address, with a thread for each open connection.
class HttpServer {
 public:
  using Handler = std::function<void(Poco::Net::HTTPServerRequest&,
                                     Poco::Net::HTTPServerResponse&)>;

  // Binds the address and starts the server. The error is kSettingsInvalid if
  // the address can't be bound.
  static absl::StatusOr<std::unique_ptr<HttpServer>> Create(
      const ServerSettings& settings,
      Handler handler);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Stops listening and waits until the requests in progress are answered.
  void Stop();

  // Returns the number of open connections.
  int CountConnections() const;

 private:
  HttpServer(const ServerSettings& settings, Handler handler);

  std::unique_ptr<Poco::ThreadPool> threads;
  std::unique_ptr<Poco::Net::HTTPServer> server;
};

// Reads a request's body. The error is kBadRequest if the body is truncated or
// its length is not clear, kBodyTooLarge if it is longer than `max_bytes`, and
// kBodyTooSlow if it does not come in time.
absl::StatusOr<std::string> ReadRequestBody(
    Poco::Net::HTTPServerRequest& request,
    std::uint64_t max_bytes);

// Sends a complete answer.
void SendAnswer(Poco::Net::HTTPServerResponse& response,
                int status,
                const std::string& content_type,
                const std::string& body);

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_HTTP_SERVER_H_
