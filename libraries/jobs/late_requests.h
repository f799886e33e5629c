// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_LATE_REQUESTS_H_
#define LIBRARIES_JOBS_LATE_REQUESTS_H_

#include "libraries/base/time.h"

namespace sumac::jobs {

// A confirmed answer is a promise that no request sent before it undoes it. So
// whatever is confirmed is recorded, and the record outlasts every request that
// may still be under way.

// The maximum time for which a request may be under way: 60 s in a suspended
// process or on a broken link, and 30 s, the maximum deadline of a caller.
inline constexpr Milliseconds kMaxTransitTime{90'000};

// How long the record of an outcome is kept. Until half of that time has passed
// it can also back a repeated confirmation. Users may ask for the state of a
// finished job for 120 s.
inline constexpr Milliseconds kOutcomeRetention = 2 * kMaxTransitTime;

// Returns true if a record may be dropped.
inline bool IsOutcomeExpired(WallTime recorded_at, WallTime now) {
  return now - recorded_at > kOutcomeRetention;
}

// Returns true if a record allows confirming the same outcome again without a
// new record: it stays for as long as a request sent before `now` may be under
// way.
inline bool BacksConfirmation(WallTime recorded_at, WallTime now) {
  return now - recorded_at < kOutcomeRetention - kMaxTransitTime;
}

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_LATE_REQUESTS_H_
