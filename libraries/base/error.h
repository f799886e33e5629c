// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_ERROR_H_
#define LIBRARIES_BASE_ERROR_H_

#include <string_view>

#include "absl/status/status.h"
#include "libraries/base/result_code.h"

namespace sumac {

// Returns an absl::Status that carries the numbered `code` beside the message.
// `code` must not be kOk.
absl::Status MakeError(ResultCode code, std::string_view message);

// Returns the numbered code of `status`: kOk for success, kInternal for an
// error made without MakeError.
ResultCode CodeOf(const absl::Status& status);

}  // namespace sumac

#endif  // LIBRARIES_BASE_ERROR_H_
