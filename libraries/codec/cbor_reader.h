// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_CODEC_CBOR_READER_H_
#define LIBRARIES_CODEC_CBOR_READER_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include "absl/status/statusor.h"
#include "libraries/codec/cbor_cursor.h"
#include "libraries/codec/describe.h"
#include "libraries/codec/json_reader.h"
#include "libraries/codec/map_key.h"
#include "nlohmann/json.hpp"

namespace sumac::internal {

// Reads the next item. False if it is not as expected; the cursor and the value
// are of no use then.
template <typename T>
bool ReadCborValue(CborCursor& cursor, T& value, Limits limits);

// Where the fields of one record are.
class CborFields {
 public:
  // Reads a whole map; false if it can't, or if the map has more fields than
  // any record of ours.
  bool Read(CborCursor& cursor);

  // The bytes of a field's value; nothing if the record lacks it.
  std::optional<std::string_view> Find(std::string_view name) const;

 private:
  static constexpr std::size_t kMaxFields = 40;

  std::array<std::pair<std::string_view, std::string_view>, kMaxFields> fields;
  std::size_t count = 0;
};

// Reads each described field.
class CborReader {
 public:
  explicit CborReader(const CborFields& fields) : fields(fields) {}

  template <typename T>
  void Field(std::string_view name, T& value, Limits limits = {}) {
    this->Read(name, value, limits, false);
  }
  template <typename T>
  void Required(std::string_view name, T& value, Limits limits = {}) {
    this->Read(name, value, limits, true);
  }

  bool is_good() const { return this->is_all_good; }

 private:
  template <typename T>
  void Read(std::string_view name, T& value, Limits limits, bool is_required) {
    const std::optional<std::string_view> bytes =
        this->is_all_good ? this->fields.Find(name) : std::nullopt;
    if (!bytes) {
      this->is_all_good = this->is_all_good && !is_required;
      return;
    }
    CborCursor cursor(*bytes);
    this->is_all_good = ReadCborValue(cursor, value, limits);
  }

  const CborFields& fields;
  bool is_all_good = true;
};

template <typename T>
bool ReadCborRecord(const CborFields& fields, T& record) {
  CborReader reader(fields);
  T::Describe(record, reader);
  return reader.is_good();
}

template <std::integral T>
bool ReadCborNumber(CborCursor& cursor, T& value, Limits limits) {
  const std::optional<CborHead> head = cursor.ReadHead();
  if (!head || head->number > static_cast<std::uint64_t>(
                                  std::numeric_limits<std::int64_t>::max())) {
    return false;
  }
  const bool is_negative = head->type == CborType::kNegative;
  if (head->type != CborType::kUnsigned &&
      !(is_negative && std::is_signed_v<T>)) {
    return false;
  }
  const auto number = static_cast<std::int64_t>(head->number);
  const std::int64_t read = is_negative ? -1 - number : number;
  const auto compared = static_cast<double>(read);
  if (compared < limits.lowest || compared > limits.highest) {
    return false;
  }
  value = static_cast<T>(read);
  return true;
}

template <typename T>
bool ReadCborList(CborCursor& cursor, T& list, Limits limits) {
  const std::optional<CborHead> head = cursor.ReadHead();
  if (!head || head->type != CborType::kArray) {
    return false;
  }
  list.clear();
  for (std::uint64_t position = 0; position < head->number; ++position) {
    typename T::value_type item{};
    if (!ReadCborValue(cursor, item, limits)) {
      return false;
    }
    list.insert(list.end(), std::move(item));
  }
  return true;
}

template <typename T>
bool ReadCborMap(CborCursor& cursor, T& map, Limits limits) {
  const std::optional<CborHead> head = cursor.ReadHead();
  if (!head || head->type != CborType::kMap) {
    return false;
  }
  map.clear();
  for (std::uint64_t position = 0; position < head->number; ++position) {
    const std::optional<std::string_view> text = cursor.ReadText();
    typename T::key_type key{};
    typename T::mapped_type item{};
    if (!text || !ParseKey(std::string(*text), key) ||
        !ReadCborValue(cursor, item, limits)) {
      return false;
    }
    map.insert_or_assign(std::move(key), std::move(item));
  }
  return true;
}

template <typename... Alternatives>
bool ReadCborVariant(CborCursor& cursor, std::variant<Alternatives...>& value) {
  CborFields fields;
  if (!fields.Read(cursor)) {
    return false;
  }
  const std::optional<std::string_view> bytes = fields.Find("type");
  if (!bytes) {
    return false;
  }
  const std::optional<std::string_view> type = CborCursor(*bytes).ReadText();
  bool is_good = false;
  const auto try_alternative = [&]<typename Alternative>() {
    if (type && *type == Alternative::kTypeName) {
      Alternative alternative;
      is_good = ReadCborRecord(fields, alternative);
      value = std::move(alternative);
    }
  };
  (try_alternative.template operator()<Alternatives>(), ...);
  return is_good;
}

bool ReadCborBool(CborCursor& cursor, bool& value);
bool ReadCborTree(CborCursor& cursor, nlohmann::json& tree);

template <typename T>
bool ReadCborValue(CborCursor& cursor, T& value, Limits limits) {
  if constexpr (IsStrongType<T>) {
    typename T::ValueType inner{};
    const bool is_good = ReadCborValue(cursor, inner, limits);
    value = T(std::move(inner));
    return is_good;
  } else if constexpr (kIsOptional<T>) {
    typename T::value_type inner{};
    const bool is_good = ReadCborValue(cursor, inner, limits);
    value = std::move(inner);
    return is_good;
  } else if constexpr (kIsDuration<T>) {
    std::int64_t count = 0;
    const bool is_good = ReadCborNumber(cursor, count, limits);
    value = std::chrono::duration_cast<T>(std::chrono::milliseconds(count));
    return is_good;
  } else if constexpr (kIsTimePoint<T>) {
    typename T::duration since_epoch{};
    const bool is_good = ReadCborValue(cursor, since_epoch, limits);
    value = T(since_epoch);
    return is_good;
  } else if constexpr (NamedEnum<T>) {
    const std::optional<std::string_view> text = cursor.ReadText();
    const std::optional<T> parsed = text ? ParseEnum<T>(*text) : std::nullopt;
    value = parsed.value_or(value);
    return parsed.has_value();
  } else if constexpr (kIsVector<T> || kIsSet<T>) {
    return ReadCborList(cursor, value, limits);
  } else if constexpr (kIsMap<T>) {
    return ReadCborMap(cursor, value, limits);
  } else if constexpr (kIsVariant<T>) {
    return ReadCborVariant(cursor, value);
  } else if constexpr (Described<T>) {
    CborFields fields;
    return fields.Read(cursor) && ReadCborRecord(fields, value);
  } else if constexpr (std::is_same_v<T, bool>) {
    return ReadCborBool(cursor, value);
  } else if constexpr (std::is_same_v<T, std::string>) {
    const std::optional<std::string_view> text = cursor.ReadText();
    value = text.value_or(std::string_view());
    return text.has_value();
  } else if constexpr (std::integral<T>) {
    return ReadCborNumber(cursor, value, limits);
  } else if constexpr (std::is_same_v<T, nlohmann::json>) {
    return ReadCborTree(cursor, value);
  } else {
    // Rare enough for a tree.
    return false;
  }
}

}  // namespace sumac::internal

namespace sumac {

// Reads a T from CBOR that one of our own processes wrote, without a tree. What
// is not as our writer writes it is read once more by way of one, which knows
// all forms and says what is wrong.
template <typename T>
absl::StatusOr<T> FromCbor(std::string_view bytes, std::string_view source) {
  {
    T value{};
    internal::CborCursor cursor(bytes);
    if (internal::ReadCborValue(cursor, value, Limits{}) &&
        cursor.is_at_end()) {
      return value;
    }
  }
  absl::StatusOr<nlohmann::json> json = ParseCbor(bytes, source);
  if (!json.ok()) {
    return json.status();
  }
  return FromJson<T>(*json, source, UnknownKeys::kIgnore);
}

}  // namespace sumac

#endif  // LIBRARIES_CODEC_CBOR_READER_H_
