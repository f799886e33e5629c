// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_ASYNC_HTTP_SERVER_H_
#define LIBRARIES_HTTP_ASYNC_HTTP_SERVER_H_

#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/timer.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/connection_budget.h"
#include "libraries/base/time.h"
#include "libraries/http/async_server_settings.h"
#include "libraries/http/server_message.h"
#include "libraries/http/server_session.h"

namespace sumac::http {

// An HTTP/1.1 server on the event loop. It serves many connections with one
// handler for all requests, and has no threads of its own.
class AsyncHttpServer : private kj::TaskSet::ErrorHandler {
 public:
  using Handler = SessionContext::Handler;

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
  void CloseAfterAnswers() { this->context.is_closing = true; }

  // Stops listening. The promise is fulfilled once all requests in progress are
  // answered.
  kj::Promise<void> Drain();

  std::uint64_t open_requests() const { return this->context.open_requests; }
  // Returns the number of open connections, of those closed for others, and of
  // those refused.
  const ConnectionBudget& connections() const { return this->budget; }

 private:
  kj::Promise<void> AcceptLoop();
  kj::Promise<void> AwaitRefusalSlot();
  void Serve(kj::Own<kj::AsyncIoStream> stream);
  void CloseSession(std::uint64_t session);
  void taskFailed(kj::Exception&& exception) override;

  SessionContext context;
  ConnectionBudget budget;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Maybe<kj::Promise<void>> listening;
  // The sessions by number.
  std::map<std::uint64_t, kj::Own<ServerSession>> sessions;
  std::uint64_t next_session = 1;
  // The number of open connections beyond the budget, which are being refused.
  std::size_t open_refusals = 0;
  kj::TaskSet tasks;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_ASYNC_HTTP_SERVER_H_
