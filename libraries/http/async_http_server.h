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

// A request that a door has read whole.
struct ServerRequest {
  kj::HttpMethod method = kj::HttpMethod::GET;
  // The path with its query, as sent.
  std::string path;
  std::string host;
  // The headers that the door was told to look out for, where present.
  std::map<std::string, std::string> headers;
  std::string body;
};

// The answer to one request.
struct ServerReply {
  std::uint32_t status = 200;
  // Empty for none.
  std::string body;
  const char* content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
};

// What a door is made from.
struct DoorSettings {
  // Where it listens, as IP:PORT.
  std::string address;
  // A longer body gets 413 and its connection is closed.
  std::uint64_t most_body_bytes = 1U << 20;
  // A request's headers must be there this long after its first byte.
  Milliseconds header_time{3'000};
  // A connection without a request is closed after this.
  Milliseconds idle_time{15'000};
  // Names of headers that requests are read for.
  std::vector<std::string> headers;
  // Connections that may be open at once; 0 for any number. For a further one,
  // the one that has been idle for the longest is closed; while none is idle,
  // it is answered that it was refused.
  std::size_t most_connections = 0;
};

// An HTTP/1.1 server on the event loop: one handler for all requests, many
// connections, no thread of its own.
class AsyncHttpServer : private kj::HttpServerCallbacks,
                        private kj::TaskSet::ErrorHandler {
 public:
  using Handler = std::function<kj::Promise<ServerReply>(ServerRequest)>;

  AsyncHttpServer(kj::Timer& timer, DoorSettings settings, Handler handler);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer&) = delete;
  AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

  // Starts to listen; the promise fails with kj::Exception if it can't.
  kj::Promise<void> Listen(kj::Network& network);

  // From now on every answer asks its connection to close.
  void CloseAfterAnswers() { this->is_closing = true; }

  // Stops listening and ends once all requests in hand are answered.
  kj::Promise<void> Drain();

  std::uint64_t open_requests() const { return this->open_count; }
  // The connections that are open, how many were closed for others, and how
  // many were refused.
  const ConnectionBudget& connections() const { return this->budget; }

 private:
  using Response = kj::HttpService::Response;
  class Session;

  kj::Promise<void> AcceptLoop();
  kj::Promise<void> AwaitRoom();
  void Serve(kj::Own<kj::AsyncIoStream> stream);
  void End(std::uint64_t session);
  kj::Promise<void> Answer(kj::HttpMethod method,
                           kj::StringPtr url,
                           const kj::HttpHeaders& headers,
                           kj::AsyncInputStream& request_body,
                           Response& response);
  bool shouldClose() override { return this->is_closing; }
  void taskFailed(kj::Exception&& exception) override;
  kj::Promise<void> Reply(Response& response, const ServerReply& reply);

  kj::Timer& timer;
  DoorSettings settings;
  Handler handler;
  ConnectionBudget budget;
  std::map<std::string, kj::HttpHeaderId> header_ids;
  kj::Own<kj::HttpHeaderTable> header_table;
  kj::Own<kj::HttpServer> server;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Maybe<kj::Promise<void>> listening;
  // By number. The server calls the newest one's service.
  std::map<std::uint64_t, kj::Own<Session>> sessions;
  std::uint64_t next_session = 1;
  // Connections beyond the budget that are about to be refused.
  std::size_t refusing = 0;
  bool is_closing = false;
  std::uint64_t open_count = 0;
  kj::TaskSet tasks;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_ASYNC_HTTP_SERVER_H_
