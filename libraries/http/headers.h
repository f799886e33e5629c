// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_HEADERS_H_
#define LIBRARIES_HTTP_HEADERS_H_

namespace sumac::http {

// The headers of the callers' and minions' doors; docs/PROTOCOLS.md describes
// them.

// From callers.
inline constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr const char* kCallerHeader = "Sumac-Caller";
inline constexpr const char* kDeadlineHeader = "Sumac-Deadline-Ms";
inline constexpr const char* kClassHeader = "Sumac-Class";

// To callers.
inline constexpr const char* kCodeHeader = "Sumac-Code";
inline constexpr const char* kRunHeader = "Sumac-Run";
inline constexpr const char* kDecisionHeader = "Sumac-Decision";
inline constexpr const char* kRetryAfterHeader = "Retry-After";
inline constexpr const char* kRetryAfterMsHeader = "Sumac-Retry-After-Ms";

// To minions and back: a minion's answer carries the request's own number
// again.
inline constexpr const char* kRequestHeader = "Sumac-Request";

// From minions.
inline constexpr const char* kInFlightHeader = "Sumac-In-Flight";
inline constexpr const char* kLeavingHeader = "Sumac-Leaving";
inline constexpr const char* kNotRunHeader = "Sumac-Not-Run";

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_HEADERS_H_
