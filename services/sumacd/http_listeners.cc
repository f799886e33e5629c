// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/http_listeners.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>
#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/codec/json_reader.h"
#include "libraries/codec/json_writer.h"
#include "libraries/http/caller_message.h"
#include "libraries/http/headers.h"

namespace sumac::daemon {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::uint64_t kMaxAnnouncementBytes = 1U << 20;
constexpr Milliseconds kAnnounceTimeout{1'500};
constexpr std::int64_t kMillisecondsPerSecond = 1'000;

void AnswerHealth(HTTPServerResponse& response, bool is_stopping) {
  const int status = is_stopping ? 503 : 200;
  http::SendAnswer(
      response, status, "application/json",
      is_stopping ? "{\"status\":\"stopping\"}\n" : "{\"status\":\"ok\"}\n");
}

void SendCallerAnswer(HTTPServerResponse& response,
                      const http::CallerAnswer& answer) {
  response.set(http::kCodeHeader, StrCat(static_cast<int>(answer.code)));
  response.set(http::kRunHeader,
               std::string(NameOf(InfoFor(answer.code).effect)));
  if (!answer.decision.value().empty()) {
    response.set(http::kDecisionHeader, answer.decision.value());
  }
  if (answer.retry_after > Milliseconds(0)) {
    const std::int64_t seconds =
        (answer.retry_after.count() + kMillisecondsPerSecond - 1) /
        kMillisecondsPerSecond;
    response.set(http::kRetryAfterHeader, StrCat(seconds));
    response.set(http::kRetryAfterMsHeader, StrCat(answer.retry_after.count()));
  }
  http::SendAnswer(response, answer.status, answer.content_type, answer.body);
}

// Refuses a request that could not be read whole. What is left of it can't be
// told from the next one, so the connection ends.
void RefuseUnread(HTTPServerResponse& response, const absl::Status& status) {
  response.setKeepAlive(false);
  SendCallerAnswer(response, http::MakeErrorAnswer(
                                 CodeOf(status), FromAbsl(status.message()),
                                 DecisionId(), Milliseconds(0)));
}

absl::StatusOr<std::optional<Milliseconds>> ReadDeadline(
    const HTTPServerRequest& request) {
  if (!request.has(http::kDeadlineHeader)) {
    return std::nullopt;
  }
  std::int64_t milliseconds = 0;
  if (!ParseNumber(std::string_view(request.get(http::kDeadlineHeader)),
                   &milliseconds) ||
      milliseconds < 1 || milliseconds > http::kMaxDeadline.count()) {
    return MakeError(ResultCode::kBadRequest,
                     StrCat(http::kDeadlineHeader, " must be 1 to ",
                            http::kMaxDeadline.count(), " milliseconds"));
  }
  return Milliseconds(milliseconds);
}

absl::StatusOr<std::optional<fleet::RequestClass>> ReadClass(
    const HTTPServerRequest& request) {
  if (!request.has(http::kClassHeader)) {
    return std::nullopt;
  }
  const auto parsed =
      ParseEnum<fleet::RequestClass>(request.get(http::kClassHeader));
  if (!parsed) {
    return MakeError(
        ResultCode::kBadRequest,
        StrCat(http::kClassHeader, " must be interactive or background"));
  }
  return parsed;
}

absl::StatusOr<http::CallerRequest> ReadCallerRequest(
    HTTPServerRequest& request,
    const Entry& entry) {
  http::CallerRequest read;
  const http::ServiceTarget target =
      TRY(http::ParseServiceUri(request.getURI()));
  read.method = request.getMethod();
  read.service = target.service;
  read.target = target.target;
  read.caller = CallerName(request.get(http::kCallerHeader, "anonymous"));
  read.deadline = TRY(ReadDeadline(request));
  read.request_class = TRY(ReadClass(request));
  read.key = IdempotencyKey(request.get(http::kIdempotencyKeyHeader, ""));
  read.content_type =
      request.has("Content-Type") ? request.getContentType() : "";
  read.body =
      TRY(http::ReadRequestBody(request, entry.MaxBodyBytes(read.service)));
  return read;
}

void AnswerCaller(HTTPServerRequest& request,
                  HTTPServerResponse& response,
                  Entry& entry) {
  const absl::StatusOr<http::CallerRequest> read =
      ReadCallerRequest(request, entry);
  if (!read.ok()) {
    RefuseUnread(response, read.status());
    return;
  }
  SendCallerAnswer(response, entry.Run(*read));
}

absl::StatusOr<fleet::Announcement> ReadAnnouncement(
    HTTPServerRequest& request) {
  const std::string body =
      TRY(http::ReadRequestBody(request, kMaxAnnouncementBytes));
  const nlohmann::json json =
      TRY(ParseJson(body, "announcement", ResultCode::kBadRequest));
  return FromJson<fleet::Announcement>(
      json, "announcement", UnknownKeys::kRefuse,
      {ResultCode::kBadRequest, ResultCode::kBadRequest});
}

void AnswerAnnouncement(HTTPServerRequest& request,
                        HTTPServerResponse& response,
                        CoreLink& core) {
  absl::StatusOr<fleet::Announcement> read = ReadAnnouncement(request);
  if (!read.ok()) {
    RefuseUnread(response, read.status());
    return;
  }
  const fleet::TargetOrders orders =
      core.Announce(*std::move(read), kAnnounceTimeout);
  http::SendAnswer(response, 200, "application/json",
                   ToJson(orders).dump() + "\n");
}

void AnswerUnknownPath(HTTPServerResponse& response) {
  SendCallerAnswer(
      response, http::MakeErrorAnswer(ResultCode::kBadRequest, "unknown path",
                                      DecisionId(), Milliseconds(0)));
}

http::ServerSettings ToServerSettings(const HttpListenerSettings& doors,
                                      const std::string& address,
                                      std::uint32_t most_connections) {
  return http::ServerSettings{address, static_cast<int>(most_connections),
                              doors.idle_time, doors.io_time};
}

}  // namespace

absl::StatusOr<std::unique_ptr<http::HttpServer>> OpenCallerListener(
    const Settings& settings,
    Entry& entry,
    const std::atomic<bool>& is_stopping) {
  return http::HttpServer::Create(
      ToServerSettings(settings.doors, settings.listen.callers,
                       settings.doors.most_caller_connections),
      [&entry, &is_stopping](HTTPServerRequest& request,
                             HTTPServerResponse& response) {
        if (is_stopping) {
          response.setKeepAlive(false);
        }
        if (request.getURI() == "/health") {
          AnswerHealth(response, is_stopping);
        } else {
          AnswerCaller(request, response, entry);
        }
      });
}

absl::StatusOr<std::unique_ptr<http::HttpServer>> OpenTargetListener(
    const Settings& settings,
    CoreLink& core,
    const http::Metrics& metrics,
    const std::atomic<bool>& is_stopping) {
  return http::HttpServer::Create(
      ToServerSettings(settings.doors, settings.listen.targets,
                       settings.doors.most_target_connections),
      [&core, &metrics, &is_stopping](HTTPServerRequest& request,
                                      HTTPServerResponse& response) {
        if (is_stopping) {
          response.setKeepAlive(false);
        }
        if (request.getURI() == "/health") {
          AnswerHealth(response, is_stopping);
        } else if (request.getURI() == "/metrics") {
          http::SendAnswer(response, 200, "text/plain; version=0.0.4",
                           metrics.ToText());
        } else if (request.getURI() == "/v1/announce" &&
                   request.getMethod() == "POST") {
          AnswerAnnouncement(request, response, core);
        } else {
          AnswerUnknownPath(response);
        }
      });
}

}  // namespace sumac::daemon
