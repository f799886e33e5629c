// SPDX-License-Identifier: Apache-2.0
#include "libraries/codec/json_reader.h"

#include <cmath>

#include "libraries/codec/cbor_cursor.h"
#include "libraries/codec/nesting.h"

namespace sumac {
namespace internal {
namespace {

constexpr std::size_t kMaxExcerptLength = 60;

std::string PathText(std::string_view path) {
  return path.empty() ? "/" : std::string(path);
}

}  // namespace

void ReadContext::Fail(std::string_view path,
                       std::string_view found,
                       std::string_view allowed) {
  if (this->status.ok()) {
    this->status = MakeError(this->codes.invalid,
                             StrCat(this->source, ": ", PathText(path),
                                    ": found ", found, ", allowed: ", allowed));
  }
}

void ReadContext::FailUnknownKey(std::string_view path) {
  if (this->status.ok()) {
    this->status = MakeError(this->codes.unknown_key,
                             StrCat(this->source, ": ", path, ": unknown key"));
  }
}

std::string Excerpt(const nlohmann::json& value) {
  std::string text =
      value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxExcerptLength) {
    text.resize(kMaxExcerptLength);
    text += "...";
  }
  return text;
}

std::string LimitsText(Limits limits, bool is_integer) {
  const std::string_view kind = is_integer ? "a whole number" : "a number";
  if (std::isinf(limits.lowest)) {
    return std::string(kind);
  }
  if (limits.highest == std::numeric_limits<double>::max()) {
    return StrCat(kind, " from ", limits.lowest);
  }
  return StrCat(kind, " from ", limits.lowest, " to ", limits.highest);
}

void JsonReader::CheckUnknownKeys() {
  if (this->context.unknown_keys == UnknownKeys::kIgnore) {
    return;
  }
  for (const auto& [key, value] : this->object.items()) {
    if (!this->seen.contains(key)) {
      this->context.FailUnknownKey(StrCat(this->path, "/", key));
    }
  }
}

}  // namespace internal

absl::StatusOr<nlohmann::json> ParseJson(std::string_view text,
                                         std::string_view source,
                                         ResultCode code) {
  if (IsNestedDeeperThan(text, kMaxNesting)) {
    return MakeError(code, StrCat(source, ": nested deeper than ", kMaxNesting,
                                  " lists and objects"));
  }
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::parse_error& error) {
    return MakeError(code, StrCat(source, ": not JSON at byte ", error.byte));
  } catch (const nlohmann::json::exception&) {
    return MakeError(
        code, StrCat(source, ": a number is beyond the range of numbers"));
  }
}

absl::StatusOr<nlohmann::json> ParseCbor(std::string_view bytes,
                                         std::string_view source) {
  // The parser takes a stack frame for each level.
  if (!internal::CborCursor(bytes).Skip()) {
    return MakeError(ResultCode::kMalformedMessage,
                     StrCat(source, ": not CBOR, or nested too deeply"));
  }
  try {
    return nlohmann::json::from_cbor(bytes);
  } catch (const nlohmann::json::parse_error& error) {
    return MakeError(ResultCode::kMalformedMessage,
                     StrCat(source, ": not CBOR at byte ", error.byte));
  } catch (const nlohmann::json::exception&) {
    return MakeError(ResultCode::kMalformedMessage,
                     StrCat(source, ": not CBOR of this system"));
  }
}

}  // namespace sumac
