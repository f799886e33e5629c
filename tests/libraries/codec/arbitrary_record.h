// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_CODEC_ARBITRARY_RECORD_H_
#define TESTS_LIBRARIES_CODEC_ARBITRARY_RECORD_H_

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/codec/describe.h"
#include "nlohmann/json.hpp"

namespace sumac {

// Draws a value of any type that has an encoded form: each field of a record
// takes any value of its type, the ends of the type included, whatever limits
// the record names for it.
template <typename T>
T DrawAny();

namespace internal {

inline constexpr std::size_t kMaxDrawnItems = 3;
inline constexpr int kMaxDrawnTreeDepth = 4;

// A visitor for Describe functions that draws each field.
class FieldDrawer {
 public:
  template <typename T>
  void Field(std::string_view /*name*/, T& value, Limits /*limits*/ = {}) {
    value = DrawAny<T>();
  }
  template <typename T>
  void Required(std::string_view name, T& value, Limits limits = {}) {
    this->Field(name, value, limits);
  }
};

// The ends of the type, and of each length of the encoding.
template <std::integral T>
T DrawNumber() {
  using Bounds = std::numeric_limits<T>;
  static const std::vector<T> kEnds = [] {
    std::vector<T> ends = {
        Bounds::min(), static_cast<T>(Bounds::min() + 1), T{0},
        T{1},          static_cast<T>(Bounds::max() - 1), Bounds::max()};
    for (int bits = 3; bits < Bounds::digits; ++bits) {
      const T power = static_cast<T>(T{1} << bits);
      for (const T near : {static_cast<T>(power - 1), power}) {
        ends.push_back(near);
        if constexpr (std::is_signed_v<T>) {
          ends.push_back(static_cast<T>(-near));
          ends.push_back(static_cast<T>(-near - 1));
        }
      }
    }
    return ends;
  }();
  return *rc::gen::oneOf(rc::gen::elementOf(kEnds), rc::gen::arbitrary<T>());
}

inline double DrawReal() {
  using Bounds = std::numeric_limits<double>;
  return *rc::gen::oneOf(
      rc::gen::element(0.0, -0.0, 0.1, 1.0, -1.0, 1e300, Bounds::max(),
                       Bounds::lowest(), Bounds::denorm_min(),
                       Bounds::infinity(), Bounds::quiet_NaN()),
      rc::gen::arbitrary<double>());
}

// Texts are stored as they came, also where they are not UTF-8.
inline std::string DrawText() {
  constexpr std::size_t kLong = 300;
  constexpr std::size_t kVeryLong = 70'000;
  static const std::array kTexts = {std::string(),
                                    std::string("\"}],{\\ \n\r\t"),
                                    std::string("\0", 1),
                                    std::string("a\0b", 3),
                                    std::string("\xff\xfe\x80"),
                                    std::string("\xc3"),
                                    std::string("\xe2\x9c\x93 caf\xc3\xa9"),
                                    std::string("-1"),
                                    std::string("type"),
                                    std::string(kLong, 'x'),
                                    std::string(kVeryLong, '\xf7')};
  const std::size_t place = *rc::gen::weightedOneOf<std::size_t>(
      {{20, rc::gen::inRange<std::size_t>(0, kTexts.size() - 1)},
       {1, rc::gen::just(kTexts.size() - 1)},
       {20, rc::gen::just(kTexts.size())}});
  return place < kTexts.size() ? kTexts[place]
                               : *rc::gen::string<std::string>();
}

// Draws how many items a container has; one of simple items may have many.
template <typename Item>
std::size_t DrawSize() {
  constexpr std::size_t kMany = 300;
  const auto few = rc::gen::inRange<std::size_t>(0, kMaxDrawnItems + 1);
  if constexpr (std::integral<Item>) {
    return *rc::gen::weightedOneOf<std::size_t>(
        {{10, few}, {1, rc::gen::just(kMany)}});
  } else {
    return *few;
  }
}

inline nlohmann::json DrawTree(int depth) {
  // A list or an object is drawn only where the depth allows one more.
  switch (*rc::gen::inRange(0, depth > 0 ? 8 : 6)) {
    case 0:
      return nullptr;
    case 1:
      return DrawAny<bool>();
    case 2:
      return DrawNumber<std::int64_t>();
    case 3:
      return DrawNumber<std::uint64_t>();
    case 4:
      return DrawReal();
    case 5:
      return DrawText();
    case 6: {
      nlohmann::json list = nlohmann::json::array();
      for (std::size_t left = DrawSize<nlohmann::json>(); left > 0; --left) {
        list.push_back(DrawTree(depth - 1));
      }
      return list;
    }
    default: {
      nlohmann::json object = nlohmann::json::object();
      for (std::size_t left = DrawSize<nlohmann::json>(); left > 0; --left) {
        object[DrawText()] = DrawTree(depth - 1);
      }
      return object;
    }
  }
}

// True if the value is one of the enumerators of its type, which compilers name
// in a function's text; they write any other value as a conversion.
template <auto value>
consteval bool IsEnumerator() {
  return std::string_view(__PRETTY_FUNCTION__).find("= (") ==
         std::string_view::npos;
}

template <NamedEnum Enum>
consteval bool HasName(Enum value) {
  return std::any_of(EnumNames<Enum>::kNames.begin(),
                     EnumNames<Enum>::kNames.end(),
                     [value](const auto& row) { return row.value == value; });
}

template <NamedEnum Enum, int... values>
consteval bool NamesEachOf(std::integer_sequence<int, values...> /*all*/) {
  return ((!IsEnumerator<static_cast<Enum>(values)>() ||
           HasName(static_cast<Enum>(values))) &&
          ...);
}

// True if each enumerator has a name. One without would be written as "?",
// which no reader takes.
template <NamedEnum Enum>
consteval bool NamesAll() {
  constexpr int kMaxValue = 64;
  return NamesEachOf<Enum>(std::make_integer_sequence<int, kMaxValue>());
}

template <typename Variant, std::size_t... places>
Variant DrawAlternative(std::index_sequence<places...> /*all*/) {
  const auto chosen = *rc::gen::inRange<std::size_t>(0, sizeof...(places));
  Variant value;
  ((places == chosen
        ? static_cast<void>(value.template emplace<places>(
              DrawAny<std::variant_alternative_t<places, Variant>>()))
        : static_cast<void>(0)),
   ...);
  return value;
}

}  // namespace internal

template <typename T>
T DrawAny() {
  if constexpr (IsStrongType<T>) {
    return T(DrawAny<typename T::ValueType>());
  } else if constexpr (internal::kIsOptional<T>) {
    return *rc::gen::arbitrary<bool>() ? T(DrawAny<typename T::value_type>())
                                       : T();
  } else if constexpr (internal::kIsDuration<T>) {
    return T(internal::DrawNumber<typename T::rep>());
  } else if constexpr (internal::kIsTimePoint<T>) {
    return T(DrawAny<typename T::duration>());
  } else if constexpr (NamedEnum<T>) {
    static_assert(internal::NamesAll<T>());
    return (*rc::gen::elementOf(EnumNames<T>::kNames)).value;
  } else if constexpr (internal::kIsVector<T> || internal::kIsSet<T>) {
    using Item = typename T::value_type;
    T list;
    for (std::size_t left = internal::DrawSize<Item>(); left > 0; --left) {
      list.insert(list.end(), DrawAny<Item>());
    }
    return list;
  } else if constexpr (internal::kIsMap<T>) {
    using Item = typename T::mapped_type;
    T map;
    for (std::size_t left = internal::DrawSize<Item>(); left > 0; --left) {
      map.insert_or_assign(DrawAny<typename T::key_type>(), DrawAny<Item>());
    }
    return map;
  } else if constexpr (internal::kIsVariant<T>) {
    return internal::DrawAlternative<T>(
        std::make_index_sequence<std::variant_size_v<T>>());
  } else if constexpr (Described<T>) {
    T record{};
    internal::FieldDrawer drawer;
    T::Describe(record, drawer);
    return record;
  } else if constexpr (std::is_same_v<T, bool>) {
    return *rc::gen::arbitrary<bool>();
  } else if constexpr (std::is_same_v<T, std::string>) {
    return internal::DrawText();
  } else if constexpr (std::integral<T>) {
    return internal::DrawNumber<T>();
  } else if constexpr (std::floating_point<T>) {
    return internal::DrawReal();
  } else {
    static_assert(std::is_same_v<T, nlohmann::json>);
    return internal::DrawTree(internal::kMaxDrawnTreeDepth);
  }
}

}  // namespace sumac

#endif  // TESTS_LIBRARIES_CODEC_ARBITRARY_RECORD_H_
