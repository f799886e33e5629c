// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_CODEC_JSON_WRITER_H_
#define LIBRARIES_CODEC_JSON_WRITER_H_

#include <string>
#include <string_view>
#include <variant>

#include "libraries/codec/describe.h"
#include "libraries/codec/map_key.h"
#include "nlohmann/json.hpp"

namespace sumac {

// Converts `value` to JSON. Durations are numbers of milliseconds, times are
// milliseconds since the Unix epoch, enumerators are their names, and variants
// are objects with a key "type".
template <typename T>
nlohmann::json ToJson(const T& value);

namespace internal {

// A visitor for Describe functions that writes each field into one JSON object.
class JsonWriter {
 public:
  explicit JsonWriter(nlohmann::json& object) : object(object) {}

  template <typename T>
  void Field(std::string_view name, const T& value, Limits /*limits*/ = {}) {
    if constexpr (kIsOptional<T>) {
      if (!value.has_value()) {
        return;
      }
    }
    this->object[std::string(name)] = ToJson(value);
  }

  template <typename T>
  void Required(std::string_view name, const T& value, Limits limits = {}) {
    this->Field(name, value, limits);
  }

 private:
  nlohmann::json& object;
};

}  // namespace internal

template <typename T>
nlohmann::json ToJson(const T& value) {
  if constexpr (IsStrongType<T>) {
    return ToJson(value.value());
  } else if constexpr (internal::kIsOptional<T>) {
    return value.has_value() ? ToJson(*value) : nlohmann::json();
  } else if constexpr (internal::kIsDuration<T>) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
  } else if constexpr (internal::kIsTimePoint<T>) {
    return ToJson(value.time_since_epoch());
  } else if constexpr (NamedEnum<T>) {
    return std::string(NameOf(value));
  } else if constexpr (internal::kIsVector<T> || internal::kIsSet<T>) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& item : value) {
      list.push_back(ToJson(item));
    }
    return list;
  } else if constexpr (internal::kIsMap<T>) {
    nlohmann::json object = nlohmann::json::object();
    for (const auto& [key, item] : value) {
      object[internal::KeyText(key)] = ToJson(item);
    }
    return object;
  } else if constexpr (internal::kIsVariant<T>) {
    return std::visit(
        [](const auto& alternative) {
          nlohmann::json object = ToJson(alternative);
          object["type"] = std::string(alternative.kTypeName);
          return object;
        },
        value);
  } else if constexpr (Described<T>) {
    nlohmann::json object = nlohmann::json::object();
    internal::JsonWriter writer(object);
    T::Describe(value, writer);
    return object;
  } else {
    return nlohmann::json(value);
  }
}

}  // namespace sumac

#endif  // LIBRARIES_CODEC_JSON_WRITER_H_
