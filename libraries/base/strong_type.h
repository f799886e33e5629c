// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_STRONG_TYPE_H_
#define LIBRARIES_BASE_STRONG_TYPE_H_

#include <compare>
#include <concepts>
#include <functional>
#include <utility>

namespace sumac {

// A value of type `Value` that can't be mixed up with one of another `Tag`. It
// compares and hashes like the value and converts only explicitly.
template <typename Value, typename Tag>
class StrongType {
 public:
  using ValueType = Value;

  constexpr StrongType() = default;
  constexpr explicit StrongType(Value initial) : inner(std::move(initial)) {}

  constexpr const Value& value() const { return this->inner; }

  constexpr auto operator<=>(const StrongType&) const = default;

  // Returns the next value, for counters such as terms and log indices.
  constexpr StrongType Next() const requires std::integral<Value> {
    return StrongType(this->inner + 1);
  }

 private:
  Value inner{};
};

// True for every StrongType.
template <typename T>
concept IsStrongType = requires(const T& strong) {
  typename T::ValueType;
  { strong.value() } -> std::same_as<const typename T::ValueType&>;
};

}  // namespace sumac

// Hashes a strong type by its value.
template <typename Value, typename Tag>
struct std::hash<sumac::StrongType<Value, Tag>> {
  std::size_t operator()(const sumac::StrongType<Value, Tag>& strong) const {
    return std::hash<Value>()(strong.value());
  }
};

#endif  // LIBRARIES_BASE_STRONG_TYPE_H_
