// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/async_http_server.h"

#include <Poco/Net/HTTPResponse.h>

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
// After an accept that failed, or while too many connections are being refused.
constexpr Milliseconds kAcceptPause{50};
// Connections beyond the budget that are open at once, to be told so.
constexpr std::size_t kMostRefusedAtOnce = 16;
// When a refused caller should come back, in seconds: connections become idle
// within the time of a request.
constexpr const char* kRetryAfterSeconds = "1";

std::size_t BudgetOf(std::size_t most_connections) {
  return most_connections == 0 ? std::numeric_limits<std::size_t>::max()
                               : most_connections;
}

const std::string& ReasonFor(std::uint32_t status) {
  return Poco::Net::HTTPResponse::getReasonForStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

}  // namespace

// One open connection.
class AsyncHttpServer::Session : public kj::HttpService {
 public:
  // Without a place it is only told that it is refused.
  Session(AsyncHttpServer& door,
          std::uint64_t number,
          std::optional<ConnectionBudget::Place> place)
      : door(door), number(number), place(std::move(place)) {
    this->NoteIdle();
  }
  // A request under way ends here and notes so, which needs the place.
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
      return this->door.Reply(response, CrowdedReply());
    }
    this->place->MarkBusy();
    return this->door.Answer(method, url, headers, request_body, response)
        .attach(kj::defer([this] { this->NoteIdle(); }));
  }

  // Serves the connection until it ends.
  kj::Promise<void> served = nullptr;

 private:
  static ServerReply CrowdedReply();
  void NoteIdle() {
    if (this->place) {
      this->place->MarkIdle([this] { this->door.End(this->number); });
    }
  }

  AsyncHttpServer& door;
  std::uint64_t number;
  std::optional<ConnectionBudget::Place> place;
};

ServerReply AsyncHttpServer::Session::CrowdedReply() {
  const ResultInfo& info = InfoFor(ResultCode::kCrowded);
  return ServerReply{
      .status = static_cast<std::uint32_t>(info.http_status),
      .body = StrCat(R"({"code":)", static_cast<int>(ResultCode::kCrowded),
                     R"(,"error":")", info.name, R"("})"),
      .headers = {{"Retry-After", kRetryAfterSeconds},
                  {"Connection", "close"}}};
}

AsyncHttpServer::AsyncHttpServer(kj::Timer& timer,
                                 DoorSettings settings,
                                 Handler handler)
    : timer(timer),
      settings(std::move(settings)),
      handler(std::move(handler)),
      budget(BudgetOf(this->settings.most_connections)),
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
        // The door owns the sessions; the server only calls them.
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

// NOTE: A failure to accept passes: the process may be out of descriptors for a
// moment. A door that stopped listening for it would stay shut.
kj::Promise<void> AsyncHttpServer::AcceptLoop() {
  return this->receiver->accept()
      .then(
          [this](kj::Own<kj::AsyncIoStream>&& stream) -> kj::Promise<void> {
            this->Serve(kj::mv(stream));
            return this->AwaitRoom();
          },
          [this](kj::Exception&& error) -> kj::Promise<void> {
            LogEvent(LogLevel::kError, "accept-failed",
                     {{"door", this->settings.address},
                      {"error", error.getDescription().cStr()}});
            return this->timer.afterDelay(ToKj(kAcceptPause));
          })
      .then([this] { return this->AcceptLoop(); });
}

// Until another connection can at least be told that it is refused.
kj::Promise<void> AsyncHttpServer::AwaitRoom() {
  if (this->refusing < kMostRefusedAtOnce) {
    return kj::READY_NOW;
  }
  return this->timer.afterDelay(ToKj(kAcceptPause)).then([this] {
    return this->AwaitRoom();
  });
}

// NOTE: The server's own limits end with a request's head: a caller that falls
// silent within its body, or reads no answer, would be kept for good.
void AsyncHttpServer::Serve(kj::Own<kj::AsyncIoStream> stream) {
  KJ_IF_MAYBE (error, KeepAlive::TryApply(*stream)) {
    LogEvent(LogLevel::kWarning, "connection-not-probed",
             {{"door", this->settings.address},
              {"error", error->getDescription().cStr()}});
  }
  const std::uint64_t number = this->next_session++;
  auto session = kj::heap<Session>(*this, number, this->budget.Take());
  this->refusing += static_cast<std::size_t>(session->is_refused());
  Session& added = *session;
  this->sessions.emplace(number, kj::mv(session));
  const auto ended = [this, number] {
    // Not from within the promise that ends with it.
    this->tasks.add(kj::evalLater([this, number] { this->End(number); }));
  };
  // A connection that breaks off concerns only its caller.
  added.served = this->server->listenHttp(kj::mv(stream))
                     .then([ended] { ended(); },
                           [ended](kj::Exception&& /*error*/) { ended(); })
                     .eagerlyEvaluate(nullptr);
}

void AsyncHttpServer::End(std::uint64_t session) {
  const auto found = this->sessions.find(session);
  if (found != this->sessions.end()) {
    this->refusing -= static_cast<std::size_t>(found->second->is_refused());
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

kj::Promise<void> AsyncHttpServer::Answer(kj::HttpMethod method,
                                          kj::StringPtr url,
                                          const kj::HttpHeaders& headers,
                                          kj::AsyncInputStream& request_body,
                                          Response& response) {
  auto request = kj::heap<ServerRequest>();
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
    if (*length > this->settings.most_body_bytes) {
      return this->Reply(response, ServerReply{.status = kBodyTooLargeStatus});
    }
  }
  ++this->open_count;
  return request_body.readAllText(this->settings.most_body_bytes)
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
