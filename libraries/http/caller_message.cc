// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/caller_message.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "nlohmann/json.hpp"

namespace sumac::http {
namespace {

constexpr std::string_view kServicePrefix = "/v1/services/";

}  // namespace

CallerAnswer MakeErrorAnswer(ResultCode code,
                             std::string_view message,
                             const DecisionId& decision,
                             Milliseconds retry_after) {
  const ResultInfo& info = InfoFor(code);
  nlohmann::json body = {{"code", static_cast<int>(code)},
                         {"name", info.name},
                         {"run", NameOf(info.effect)},
                         {"message", message}};
  if (!decision.value().empty()) {
    body["decision"] = decision.value();
  }
  if (retry_after > Milliseconds(0)) {
    body["retry_after_ms"] = retry_after.count();
  }
  const auto status = static_cast<std::uint16_t>(
      info.http_status == 0 ? 500 : info.http_status);
  return CallerAnswer{
      status,
      code,
      decision,
      retry_after,
      "application/json",
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
          "\n"};
}

absl::StatusOr<ServiceTarget> ParseServiceUri(std::string_view uri) {
  if (!uri.starts_with(kServicePrefix)) {
    return MakeError(
        ResultCode::kBadRequest,
        StrCat("the path must be ", kServicePrefix, "SERVICE/PATH"));
  }
  uri.remove_prefix(kServicePrefix.size());
  const std::size_t end = uri.find_first_of("/?");
  const std::string_view name = uri.substr(0, end);
  if (name.empty()) {
    return MakeError(ResultCode::kBadRequest, "the path names no service");
  }
  std::string rest(end == uri.npos ? "" : uri.substr(end));
  if (rest.empty() || rest.front() != '/') {
    rest.insert(0, "/");
  }
  return ServiceTarget{ServiceName(std::string(name)), std::move(rest)};
}

std::string DigestOf(const CallerRequest& request) {
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  const auto add = [&](const std::string& part) {
    // The length precedes each part, so that different requests never
    // concatenate to the same bytes.
    engine.update(StrCat(part.size(), ":"));
    engine.update(part);
  };
  add(request.method);
  add(request.service.value());
  add(request.target);
  add(request.body);
  return Poco::DigestEngine::digestToHex(engine.digest());
}

}  // namespace sumac::http
