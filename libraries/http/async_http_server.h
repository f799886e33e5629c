// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_ASYNC_HTTP_SERVER_H_
#define LIBRARIES_HTTP_ASYNC_HTTP_SERVER_H_

#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/compat/http.h>
#include <kj/timer.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/http/connection_budget.h"

namespace sumac::http {

// A request that was read completely, with its body.
struct ServerRequest {
  kj::HttpMethod method = kj::HttpMethod::GET;
  // The path with its query, as sent.
  std::string path;
  std::string host;
  // The present ones of the headers listed in AsyncServerSettings::headers.
  std::map<std::string, std::string> headers;
  std::string body;
  // Returns false once the client has closed its side of the connection. A
  // client that ends only its sending side, and would still read the answer,
  // counts as gone too: the two can't be told apart here. May be called until
  // the request is answered or its handler's promise is destroyed, as it is
  // when the connection was reset.
  std::function<bool()> is_awaited;
};

// The answer to one request.
struct ServerReply {
  std::uint32_t status = 200;
  // The body; empty for none.
  std::string body;
  const char* content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
};

// The settings of a listener.
struct AsyncServerSettings {
  // The address to listen on, as IP:PORT.
  std::string address;
  // The maximum size of a request's body. A larger body is answered with 413
  // and its connection is closed.
  std::uint64_t max_body_bytes = 1U << 20;
  // The maximum time from the first byte of a request to the end of its
  // headers.
  Milliseconds header_time{3'000};
  // The time after which a connection without a request is closed.
  Milliseconds idle_time{15'000};
  // The names of the headers that are copied into ServerRequest::headers.
  std::vector<std::string> headers;
  // The maximum number of open connections; 0 for no limit. A further
  // connection replaces the one that has been idle for the longest; if none is
  // idle, its request is answered with a refusal.
  std::size_t max_connections = 0;
};

// An HTTP/1.1 server on the event loop. It serves many connections with one
// handler for all requests, and has no threads of its own.
class AsyncHttpServer : private kj::HttpServerCallbacks,
                        private kj::TaskSet::ErrorHandler {
 public:
  using Handler = std::function<kj::Promise<ServerReply>(ServerRequest)>;

  AsyncHttpServer(kj::Timer& timer,
                  AsyncServerSettings settings,
                  Handler handler);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer&) = delete;
  AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

  // Starts to listen. The promise fails with kj::Exception if that is not
  // possible.
  kj::Promise<void> Listen(kj::Network& network);

  // Makes every answer from now on ask the client to close the connection.
  void CloseAfterAnswers() { this->is_closing = true; }

  // Stops listening. The promise is fulfilled once all requests in progress are
  // answered.
  kj::Promise<void> Drain();

  std::uint64_t open_requests() const { return this->open_count; }
  // Returns the number of open connections, of those closed for others, and of
  // those refused.
  const ConnectionBudget& connections() const { return this->budget; }

 private:
  using Response = kj::HttpService::Response;
  class Session;

  kj::Promise<void> AcceptLoop();
  kj::Promise<void> AwaitRefusalSlot();
  void Serve(kj::Own<kj::AsyncIoStream> stream);
  void CloseSession(std::uint64_t session);
  kj::Promise<void> Answer(const Session& session,
                           kj::HttpMethod method,
                           kj::StringPtr url,
                           const kj::HttpHeaders& headers,
                           kj::AsyncInputStream& request_body,
                           Response& response);
  bool shouldClose() override { return this->is_closing; }
  void taskFailed(kj::Exception&& exception) override;
  kj::Promise<void> Reply(Response& response, const ServerReply& reply);

  kj::Timer& timer;
  AsyncServerSettings settings;
  Handler handler;
  ConnectionBudget budget;
  std::map<std::string, kj::HttpHeaderId> header_ids;
  kj::Own<kj::HttpHeaderTable> header_table;
  kj::Own<kj::HttpServer> server;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Maybe<kj::Promise<void>> listening;
  // The sessions by number. The server uses the newest one as the service of a
  // connection that was just accepted.
  std::map<std::uint64_t, kj::Own<Session>> sessions;
  std::uint64_t next_session = 1;
  // The number of open connections beyond the budget, which are being refused.
  std::size_t open_refusals = 0;
  bool is_closing = false;
  std::uint64_t open_count = 0;
  kj::TaskSet tasks;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_ASYNC_HTTP_SERVER_H_
