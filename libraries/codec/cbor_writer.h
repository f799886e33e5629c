// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_CODEC_CBOR_WRITER_H_
#define LIBRARIES_CODEC_CBOR_WRITER_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

#include "libraries/codec/describe.h"
#include "libraries/codec/map_key.h"
#include "nlohmann/json.hpp"

namespace sumac::internal {

// The major types of CBOR (RFC 8949, section 3.1) that records use.
enum class CborType : std::uint8_t {
  kUnsigned = 0,
  kNegative = 1,
  kText = 3,
  kArray = 4,
  kMap = 5,
  kSimple = 7,
};

inline constexpr int kCborTypeShift = 5;
inline constexpr char kCborFalse = '\xf4';
inline constexpr char kCborTrue = '\xf5';
inline constexpr char kCborNull = '\xf6';

// Appends the head of an item, its type and its number, in the shortest
// encoding.
void WriteCborHead(CborType type, std::uint64_t number, std::string& bytes);

inline void WriteCborText(std::string_view text, std::string& bytes) {
  WriteCborHead(CborType::kText, text.size(), bytes);
  bytes.append(text);
}

template <typename T>
void WriteCborValue(const T& value, std::string& bytes);

// Returns true for a field that is left out because it has no value.
template <typename T>
bool IsLeftOut(const T& value) {
  if constexpr (kIsOptional<T>) {
    return !value.has_value();
  } else {
    return false;
  }
}

// A visitor that counts the fields that CborWriter writes.
class CborFieldCounter {
 public:
  template <typename T>
  void Field(std::string_view /*name*/,
             const T& value,
             Limits /*limits*/ = {}) {
    this->fields += IsLeftOut(value) ? 0 : 1;
  }
  template <typename T>
  void Required(std::string_view name, const T& value, Limits limits = {}) {
    this->Field(name, value, limits);
  }

  std::uint64_t count() const { return this->fields; }

 private:
  std::uint64_t fields = 0;
};

// A visitor for Describe functions that writes each field of a record.
class CborWriter {
 public:
  explicit CborWriter(std::string& bytes) : bytes(bytes) {}

  template <typename T>
  void Field(std::string_view name, const T& value, Limits /*limits*/ = {}) {
    if (!IsLeftOut(value)) {
      WriteCborText(name, this->bytes);
      WriteCborValue(value, this->bytes);
    }
  }
  template <typename T>
  void Required(std::string_view name, const T& value, Limits limits = {}) {
    this->Field(name, value, limits);
  }

 private:
  std::string& bytes;
};

// Writes a record, with an additional field "type" unless `type_name` is empty.
template <typename T>
void WriteCborRecord(const T& record,
                     std::string_view type_name,
                     std::string& bytes) {
  CborFieldCounter counter;
  T::Describe(record, counter);
  WriteCborHead(CborType::kMap, counter.count() + (type_name.empty() ? 0 : 1),
                bytes);
  if (!type_name.empty()) {
    WriteCborText("type", bytes);
    WriteCborText(type_name, bytes);
  }
  CborWriter writer(bytes);
  T::Describe(record, writer);
}

template <std::integral T>
void WriteCborNumber(T value, std::string& bytes) {
  if (std::is_signed_v<T> && value < T{0}) {
    WriteCborHead(CborType::kNegative,
                  static_cast<std::uint64_t>(-(value + T{1})), bytes);
  } else {
    WriteCborHead(CborType::kUnsigned, static_cast<std::uint64_t>(value),
                  bytes);
  }
}

template <typename T>
void WriteCborValue(const T& value, std::string& bytes) {
  if constexpr (IsStrongType<T>) {
    WriteCborValue(value.value(), bytes);
  } else if constexpr (kIsOptional<T>) {
    if (value.has_value()) {
      WriteCborValue(*value, bytes);
    } else {
      bytes.push_back(kCborNull);
    }
  } else if constexpr (kIsDuration<T>) {
    WriteCborNumber(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count(),
        bytes);
  } else if constexpr (kIsTimePoint<T>) {
    WriteCborValue(value.time_since_epoch(), bytes);
  } else if constexpr (NamedEnum<T>) {
    WriteCborText(NameOf(value), bytes);
  } else if constexpr (kIsVector<T> || kIsSet<T>) {
    WriteCborHead(CborType::kArray, value.size(), bytes);
    for (const auto& item : value) {
      WriteCborValue(item, bytes);
    }
  } else if constexpr (kIsMap<T>) {
    WriteCborHead(CborType::kMap, value.size(), bytes);
    for (const auto& [key, item] : value) {
      WriteCborText(KeyText(key), bytes);
      WriteCborValue(item, bytes);
    }
  } else if constexpr (kIsVariant<T>) {
    std::visit(
        [&bytes](const auto& alternative) {
          WriteCborRecord(alternative, alternative.kTypeName, bytes);
        },
        value);
  } else if constexpr (Described<T>) {
    WriteCborRecord(value, "", bytes);
  } else if constexpr (std::is_same_v<T, bool>) {
    bytes.push_back(value ? kCborTrue : kCborFalse);
  } else if constexpr (std::integral<T>) {
    WriteCborNumber(value, bytes);
  } else if constexpr (std::is_convertible_v<const T&, std::string_view>) {
    WriteCborText(value, bytes);
  } else {
    nlohmann::json::to_cbor(nlohmann::json(value), bytes);
  }
}

}  // namespace sumac::internal

namespace sumac {

// Returns `value` encoded in CBOR (RFC 8949), a compact binary format, for the
// log, snapshots and messages. The content is the same as that of ToJson, but
// no JSON tree is built.
template <typename T>
std::string ToCbor(const T& value) {
  std::string bytes;
  internal::WriteCborValue(value, bytes);
  return bytes;
}

}  // namespace sumac

#endif  // LIBRARIES_CODEC_CBOR_WRITER_H_
