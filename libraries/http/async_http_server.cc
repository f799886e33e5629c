// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/async_http_server.h"

#include <kj/vector.h>

#include <limits>
#include <utility>

#include "libraries/base/kj_accept.h"
#include "libraries/base/kj_keep_alive.h"
#include "libraries/base/kj_time.h"
#include "libraries/log/json_log.h"

namespace sumac::http {
namespace {

// The maximum number of connections beyond the budget that are open at once to
// be answered with a refusal.
constexpr std::size_t kMaxConcurrentRefusals = 16;

std::size_t BudgetOf(std::size_t max_connections) {
  return max_connections == 0 ? std::numeric_limits<std::size_t>::max()
                              : max_connections;
}

}  // namespace

AsyncHttpServer::AsyncHttpServer(kj::Timer& timer,
                                 AsyncServerSettings settings,
                                 Handler handler)
    : context{.timer = timer,
              .settings = std::move(settings),
              .held_bytes = {.max = this->context.settings.max_held_bytes},
              .handler = std::move(handler)},
      budget(BudgetOf(this->context.settings.max_connections)),
      tasks(*this) {
  kj::HttpHeaderTable::Builder builder;
  for (const std::string& name : this->context.settings.headers) {
    this->context.header_ids.emplace(name, builder.add(name.c_str()));
  }
  this->context.header_table = builder.build();
}

AsyncHttpServer::~AsyncHttpServer() = default;

kj::Promise<void> AsyncHttpServer::Listen(kj::Network& network) {
  return network.parseAddress(this->context.settings.address)
      .then([this](kj::Own<kj::NetworkAddress>&& address) {
        this->receiver = address->listen();
        this->listening = this->AcceptLoop().eagerlyEvaluate(nullptr);
      });
}

kj::Promise<void> AsyncHttpServer::AcceptLoop() {
  return AcceptConnections(
      *this->receiver, this->context.timer,
      [this](kj::Own<kj::AsyncIoStream> stream) {
        this->Serve(kj::mv(stream));
        return this->AwaitRefusalSlot();
      },
      [this](const kj::Exception& error) {
        LogEvent(LogLevel::kError, "accept-failed",
                 {{"door", this->context.settings.address},
                  {"error", error.getDescription().cStr()}});
      });
}

// Waits until another connection can be accepted, if only to be answered with a
// refusal.
kj::Promise<void> AsyncHttpServer::AwaitRefusalSlot() {
  if (this->open_refusals < kMaxConcurrentRefusals) {
    return kj::READY_NOW;
  }
  return this->context.timer.afterDelay(ToKj(kAcceptPause)).then([this] {
    return this->AwaitRefusalSlot();
  });
}

// NOTE: TCP keep-alive is needed because the server's own timeouts cover a
// request only up to the end of its head. The connection of a caller that
// disappears within the body, or does not read the answer, would otherwise stay
// open for ever.
void AsyncHttpServer::Serve(kj::Own<kj::AsyncIoStream> stream) {
  KJ_IF_MAYBE (error, KeepAlive::TryApply(*stream)) {
    LogEvent(LogLevel::kWarning, "connection-not-probed",
             {{"door", this->context.settings.address},
              {"error", error->getDescription().cStr()}});
  }
  const std::uint64_t number = this->next_session++;
  auto session = kj::heap<ServerSession>(
      this->context, kj::mv(stream), this->budget.AcquirePlace(),
      [this, number] { this->CloseSession(number); });
  this->open_refusals += static_cast<std::size_t>(session->is_refused());
  ServerSession& added = *session;
  this->sessions.emplace(number, kj::mv(session));
  added.Start([this, number] {
    // Deferred, because CloseSession destroys the promise that calls this
    // function.
    this->tasks.add(
        kj::evalLater([this, number] { this->CloseSession(number); }));
  });
}

void AsyncHttpServer::CloseSession(std::uint64_t session) {
  const auto found = this->sessions.find(session);
  if (found != this->sessions.end()) {
    this->open_refusals -=
        static_cast<std::size_t>(found->second->is_refused());
    this->sessions.erase(found);
  }
}

void AsyncHttpServer::taskFailed(kj::Exception&& exception) {
  LogEvent(LogLevel::kError, "task-failed",
           {{"error", exception.getDescription().cStr()}});
}

kj::Promise<void> AsyncHttpServer::Drain() {
  this->context.is_closing = true;
  this->listening = nullptr;
  this->receiver = nullptr;
  kj::Vector<kj::Promise<void>> drained;
  for (auto& [number, session] : this->sessions) {
    drained.add(session->Drain());
  }
  return kj::joinPromises(drained.releaseAsArray());
}

}  // namespace sumac::http
