// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/async_http_server.h"

#include <Poco/Net/HTTPResponse.h>
#include <poll.h>

#include <limits>
#include <optional>

#include "libraries/base/kj_keep_alive.h"
#include "libraries/base/kj_time.h"
#include "libraries/base/result_code.h"
#include "libraries/base/text.h"
#include "libraries/log/json_log.h"

namespace sumac::http {
namespace {

constexpr std::uint32_t kBodyTooLargeStatus = 413;
// The pause before the next accept, after a failed one or while too many
// connections are being refused.
constexpr Milliseconds kAcceptPause{50};
// The maximum number of connections beyond the budget that are open at once to
// be answered with a refusal.
constexpr std::size_t kMaxConcurrentRefusals = 16;
// The Retry-After value for a refused caller, in seconds. A connection becomes
// idle once its request is answered.
constexpr const char* kRetryAfterSeconds = "1";

std::size_t BudgetOf(std::size_t max_connections) {
  return max_connections == 0 ? std::numeric_limits<std::size_t>::max()
                              : max_connections;
}

const std::string& ReasonFor(std::uint32_t status) {
  return Poco::Net::HTTPResponse::getReasonForStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

}  // namespace

// One open connection.
class AsyncHttpServer::Session : public kj::HttpService {
 public:
  // Without a place in the budget, each request on the connection is answered
  // with a refusal.
  Session(AsyncHttpServer& owner,
          std::uint64_t number,
          std::optional<ConnectionBudget::Place> place,
          kj::Maybe<int> descriptor)
      : owner(owner),
        number(number),
        place(std::move(place)),
        descriptor(descriptor) {
    this->MarkPlaceIdle();
  }
  // Cancels a request in progress first, since its end marks the place as idle,
  // and `place` must still exist then.
  ~Session() { this->served = nullptr; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  bool is_refused() const { return !this->place.has_value(); }

  kj::Promise<void> request(kj::HttpMethod method,
                            kj::StringPtr url,
                            const kj::HttpHeaders& headers,
                            kj::AsyncInputStream& request_body,
                            Response& response) override {
    if (this->is_refused()) {
      return this->owner.Reply(response, RefusalReply());
    }
    this->place->MarkBusy();
    return this->owner
        .Answer(*this, method, url, headers, request_body, response)
        .attach(kj::defer([this] { this->MarkPlaceIdle(); }));
  }

  // Returns false if the client has closed its side of the connection.
  bool IsClientConnected() const;

  // The promise that serves the connection until it ends.
  kj::Promise<void> served = nullptr;

 private:
  static ServerReply RefusalReply();
  void MarkPlaceIdle() {
    if (this->place) {
      this->place->MarkIdle([this] { this->owner.CloseSession(this->number); });
    }
  }

  AsyncHttpServer& owner;
  std::uint64_t number;
  std::optional<ConnectionBudget::Place> place;
  // The socket, which the kj server owns until `served` is destroyed.
  kj::Maybe<int> descriptor;
};

// NOTE: kj reports the end of the client's data only to a reader, and nobody
// reads while a request is being answered. The system is asked for the end
// itself, since a read would return what the client sent before it.
bool AsyncHttpServer::Session::IsClientConnected() const {
  KJ_IF_MAYBE (socket, this->descriptor) {
    pollfd state{.fd = *socket, .events = POLLRDHUP};
    constexpr short kGone = POLLRDHUP | POLLHUP | POLLERR;
    return ::poll(&state, 1, 0) <= 0 || (state.revents & kGone) == 0;
  }
  return true;
}

ServerReply AsyncHttpServer::Session::RefusalReply() {
  const ResultInfo& info = InfoFor(ResultCode::kCrowded);
  return ServerReply{
      .status = static_cast<std::uint32_t>(info.http_status),
      .body = StrCat(R"({"code":)", static_cast<int>(ResultCode::kCrowded),
                     R"(,"error":")", info.name, R"("})"),
      .headers = {{"Retry-After", kRetryAfterSeconds},
                  {"Connection", "close"}}};
}

AsyncHttpServer::AsyncHttpServer(kj::Timer& timer,
                                 AsyncServerSettings settings,
                                 Handler handler)
    : timer(timer),
      settings(std::move(settings)),
      handler(std::move(handler)),
      budget(BudgetOf(this->settings.max_connections)),
      tasks(*this) {
  kj::HttpHeaderTable::Builder builder;
  for (const std::string& name : this->settings.headers) {
    this->header_ids.emplace(name, builder.add(name.c_str()));
  }
  this->header_table = builder.build();
  kj::HttpServerSettings server_settings;
  server_settings.headerTimeout = ToKj(this->settings.header_time);
  server_settings.pipelineTimeout = ToKj(this->settings.idle_time);
  server_settings.callbacks = static_cast<kj::HttpServerCallbacks&>(*this);
  this->server = kj::heap<kj::HttpServer>(
      timer, *this->header_table,
      [this](kj::AsyncIoStream& /*connection*/) -> kj::Own<kj::HttpService> {
        // This object owns the sessions; the kj server only calls them.
        Session& newest = *this->sessions.rbegin()->second;
        return kj::Own<kj::HttpService>(&newest, kj::NullDisposer::instance);
      },
      server_settings);
}

AsyncHttpServer::~AsyncHttpServer() = default;

kj::Promise<void> AsyncHttpServer::Listen(kj::Network& network) {
  return network.parseAddress(this->settings.address)
      .then([this](kj::Own<kj::NetworkAddress>&& address) {
        this->receiver = address->listen();
        this->listening = this->AcceptLoop().eagerlyEvaluate(nullptr);
      });
}

// NOTE: A failed accept is usually temporary: the process may be out of
// descriptors for a moment. If the loop ended on one, the process would accept
// no connections until it restarts.
kj::Promise<void> AsyncHttpServer::AcceptLoop() {
  return this->receiver->accept()
      .then(
          [this](kj::Own<kj::AsyncIoStream>&& stream) -> kj::Promise<void> {
            this->Serve(kj::mv(stream));
            return this->AwaitRefusalSlot();
          },
          [this](kj::Exception&& error) -> kj::Promise<void> {
            LogEvent(LogLevel::kError, "accept-failed",
                     {{"door", this->settings.address},
                      {"error", error.getDescription().cStr()}});
            return this->timer.afterDelay(ToKj(kAcceptPause));
          })
      .then([this] { return this->AcceptLoop(); });
}

// Waits until another connection can be accepted, if only to be answered with a
// refusal.
kj::Promise<void> AsyncHttpServer::AwaitRefusalSlot() {
  if (this->open_refusals < kMaxConcurrentRefusals) {
    return kj::READY_NOW;
  }
  return this->timer.afterDelay(ToKj(kAcceptPause)).then([this] {
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
             {{"door", this->settings.address},
              {"error", error->getDescription().cStr()}});
  }
  const std::uint64_t number = this->next_session++;
  auto session = kj::heap<Session>(*this, number, this->budget.AcquirePlace(),
                                   stream->getFd());
  this->open_refusals += static_cast<std::size_t>(session->is_refused());
  Session& added = *session;
  this->sessions.emplace(number, kj::mv(session));
  const auto ended = [this, number] {
    // Deferred, because CloseSession destroys the promise that calls this
    // function.
    this->tasks.add(
        kj::evalLater([this, number] { this->CloseSession(number); }));
  };
  // A broken connection affects only its caller, so the error is dropped.
  added.served = this->server->listenHttp(kj::mv(stream))
                     .then([ended] { ended(); },
                           [ended](kj::Exception&& /*error*/) { ended(); })
                     .eagerlyEvaluate(nullptr);
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
  this->is_closing = true;
  this->listening = nullptr;
  this->receiver = nullptr;
  return this->server->drain();
}

kj::Promise<void> AsyncHttpServer::Answer(const Session& session,
                                          kj::HttpMethod method,
                                          kj::StringPtr url,
                                          const kj::HttpHeaders& headers,
                                          kj::AsyncInputStream& request_body,
                                          Response& response) {
  auto request = kj::heap<ServerRequest>();
  request->is_awaited = [&session] { return session.IsClientConnected(); };
  request->method = method;
  request->path = url.cStr();
  KJ_IF_MAYBE (host, headers.get(kj::HttpHeaderId::HOST)) {
    request->host = host->cStr();
  }
  for (const auto& [name, id] : this->header_ids) {
    KJ_IF_MAYBE (value, headers.get(id)) {
      request->headers[name] = value->cStr();
    }
  }
  KJ_IF_MAYBE (length, request_body.tryGetLength()) {
    if (*length > this->settings.max_body_bytes) {
      return this->Reply(response, ServerReply{.status = kBodyTooLargeStatus});
    }
  }
  ++this->open_count;
  return request_body.readAllText(this->settings.max_body_bytes)
      .then([this, &response,
             request = kj::mv(request)](kj::String&& body) mutable {
        request->body.assign(body.begin(), body.size());
        return this->handler(std::move(*request));
      })
      .then([this, &response](ServerReply&& reply) {
        return this->Reply(response, reply);
      })
      .attach(kj::defer([this] { --this->open_count; }));
}

kj::Promise<void> AsyncHttpServer::Reply(Response& response,
                                         const ServerReply& reply) {
  kj::HttpHeaders headers(*this->header_table);
  if (!reply.body.empty()) {
    headers.set(kj::HttpHeaderId::CONTENT_TYPE, reply.content_type);
  }
  for (const auto& [name, value] : reply.headers) {
    headers.add(kj::str(name), kj::str(value));
  }
  auto body = kj::heap<std::string>(reply.body);
  auto stream = response.send(reply.status, ReasonFor(reply.status), headers,
                              body->size());
  if (body->empty()) {
    return kj::READY_NOW;
  }
  auto written = stream->write(body->data(), body->size());
  return written.attach(kj::mv(stream), kj::mv(body));
}

}  // namespace sumac::http
