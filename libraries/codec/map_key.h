// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_CODEC_MAP_KEY_H_
#define LIBRARIES_CODEC_MAP_KEY_H_

#include <concepts>
#include <string>
#include <string_view>
#include <type_traits>

#include "libraries/base/strong_type.h"
#include "libraries/base/text.h"

namespace sumac::internal {

// Returns the text of a map's key.
template <typename Key>
std::string KeyText(const Key& key) {
  if constexpr (IsStrongType<Key>) {
    return KeyText(key.value());
  } else if constexpr (std::integral<Key>) {
    return std::to_string(key);
  } else {
    return std::string(key);
  }
}

// The integral type of a map's key that is a number or a strong type of one;
// void for other keys.
template <typename Key>
struct KeyNumber {
  using Type = void;
};
template <std::integral Key>
struct KeyNumber<Key> {
  using Type = Key;
};
template <IsStrongType Key>
requires std::integral<typename Key::ValueType>
struct KeyNumber<Key> {
  using Type = typename Key::ValueType;
};
template <typename Key>
using NumberOf = typename KeyNumber<Key>::Type;
template <typename Key>
inline constexpr bool kHasNumberKey = !std::is_void_v<NumberOf<Key>>;

// Parses a map's key; returns false for an invalid text.
template <typename Key>
bool ParseKey(const std::string& text, Key& key) {
  if constexpr (std::is_same_v<Key, std::string>) {
    key = text;
  } else if constexpr (kHasNumberKey<Key>) {
    NumberOf<Key> number{};
    if (!ParseNumber(text, &number)) {
      return false;
    }
    key = Key(number);
  } else {
    key = Key(text);
  }
  return true;
}

}  // namespace sumac::internal

#endif  // LIBRARIES_CODEC_MAP_KEY_H_
