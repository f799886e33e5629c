// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_IDEMPOTENCY_H_
#define LIBRARIES_FLEET_IDEMPOTENCY_H_

#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/base/names.h"
#include "libraries/base/time.h"

namespace sumac::fleet {

// A key may carry a time this far ahead of the leader's clock.
inline constexpr Milliseconds kMaxKeySkew{60'000};
inline constexpr std::size_t kMaxKeyLength = 128;

// The time that a key carries. A key is MILLISECONDS-TOKEN: the caller's wall
// clock when it made the key and 8 or more letters, digits, dots or underscores
// of its own. The error is kBadIdempotencyKey.
absl::StatusOr<WallTime> TimeOfKey(const IdempotencyKey& key);

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_IDEMPOTENCY_H_
