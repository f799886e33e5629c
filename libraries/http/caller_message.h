// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_CALLER_MESSAGE_H_
#define LIBRARIES_HTTP_CALLER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/base/names.h"
#include "libraries/base/result_code.h"
#include "libraries/base/time.h"
#include "libraries/fleet/declaration.h"

namespace sumac::http {

// A caller's request, whole.
struct CallerRequest {
  std::string method;
  ServiceName service;
  // The path below the service and the query, as they go to the minion.
  std::string target;
  CallerName caller;
  // How long the caller waits at most; nothing if it did not say.
  std::optional<Milliseconds> deadline;
  std::optional<fleet::RequestClass> request_class;
  // Empty if there is none.
  IdempotencyKey key;
  std::string content_type;
  std::string body;
};

// What goes back to a caller.
struct CallerAnswer {
  std::uint16_t status = 200;
  ResultCode code = ResultCode::kOk;
  DecisionId decision;
  Milliseconds retry_after{0};
  std::string content_type;
  std::string body;
};

// The longest deadline a caller may ask for.
inline constexpr Milliseconds kMaxDeadline{3'600'000};

// An answer that carries an error as JSON.
CallerAnswer MakeErrorAnswer(ResultCode code,
                             std::string_view message,
                             const DecisionId& decision,
                             Milliseconds retry_after);

// The service and the path below it of a URI /v1/services/NAME/REST?QUERY. The
// error is kBadRequest.
struct ServiceTarget {
  ServiceName service;
  std::string target;
};
absl::StatusOr<ServiceTarget> ParseServiceUri(std::string_view uri);

// What tells two requests under one idempotency key apart: a SHA-256 over
// method, service, target and body.
std::string DigestOf(const CallerRequest& request);

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_CALLER_MESSAGE_H_
