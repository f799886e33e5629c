// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/idempotency.h"

#include <algorithm>
#include <cstdint>
#include <string>

#include "absl/strings/ascii.h"
#include "libraries/base/error.h"
#include "libraries/base/text.h"

namespace sumac::fleet {
namespace {

constexpr std::size_t kMinTokenLength = 8;
// Any time later than this is no time in milliseconds but in something finer.
constexpr std::int64_t kLatestMilliseconds = 10'000'000'000'000;

}  // namespace

absl::StatusOr<WallTime> TimeOfKey(const IdempotencyKey& key) {
  const std::string_view text = key.value();
  const std::size_t dash = text.find('-');
  const std::string_view token = dash == text.npos ? "" : text.substr(dash + 1);
  const bool is_token_plain =
      std::all_of(token.begin(), token.end(), [](char character) {
        return absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
               character == '.' || character == '_';
      });
  std::int64_t milliseconds = 0;
  if (text.size() > kMaxKeyLength || token.size() < kMinTokenLength ||
      !is_token_plain || !ParseNumber(text.substr(0, dash), &milliseconds) ||
      milliseconds <= 0 || milliseconds > kLatestMilliseconds) {
    return MakeError(
        ResultCode::kBadIdempotencyKey,
        "the idempotency key must be MILLISECONDS-TOKEN, the token 8 or more "
        "letters, digits, dots or underscores, 128 characters in all");
  }
  return WallTime(Milliseconds(milliseconds));
}

}  // namespace sumac::fleet
