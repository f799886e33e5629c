// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_SERVER_SESSION_H_
#define LIBRARIES_HTTP_SERVER_SESSION_H_

#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/compat/http.h>
#include <kj/timer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/base/connection_budget.h"
#include "libraries/base/result_code.h"
#include "libraries/http/async_server_settings.h"
#include "libraries/http/request_body.h"
#include "libraries/http/server_message.h"

namespace sumac::http {

// What all sessions of a listener share.
struct SessionContext {
  using Handler = std::function<kj::Promise<ServerReply>(ServerRequest)>;

  kj::Timer& timer;
  // Also holds the names of the headers, which the table only refers to.
  AsyncServerSettings settings;
  HeldBytes held_bytes;
  Handler handler;
  std::map<std::string, kj::HttpHeaderId> header_ids;
  kj::Own<kj::HttpHeaderTable> header_table;
  // True if each answer asks its client to close the connection.
  bool is_closing = false;
  // The number of requests in progress on all sessions.
  std::uint64_t open_requests = 0;
};

// One open connection of a listener. Requests that can't be read and requests
// whose handler fails are logged and answered with an error document of this
// project; the kj library's own answers contain the text of its exceptions,
// with addresses of the process.
class ServerSession : private kj::HttpService,
                      private kj::HttpServerErrorHandler,
                      private kj::HttpServerCallbacks {
 public:
  // Without a place in the budget, each request on the connection is answered
  // with a refusal. `close` is called when the budget wants the place of an
  // idle connection; it must destroy this object.
  ServerSession(SessionContext& context,
                kj::Own<kj::AsyncIoStream> stream,
                std::optional<ConnectionBudget::Place> place,
                std::function<void()> close);
  // Cancels a request in progress first, since its end marks the place as idle,
  // and `place` must still exist then.
  ~ServerSession() noexcept(false) { this->served = nullptr; }
  ServerSession(const ServerSession&) = delete;
  ServerSession& operator=(const ServerSession&) = delete;

  // Serves the connection and calls `on_end` when it has ended.
  void Start(std::function<void()> on_end);

  // Resolves when no request is in progress. No further request is read.
  kj::Promise<void> Drain() { return this->server.drain(); }

  bool is_refused() const { return !this->place.has_value(); }

 private:
  kj::Promise<void> request(kj::HttpMethod method,
                            kj::StringPtr url,
                            const kj::HttpHeaders& headers,
                            kj::AsyncInputStream& request_body,
                            Response& response) override;
  kj::Promise<void> handleClientProtocolError(
      kj::HttpHeaders::ProtocolError error,
      Response& response) override;
  kj::Promise<void> handleApplicationError(
      kj::Exception exception,
      kj::Maybe<Response&> response) override;
  kj::Promise<void> handleNoResponse(Response& response) override;
  bool shouldClose() override {
    return this->context.is_closing || this->is_refused() || this->is_broken;
  }

  kj::HttpServerSettings Settings();
  ServerRequest ReadHead(kj::HttpMethod method,
                         kj::StringPtr url,
                         const kj::HttpHeaders& headers) const;
  kj::Promise<ServerReply> Answer(ServerRequest request,
                                  kj::AsyncInputStream& request_body);
  kj::Promise<absl::StatusOr<std::string>> ReadBodyInTime(
      kj::AsyncInputStream& request_body);
  kj::Promise<ServerReply> CallHandler(ServerRequest request);
  ServerReply Refuse(ResultCode code, std::string_view message);
  kj::Promise<void> DiscardInput();
  bool IsClientConnected() const;
  void MarkPlaceIdle();

  SessionContext& context;
  kj::Own<kj::AsyncIoStream> stream;
  std::optional<ConnectionBudget::Place> place;
  std::function<void()> close;
  kj::HttpServer server;
  // True if the answer to a request that can't be read was sent, or is about to
  // be. The connection ends after it, and its input is not read to the end.
  bool is_broken = false;
  // The promise that serves the connection until it ends.
  kj::Promise<void> served = nullptr;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_SERVER_SESSION_H_
