// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_CODEC_JSON_READER_H_
#define LIBRARIES_CODEC_JSON_READER_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/codec/describe.h"
#include "libraries/codec/map_key.h"
#include "nlohmann/json.hpp"

namespace sumac {

// Whether a key without a matching field is an error (for files that people
// write) or ignored (for records that a newer program may have written).
enum class UnknownKeys { kRefuse, kIgnore };

// The result codes of a reader's errors, which depend on the source of the
// JSON.
struct ReaderCodes {
  ResultCode invalid = ResultCode::kMalformedMessage;
  ResultCode unknown_key = ResultCode::kMalformedMessage;
};

namespace internal {

// The state shared by all nesting levels of one read: the name of the source,
// the rules and the first error.
struct ReadContext {
  std::string source;
  UnknownKeys unknown_keys = UnknownKeys::kIgnore;
  ReaderCodes codes;
  absl::Status status;
  // Whether numbers must be within the limits of their fields.
  bool has_limits = true;

  // Records an error, unless one is recorded already: its place, the value
  // found and the values allowed.
  void Fail(std::string_view path,
            std::string_view found,
            std::string_view allowed);

  // Records an unknown key as the error, unless one is recorded already.
  void FailUnknownKey(std::string_view path);
};

// The range of all numbers.
inline constexpr Limits kNoLimits{-std::numeric_limits<double>::infinity(),
                                  std::numeric_limits<double>::infinity()};

// Returns the JSON text of a value, shortened for error messages.
std::string Excerpt(const nlohmann::json& value);

// Returns a text like "a whole number from 1 to 64" for error messages.
std::string LimitsText(Limits limits, bool is_integer);

template <typename T>
void ReadValue(const nlohmann::json& json,
               T& value,
               const std::string& path,
               Limits limits,
               ReadContext& context);

// A visitor for Describe functions that reads each field from one JSON object.
class JsonReader {
 public:
  JsonReader(const nlohmann::json& object,
             std::string path,
             ReadContext& context)
      : object(object), path(std::move(path)), context(context) {}

  template <typename T>
  void Field(std::string_view name, T& value, Limits limits = {}) {
    this->seen.insert(std::string(name));
    const auto found = this->object.find(name);
    if (found != this->object.end()) {
      ReadValue(*found, value, StrCat(this->path, "/", name), limits,
                this->context);
    }
  }

  template <typename T>
  void Required(std::string_view name, T& value, Limits limits = {}) {
    if (!this->object.contains(name)) {
      this->context.Fail(StrCat(this->path, "/", name), "nothing",
                         "a value is required");
    }
    this->Field(name, value, limits);
  }

  // Marks a key that the caller reads itself as known.
  void Accept(std::string_view name) { this->seen.insert(std::string(name)); }

  // Records an error for the first key without a matching field.
  void CheckUnknownKeys();

 private:
  const nlohmann::json& object;
  std::string path;
  ReadContext& context;
  std::set<std::string> seen;
};

template <typename T>
void ReadRecord(const nlohmann::json& json,
                T& record,
                const std::string& path,
                ReadContext& context,
                std::string_view extra_key = {}) {
  if (!json.is_object()) {
    context.Fail(path, Excerpt(json), "an object");
    return;
  }
  JsonReader reader(json, path, context);
  if (!extra_key.empty()) {
    reader.Accept(extra_key);
  }
  T::Describe(record, reader);
  reader.CheckUnknownKeys();
}

// Returns true if a T can hold a whole number.
template <std::integral T>
bool HoldsNumber(const nlohmann::json& json) {
  return json.is_number_unsigned() ? std::in_range<T>(json.get<std::uint64_t>())
                                   : std::in_range<T>(json.get<std::int64_t>());
}

template <typename T>
void ReadNumber(const nlohmann::json& json,
                T& value,
                const std::string& path,
                Limits limits_of_field,
                ReadContext& context) {
  constexpr bool kIsInteger = std::integral<T>;
  const Limits limits = context.has_limits ? limits_of_field : kNoLimits;
  const bool has_type =
      kIsInteger ? json.is_number_integer() : json.is_number();
  const bool is_negative = json.is_number() && json.get<double>() < 0;
  const bool has_sign_error = std::is_unsigned_v<T> && is_negative;
  if (!has_type || has_sign_error || json.get<double>() < limits.lowest ||
      json.get<double>() > limits.highest) {
    context.Fail(path, Excerpt(json), LimitsText(limits, kIsInteger));
    return;
  }
  if constexpr (kIsInteger) {
    if (!HoldsNumber<T>(json)) {
      constexpr std::numeric_limits<T> kType;
      context.Fail(path, Excerpt(json),
                   LimitsText({std::max<double>(limits.lowest, kType.min()),
                               std::min<double>(limits.highest, kType.max())},
                              kIsInteger));
      return;
    }
  }
  value = json.get<T>();
}

template <typename T>
void ReadEnum(const nlohmann::json& json,
              T& value,
              const std::string& path,
              ReadContext& context) {
  if (json.is_string()) {
    if (const auto parsed = ParseEnum<T>(json.get_ref<const std::string&>())) {
      value = *parsed;
      return;
    }
  }
  std::string allowed = "one of";
  for (const auto& row : EnumNames<T>::kNames) {
    StrAppend(&allowed, " ", row.name);
  }
  context.Fail(path, Excerpt(json), allowed);
}

template <typename T>
void ReadList(const nlohmann::json& json,
              T& list,
              const std::string& path,
              Limits limits,
              ReadContext& context) {
  if (!json.is_array()) {
    context.Fail(path, Excerpt(json), "a list");
    return;
  }
  list.clear();
  for (std::size_t position = 0; position < json.size(); ++position) {
    typename T::value_type item{};
    ReadValue(json[position], item, StrCat(path, "/", position), limits,
              context);
    list.insert(list.end(), std::move(item));
  }
}

template <typename T>
void ReadMap(const nlohmann::json& json,
             T& map,
             const std::string& path,
             Limits limits,
             ReadContext& context) {
  if (!json.is_object()) {
    context.Fail(path, Excerpt(json), "an object");
    return;
  }
  map.clear();
  for (const auto& [text, item] : json.items()) {
    typename T::key_type key{};
    if (!ParseKey(text, key)) {
      context.Fail(path, text, "a whole number as key");
      return;
    }
    ReadValue(item, map[key], StrCat(path, "/", text), limits, context);
  }
}

template <typename... Alternatives>
void ReadVariant(const nlohmann::json& json,
                 std::variant<Alternatives...>& value,
                 const std::string& path,
                 ReadContext& context) {
  const auto found = json.find("type");
  const bool has_text = found != json.end() && found->is_string();
  const std::string type = has_text              ? found->get<std::string>()
                           : found != json.end() ? Excerpt(*found)
                                                 : "";
  bool is_known = false;
  const auto try_alternative = [&]<typename Alternative>() {
    if (is_known || !has_text || type != Alternative::kTypeName) {
      return;
    }
    is_known = true;
    Alternative alternative;
    ReadRecord(json, alternative, path, context, "type");
    value = std::move(alternative);
  };
  (try_alternative.template operator()<Alternatives>(), ...);
  if (!is_known) {
    context.Fail(StrCat(path, "/type"), type, "a known type");
  }
}

template <typename T>
void ReadValue(const nlohmann::json& json,
               T& value,
               const std::string& path,
               Limits limits,
               ReadContext& context) {
  if constexpr (IsStrongType<T>) {
    typename T::ValueType inner{};
    ReadValue(json, inner, path, limits, context);
    value = T(std::move(inner));
  } else if constexpr (kIsOptional<T>) {
    typename T::value_type inner{};
    ReadValue(json, inner, path, limits, context);
    value = std::move(inner);
  } else if constexpr (kIsDuration<T>) {
    std::int64_t count = 0;
    ReadNumber(json, count, path, limits, context);
    value = std::chrono::duration_cast<T>(std::chrono::milliseconds(count));
  } else if constexpr (kIsTimePoint<T>) {
    typename T::duration since_epoch{};
    ReadValue(json, since_epoch, path, limits, context);
    value = T(since_epoch);
  } else if constexpr (NamedEnum<T>) {
    ReadEnum(json, value, path, context);
  } else if constexpr (kIsVector<T> || kIsSet<T>) {
    ReadList(json, value, path, limits, context);
  } else if constexpr (kIsMap<T>) {
    ReadMap(json, value, path, limits, context);
  } else if constexpr (kIsVariant<T>) {
    ReadVariant(json, value, path, context);
  } else if constexpr (Described<T>) {
    ReadRecord(json, value, path, context);
  } else if constexpr (std::is_same_v<T, nlohmann::json>) {
    value = json;
  } else if constexpr (std::is_same_v<T, bool>) {
    if (!json.is_boolean()) {
      context.Fail(path, Excerpt(json), "true or false");
      return;
    }
    value = json.get<bool>();
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (!json.is_string()) {
      context.Fail(path, Excerpt(json), "a string");
      return;
    }
    value = json.get<std::string>();
  } else {
    ReadNumber(json, value, path, limits, context);
  }
}

}  // namespace internal

// Reads a T from parsed JSON that people or other programs wrote. The error
// message names `source`, the path of the key, the value found and the values
// allowed.
template <typename T>
absl::StatusOr<T> FromJson(const nlohmann::json& json,
                           std::string_view source,
                           UnknownKeys unknown_keys,
                           ReaderCodes codes = {}) {
  T value{};
  internal::ReadContext context{std::string(source), unknown_keys, codes,
                                absl::OkStatus()};
  internal::ReadValue(json, value, "", Limits{}, context);
  if (!context.status.ok()) {
    return context.status;
  }
  return value;
}

// Reads a T from JSON that a process of this system wrote. Limits don't apply,
// since the writer applies none, and unknown keys are ignored.
template <typename T>
absl::StatusOr<T> FromOwnJson(const nlohmann::json& json,
                              std::string_view source) {
  T value{};
  internal::ReadContext context{.source = std::string(source),
                                .has_limits = false};
  internal::ReadValue(json, value, "", Limits{}, context);
  if (!context.status.ok()) {
    return context.status;
  }
  return value;
}

// Parses JSON text. An error has the code `code`, and its message names
// `source` and the position.
absl::StatusOr<nlohmann::json> ParseJson(std::string_view text,
                                         std::string_view source,
                                         ResultCode code);

// Parses CBOR bytes into a JSON tree. An error has the code kMalformedMessage.
absl::StatusOr<nlohmann::json> ParseCbor(std::string_view bytes,
                                         std::string_view source);

}  // namespace sumac

#endif  // LIBRARIES_CODEC_JSON_READER_H_
