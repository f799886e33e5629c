// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_TEXT_H_
#define LIBRARIES_BASE_TEXT_H_

#include <concepts>
#include <string>
#include <string_view>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace sumac {

// NOTE: Debian builds Abseil for C++14, where absl::string_view is not
// std::string_view. The functions in this file let the rest of the code use
// std::string_view.

inline absl::string_view ToAbsl(std::string_view text) {
  return absl::string_view(text.data(), text.size());
}

inline std::string_view FromAbsl(absl::string_view text) {
  return std::string_view(text.data(), text.size());
}

namespace internal {

template <typename T>
decltype(auto) ToPiece(const T& value) {
  if constexpr (std::convertible_to<T, std::string_view>) {
    return ToAbsl(std::string_view(value));
  } else {
    return value;
  }
}

}  // namespace internal

// absl::StrCat, which also takes std::string_view.
template <typename... Pieces>
std::string StrCat(const Pieces&... pieces) {
  return absl::StrCat(internal::ToPiece(pieces)...);
}

// absl::StrAppend, which also takes std::string_view.
template <typename... Pieces>
void StrAppend(std::string* text, const Pieces&... pieces) {
  absl::StrAppend(text, internal::ToPiece(pieces)...);
}

// Parses a decimal integer; returns false for any other text.
template <std::integral Number>
bool ParseNumber(std::string_view text, Number* number) {
  return absl::SimpleAtoi(ToAbsl(text), number);
}

}  // namespace sumac

#endif  // LIBRARIES_BASE_TEXT_H_
