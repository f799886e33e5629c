// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_TRY_H_
#define LIBRARIES_BASE_TRY_H_

#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace sumac::internal {

inline absl::Status StatusOf(const absl::Status& status) {
  return status;
}

template <typename T>
absl::Status StatusOf(const absl::StatusOr<T>& result) {
  return result.status();
}

inline void ValueOf(const absl::Status& /*status*/) {}

template <typename T>
T ValueOf(absl::StatusOr<T>&& result) {
  return std::move(result).value();
}

}  // namespace sumac::internal

// Evaluates an expression of type absl::Status or absl::StatusOr<T>. On an
// error the enclosing function returns that error; otherwise the value of the
// TRY expression is the T (void for a Status).
#define TRY(...)                                       \
  ({                                                   \
    auto try_result = (__VA_ARGS__);                   \
    if (!try_result.ok()) [[unlikely]] {               \
      return ::sumac::internal::StatusOf(try_result);  \
    }                                                  \
    ::sumac::internal::ValueOf(std::move(try_result)); \
  })

#endif  // LIBRARIES_BASE_TRY_H_
