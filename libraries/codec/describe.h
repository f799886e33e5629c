// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_CODEC_DESCRIBE_H_
#define LIBRARIES_CODEC_DESCRIBE_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/base/strong_type.h"

namespace sumac {

// A record lists its fields once, in a function Describe, from which the
// formats of settings, declarations, log entries, snapshots and JSON output all
// follow:
//
//   template <typename Self, typename Visitor>
//   static void Describe(Self& self, Visitor& visitor) {
//     visitor.Required("name", self.name);
//     visitor.Field("slots", self.slots, Limits{1, 1024});
//   }
//
// A member passed to Field may be missing in the input and keeps its initial
// value then; a member passed to Required must be present.

// The range of a number, both ends included; for a duration in milliseconds.
// Readers of input apply it, readers of what the system itself wrote don't.
struct Limits {
  double lowest = 0;
  double highest = std::numeric_limits<double>::max();
};

// A visitor that does nothing, used to check for a Describe function in the
// concept Described.
struct NullVisitor {
  template <typename... Arguments>
  void Field(Arguments&&... /*arguments*/) {}
  template <typename... Arguments>
  void Required(Arguments&&... /*arguments*/) {}
};

// True for a record with a Describe function.
template <typename T>
concept Described = requires(T& record, NullVisitor& visitor) {
  T::Describe(record, visitor);
};

// The name of one enumerator in JSON.
template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

// To be specialized for each enum, with a member `static constexpr std::array
// kNames` of EnumName rows.
template <typename Enum>
struct EnumNames;

// True for an enum with a specialization of EnumNames.
template <typename T>
concept NamedEnum = std::is_enum_v<T> && requires {
  EnumNames<T>::kNames;
};

// Returns the JSON name of `value`.
template <NamedEnum Enum>
std::string_view NameOf(Enum value) {
  for (const auto& row : EnumNames<Enum>::kNames) {
    if (row.value == value) {
      return row.name;
    }
  }
  return "?";
}

// Returns the enumerator with the JSON name `name`, or nullopt for an unknown
// name.
template <NamedEnum Enum>
std::optional<Enum> ParseEnum(std::string_view name) {
  for (const auto& row : EnumNames<Enum>::kNames) {
    if (row.name == name) {
      return row.value;
    }
  }
  return std::nullopt;
}

namespace internal {

template <typename T>
inline constexpr bool kIsDuration = false;
template <typename Rep, typename Period>
inline constexpr bool kIsDuration<std::chrono::duration<Rep, Period>> = true;

template <typename T>
inline constexpr bool kIsTimePoint = false;
template <typename Clock, typename Duration>
inline constexpr bool kIsTimePoint<std::chrono::time_point<Clock, Duration>> =
    true;

template <typename T>
inline constexpr bool kIsVector = false;
template <typename T>
inline constexpr bool kIsVector<std::vector<T>> = true;

template <typename T>
inline constexpr bool kIsSet = false;
template <typename T>
inline constexpr bool kIsSet<std::set<T>> = true;

template <typename T>
inline constexpr bool kIsMap = false;
template <typename Key, typename T>
inline constexpr bool kIsMap<std::map<Key, T>> = true;

template <typename T>
inline constexpr bool kIsOptional = false;
template <typename T>
inline constexpr bool kIsOptional<std::optional<T>> = true;

template <typename T>
inline constexpr bool kIsVariant = false;
template <typename... T>
inline constexpr bool kIsVariant<std::variant<T...>> = true;

}  // namespace internal

}  // namespace sumac

#endif  // LIBRARIES_CODEC_DESCRIBE_H_
