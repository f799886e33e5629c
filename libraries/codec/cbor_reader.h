// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_CODEC_CBOR_READER_H_
#define LIBRARIES_CODEC_CBOR_READER_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
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

// Reads the next item into `value`. Returns false if the item doesn't have the
// expected type or encoding; the cursor and the value must not be used then.
template <typename T>
bool ReadCborValue(CborCursor& cursor, T& value);

// The names of the fields of one encoded record and the bytes of their values.
class CborFields {
 public:
  // Reads a whole map. Returns false if it can't be read or has more than
  // kMaxFields fields; no record of this system has more.
  bool Read(CborCursor& cursor);

  // Returns the bytes of a field's value, or nullopt if the record doesn't have
  // the field.
  std::optional<std::string_view> Find(std::string_view name) const;

 private:
  static constexpr std::size_t kMaxFields = 40;

  std::array<std::pair<std::string_view, std::string_view>, kMaxFields> fields;
  std::size_t count = 0;
};

// A visitor for Describe functions that reads each field of a record. It leaves
// the limits to the readers of input: the writer applies none, and a process
// must be able to read all that it wrote.
class CborReader {
 public:
  explicit CborReader(const CborFields& fields) : fields(fields) {}

  template <typename T>
  void Field(std::string_view name, T& value, Limits /*limits*/ = {}) {
    this->Read(name, value, false);
  }
  template <typename T>
  void Required(std::string_view name, T& value, Limits /*limits*/ = {}) {
    this->Read(name, value, true);
  }

  bool is_good() const { return this->is_all_good; }

 private:
  template <typename T>
  void Read(std::string_view name, T& value, bool is_required) {
    const std::optional<std::string_view> bytes =
        this->is_all_good ? this->fields.Find(name) : std::nullopt;
    if (!bytes) {
      this->is_all_good = this->is_all_good && !is_required;
      return;
    }
    CborCursor cursor(*bytes);
    this->is_all_good = ReadCborValue(cursor, value);
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
bool ReadCborNumber(CborCursor& cursor, T& value) {
  const std::optional<CborHead> head = cursor.ReadHead();
  if (!head) {
    return false;
  }
  if (head->type == CborType::kUnsigned && std::in_range<T>(head->number)) {
    value = static_cast<T>(head->number);
    return true;
  }
  if (head->type == CborType::kNegative &&
      std::in_range<std::int64_t>(head->number) &&
      std::in_range<T>(-1 - static_cast<std::int64_t>(head->number))) {
    value = static_cast<T>(-1 - static_cast<std::int64_t>(head->number));
    return true;
  }
  return false;
}

template <typename T>
bool ReadCborList(CborCursor& cursor, T& list) {
  const std::optional<CborHead> head = cursor.ReadHead();
  if (!head || head->type != CborType::kArray) {
    return false;
  }
  list.clear();
  for (std::uint64_t position = 0; position < head->number; ++position) {
    typename T::value_type item{};
    if (!ReadCborValue(cursor, item)) {
      return false;
    }
    list.insert(list.end(), std::move(item));
  }
  return true;
}

template <typename T>
bool ReadCborMap(CborCursor& cursor, T& map) {
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
        !ReadCborValue(cursor, item)) {
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
bool ReadCborValue(CborCursor& cursor, T& value) {
  if constexpr (IsStrongType<T>) {
    typename T::ValueType inner{};
    const bool is_good = ReadCborValue(cursor, inner);
    value = T(std::move(inner));
    return is_good;
  } else if constexpr (kIsOptional<T>) {
    typename T::value_type inner{};
    const bool is_good = ReadCborValue(cursor, inner);
    value = std::move(inner);
    return is_good;
  } else if constexpr (kIsDuration<T>) {
    std::int64_t count = 0;
    const bool is_good = ReadCborNumber(cursor, count);
    value = std::chrono::duration_cast<T>(std::chrono::milliseconds(count));
    return is_good;
  } else if constexpr (kIsTimePoint<T>) {
    typename T::duration since_epoch{};
    const bool is_good = ReadCborValue(cursor, since_epoch);
    value = T(since_epoch);
    return is_good;
  } else if constexpr (NamedEnum<T>) {
    const std::optional<std::string_view> text = cursor.ReadText();
    const std::optional<T> parsed = text ? ParseEnum<T>(*text) : std::nullopt;
    value = parsed.value_or(value);
    return parsed.has_value();
  } else if constexpr (kIsVector<T> || kIsSet<T>) {
    return ReadCborList(cursor, value);
  } else if constexpr (kIsMap<T>) {
    return ReadCborMap(cursor, value);
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
    return ReadCborNumber(cursor, value);
  } else if constexpr (std::is_same_v<T, nlohmann::json>) {
    return ReadCborTree(cursor, value);
  } else {
    // Other types are rare; FromCbor reads them by way of a JSON tree.
    return false;
  }
}

}  // namespace sumac::internal

namespace sumac {

// Reads a T from CBOR that a process of this system wrote, without building a
// JSON tree. Each field may hold any value of its type. Bytes that differ from
// the output of CborWriter are read again by way of a JSON tree, which supports
// all encodings and gives exact error messages.
template <typename T>
absl::StatusOr<T> FromCbor(std::string_view bytes, std::string_view source) {
  {
    T value{};
    internal::CborCursor cursor(bytes);
    if (internal::ReadCborValue(cursor, value) && cursor.is_at_end()) {
      return value;
    }
  }
  absl::StatusOr<nlohmann::json> json = ParseCbor(bytes, source);
  if (!json.ok()) {
    return json.status();
  }
  return FromOwnJson<T>(*json, source);
}

}  // namespace sumac

#endif  // LIBRARIES_CODEC_CBOR_READER_H_
