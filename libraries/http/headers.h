// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_HEADERS_H_
#define LIBRARIES_HTTP_HEADERS_H_

namespace sumac::http {

// The HTTP headers between callers, entries and minions. docs/PROTOCOLS.md
// describes them.

// Headers sent by callers.
inline constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr const char* kCallerHeader = "Sumac-Caller";
inline constexpr const char* kDeadlineHeader = "Sumac-Deadline-Ms";
inline constexpr const char* kClassHeader = "Sumac-Class";

// Headers sent to callers.
inline constexpr const char* kCodeHeader = "Sumac-Code";
inline constexpr const char* kRunHeader = "Sumac-Run";
inline constexpr const char* kDecisionHeader = "Sumac-Decision";
inline constexpr const char* kRetryAfterHeader = "Retry-After";
inline constexpr const char* kRetryAfterMsHeader = "Sumac-Retry-After-Ms";

// The number of a request, sent to the minion; the minion's answer must repeat
// it.
inline constexpr const char* kRequestHeader = "Sumac-Request";

// Headers sent by minions.
inline constexpr const char* kInFlightHeader = "Sumac-In-Flight";
inline constexpr const char* kLeavingHeader = "Sumac-Leaving";
inline constexpr const char* kNotRunHeader = "Sumac-Not-Run";

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_HEADERS_H_
