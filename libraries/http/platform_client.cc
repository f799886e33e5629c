// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/platform_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/codec/json_reader.h"

namespace sumac::http {
namespace {

constexpr std::int64_t kMicrosecondsPerMillisecond = 1'000;

// The platform's answer to an operation.
struct PlatformAnswer {
  fleet::PlatformProgress progress = fleet::PlatformProgress::kAccepted;
  std::string detail;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("progress", self.progress);
    visitor.Field("detail", self.detail);
  }
};

}  // namespace

absl::StatusOr<fleet::RecordPlatformReport> PlatformClient::SendOperation(
    const fleet::PlatformStep& step) {
  const nlohmann::json body = {{"operation", step.operation.value()},
                               {"instance", step.instance.value()},
                               {"kind", NameOf(step.kind)}};
  std::string text;
  try {
    Poco::Net::HTTPClientSession session{
        Poco::Net::SocketAddress(this->address)};
    const Poco::Timespan wait(this->timeout.count() *
                              kMicrosecondsPerMillisecond);
    session.setTimeout(wait, wait, wait);
    Poco::Net::HTTPRequest request("POST", "/v1/operations",
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    const std::string sent = body.dump();
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(sent.size()));
    session.sendRequest(request) << sent;
    Poco::Net::HTTPResponse response;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
      return MakeError(ResultCode::kUnreachable,
                       StrCat("the platform answered ",
                              static_cast<int>(response.getStatus())));
    }
  } catch (const Poco::Exception& error) {
    return MakeError(ResultCode::kUnreachable,
                     StrCat("platform: ", error.displayText()));
  }
  const nlohmann::json json =
      TRY(ParseJson(text, "platform", ResultCode::kMalformedMessage));
  const auto answer =
      TRY(FromJson<PlatformAnswer>(json, "platform", UnknownKeys::kIgnore));
  return fleet::RecordPlatformReport{step.instance, step.operation,
                                     answer.progress, answer.detail};
}

}  // namespace sumac::http
