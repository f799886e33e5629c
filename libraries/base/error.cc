// SPDX-License-Identifier: Apache-2.0
#include "libraries/base/error.h"

#include "absl/strings/cord.h"
#include "libraries/base/text.h"
#include "libraries/base/verify.h"

namespace sumac {
namespace {

constexpr std::string_view kPayloadName = "sumac/result-code";

}  // namespace

absl::Status MakeError(ResultCode code, std::string_view message) {
  VERIFY(code != ResultCode::kOk);
  absl::Status status(absl::StatusCode::kUnknown, ToAbsl(message));
  status.SetPayload(ToAbsl(kPayloadName),
                    absl::Cord(StrCat(static_cast<int>(code))));
  return status;
}

ResultCode CodeOf(const absl::Status& status) {
  if (status.ok()) {
    return ResultCode::kOk;
  }
  const auto payload = status.GetPayload(ToAbsl(kPayloadName));
  int number = 0;
  if (!payload.has_value() || !ParseNumber(std::string(*payload), &number)) {
    return ResultCode::kInternal;
  }
  return static_cast<ResultCode>(number);
}

}  // namespace sumac
