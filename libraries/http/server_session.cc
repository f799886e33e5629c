// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/server_session.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "absl/strings/ascii.h"
#include "libraries/base/error.h"
#include "libraries/base/kj_time.h"
#include "libraries/base/kj_timeout.h"
#include "libraries/base/text.h"
#include "libraries/http/request_body.h"
#include "libraries/log/json_log.h"

namespace sumac::http {
namespace {

// The Retry-After value for a refused caller, in seconds. A connection becomes
// idle once its request is answered.
constexpr const char* kRetryAfterSeconds = "1";
// The limits of reading on after a malformed request: closing a socket with
// unread input resets the connection, and the client may lose the answer.
constexpr std::size_t kMaxDiscardedBytes = 1U << 20;
constexpr Milliseconds kDiscardTime{1'000};

// Reads and drops up to `max_bytes`, until the end of the client's data.
kj::Promise<void> Discard(kj::AsyncInputStream& stream, std::size_t max_bytes) {
  constexpr std::size_t kPieceBytes = 16'384;
  auto piece = kj::heap<std::array<char, kPieceBytes>>();
  auto read = stream.tryRead(piece->data(), 1, piece->size());
  return read.attach(kj::mv(piece))
      .then([&stream, max_bytes](std::size_t size) -> kj::Promise<void> {
        if (size == 0 || size >= max_bytes) {
          return kj::READY_NOW;
        }
        return Discard(stream, max_bytes - size);
      });
}

ServerReply CrowdedReply() {
  ServerReply reply = ErrorReply(ResultCode::kCrowded);
  reply.headers = {{"Retry-After", kRetryAfterSeconds}};
  return reply;
}

// Returns false if the declared length of the body is not a whole number. kj
// takes a negative one for a very large one.
bool HasReadableLength(const kj::HttpHeaders& headers) {
  KJ_IF_MAYBE (length, headers.get(kj::HttpHeaderId::CONTENT_LENGTH)) {
    const std::string_view text(length->cStr());
    return !text.empty() && std::ranges::all_of(text, absl::ascii_isdigit);
  }
  return true;
}

}  // namespace

ServerSession::ServerSession(SessionContext& context,
                             kj::Own<kj::AsyncIoStream> stream,
                             std::optional<ConnectionBudget::Place> place,
                             std::function<void()> close)
    : context(context),
      stream(kj::mv(stream)),
      place(std::move(place)),
      close(std::move(close)),
      server(context.timer,
             *context.header_table,
             static_cast<kj::HttpService&>(*this),
             this->Settings()) {
  this->MarkPlaceIdle();
}

kj::HttpServerSettings ServerSession::Settings() {
  kj::HttpServerSettings settings;
  settings.headerTimeout = ToKj(this->context.settings.header_time);
  settings.pipelineTimeout = ToKj(this->context.settings.idle_time);
  settings.errorHandler = static_cast<kj::HttpServerErrorHandler&>(*this);
  settings.callbacks = static_cast<kj::HttpServerCallbacks&>(*this);
  return settings;
}

// A connection that breaks affects only its caller, so the error is dropped.
void ServerSession::Start(std::function<void()> on_end) {
  this->served =
      this->server.listenHttpCleanDrain(*this->stream)
          .then([this](bool /*is_reusable*/) { return this->DiscardInput(); })
          .catch_([](kj::Exception&& /*error*/) {})
          .then(std::move(on_end))
          .eagerlyEvaluate(nullptr);
}

kj::Promise<void> ServerSession::DiscardInput() {
  if (!this->is_broken) {
    return kj::READY_NOW;
  }
  this->stream->shutdownWrite();
  return TimeoutAfter(this->context.timer, kDiscardTime,
                      Discard(*this->stream, kMaxDiscardedBytes));
}

void ServerSession::MarkPlaceIdle() {
  if (this->place) {
    this->place->MarkIdle(this->close);
  }
}

// NOTE: kj reports the end of the client's data only to a reader, and nobody
// reads while a request is being answered. The system is asked for the end
// itself, since a read would return what the client sent before it.
bool ServerSession::IsClientConnected() const {
  KJ_IF_MAYBE (socket, this->stream->getFd()) {
    pollfd state{.fd = *socket, .events = POLLRDHUP};
    constexpr short kGone = POLLRDHUP | POLLHUP | POLLERR;
    return ::poll(&state, 1, 0) <= 0 || (state.revents & kGone) == 0;
  }
  return true;
}

kj::Promise<void> ServerSession::request(kj::HttpMethod method,
                                         kj::StringPtr url,
                                         const kj::HttpHeaders& headers,
                                         kj::AsyncInputStream& request_body,
                                         Response& response) {
  const kj::HttpHeaderTable& table = *this->context.header_table;
  if (this->is_refused()) {
    return SendReply(table, response, CrowdedReply());
  }
  if (!HasReadableLength(headers)) {
    return SendReply(table, response,
                     this->Refuse(ResultCode::kBadRequest,
                                  "the Content-Length is not a number"));
  }
  this->place->MarkBusy();
  ++this->context.open_requests;
  return this->Answer(this->ReadHead(method, url, headers), request_body)
      .then([&table, &response](ServerReply&& reply) {
        return SendReply(table, response, reply);
      })
      .attach(kj::defer([this] {
        --this->context.open_requests;
        this->MarkPlaceIdle();
      }));
}

ServerRequest ServerSession::ReadHead(kj::HttpMethod method,
                                      kj::StringPtr url,
                                      const kj::HttpHeaders& headers) const {
  ServerRequest request{.method = method, .path = url.cStr()};
  KJ_IF_MAYBE (host, headers.get(kj::HttpHeaderId::HOST)) {
    request.host = host->cStr();
  }
  for (const auto& [name, id] : this->context.header_ids) {
    KJ_IF_MAYBE (value, headers.get(id)) {
      request.headers[name] = value->cStr();
    }
  }
  request.is_awaited = [this] { return this->IsClientConnected(); };
  return request;
}

kj::Promise<ServerReply> ServerSession::Answer(
    ServerRequest request,
    kj::AsyncInputStream& request_body) {
  const std::uint64_t max_bytes = this->context.settings.max_body_bytes;
  KJ_IF_MAYBE (length, request_body.tryGetLength()) {
    if (*length > max_bytes) {
      return this->Refuse(ResultCode::kBodyTooLarge,
                          StrCat(max_bytes, " bytes are allowed"));
    }
  }
  return this->ReadBodyInTime(request_body)
      .then([this, request = std::move(request)](
                absl::StatusOr<std::string>&& body) mutable
            -> kj::Promise<ServerReply> {
        if (!body.ok()) {
          return this->Refuse(CodeOf(body.status()),
                              FromAbsl(body.status().message()));
        }
        request.body = *std::move(body);
        return this->CallHandler(std::move(request));
      });
}

// NOTE: A body in chunks may declare a chunk of any size and never send it.
kj::Promise<absl::StatusOr<std::string>> ServerSession::ReadBodyInTime(
    kj::AsyncInputStream& request_body) {
  const AsyncServerSettings& settings = this->context.settings;
  return TimeoutAfter(this->context.timer, settings.body_time,
                      ReadBody(request_body, settings.max_body_bytes,
                               this->context.held_bytes))
      .catch_([](kj::Exception&& exception)
                  -> kj::Promise<absl::StatusOr<std::string>> {
        if (exception.getType() != kj::Exception::Type::OVERLOADED) {
          return kj::mv(exception);
        }
        return absl::StatusOr<std::string>(
            MakeError(ResultCode::kBodyTooSlow, "the body is incomplete"));
      });
}

kj::Promise<ServerReply> ServerSession::CallHandler(ServerRequest request) {
  const std::string path = request.path;
  return kj::evalNow([this, &request] {
           return this->context.handler(std::move(request));
         })
      .catch_([this, path](kj::Exception&& exception) {
        LogEvent(LogLevel::kError, "request-failed",
                 {{"door", this->context.settings.address},
                  {"path", path},
                  {"error", exception.getDescription().cStr()}});
        return ErrorReply(ResultCode::kInternal);
      });
}

// Returns the answer to a request that can't be read, and logs it. The
// connection ends after it, since the remaining bytes can't be told apart from
// the next request.
ServerReply ServerSession::Refuse(ResultCode code, std::string_view message) {
  LogEvent(LogLevel::kWarning, "request-unreadable",
           {{"door", this->context.settings.address},
            {"code", static_cast<int>(code)},
            {"message", message}});
  this->is_broken = true;
  return code == ResultCode::kCrowded ? CrowdedReply()
                                      : ErrorReply(code, message);
}

kj::Promise<void> ServerSession::handleClientProtocolError(
    kj::HttpHeaders::ProtocolError error,
    Response& response) {
  return SendReply(
      *this->context.header_table, response,
      this->Refuse(ResultCode::kBadRequest, error.description.cStr()));
}

// Called for errors outside of `request`, which handles its own: the head is
// larger than kj's buffer, in which case there is no `response`, or the length
// of the body is not clear from it. Also called if the rest of a body that was
// refused can't be read.
kj::Promise<void> ServerSession::handleApplicationError(
    kj::Exception exception,
    kj::Maybe<Response&> response) {
  if (this->is_broken ||
      exception.getType() == kj::Exception::Type::DISCONNECTED) {
    return kj::READY_NOW;
  }
  const ServerReply reply =
      this->Refuse(ResultCode::kBadRequest,
                   "the head is too large, or the length of the body unclear");
  KJ_IF_MAYBE (sender, response) {
    return SendReply(*this->context.header_table, *sender, reply);
  }
  auto text = kj::heap<std::string>(ToClosingText(reply));
  auto written = this->stream->write(text->data(), text->size());
  return written.attach(kj::mv(text));
}

kj::Promise<void> ServerSession::handleNoResponse(Response& response) {
  return SendReply(*this->context.header_table, response,
                   ErrorReply(ResultCode::kInternal));
}

}  // namespace sumac::http
