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

// A complete request of a caller.
struct CallerRequest {
  std::string method;
  ServiceName service;
  // The path below the service, with the query, as it is sent to the minion.
  std::string target;
  CallerName caller;
  // The maximum time that the caller waits; unset if the request has no
  // deadline.
  std::optional<Milliseconds> deadline;
  std::optional<fleet::RequestClass> request_class;
  // The idempotency key; empty if the request has none.
  IdempotencyKey key;
  std::string content_type;
  std::string body;
};

// The answer to a caller.
struct CallerAnswer {
  std::uint16_t status = 200;
  ResultCode code = ResultCode::kOk;
  DecisionId decision;
  Milliseconds retry_after{0};
  std::string content_type;
  std::string body;
};

// The longest deadline that a caller may request.
inline constexpr Milliseconds kMaxDeadline{3'600'000};

// Returns an answer with an error as JSON.
CallerAnswer MakeErrorAnswer(ResultCode code,
                             std::string_view message,
                             const DecisionId& decision,
                             Milliseconds retry_after);

// The service of a URI /v1/services/NAME/REST?QUERY, and the path below it with
// the query. ParseServiceUri fails with kBadRequest for any other URI.
struct ServiceTarget {
  ServiceName service;
  std::string target;
};
absl::StatusOr<ServiceTarget> ParseServiceUri(std::string_view uri);

// Returns the SHA-256 over method, service, target and body of a request, in
// hexadecimal. It detects two different requests with the same idempotency key.
std::string DigestOf(const CallerRequest& request);

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_CALLER_MESSAGE_H_
