// SPDX-License-Identifier: Apache-2.0
#include "libraries/codec/cbor_reader.h"

namespace sumac::internal {

bool CborFields::Read(CborCursor& cursor) {
  const std::optional<CborHead> head = cursor.ReadHead();
  if (!head || head->type != CborType::kMap || head->number > kMaxFields) {
    return false;
  }
  this->count = head->number;
  for (std::size_t place = 0; place < this->count; ++place) {
    const std::optional<std::string_view> name = cursor.ReadText();
    const std::string_view from = cursor.remaining();
    if (!name || !cursor.Skip()) {
      return false;
    }
    this->fields[place] = {
        *name, from.substr(0, from.size() - cursor.remaining().size())};
  }
  return true;
}

// NOTE: Of fields with one name the last counts, as in a tree.
std::optional<std::string_view> CborFields::Find(std::string_view name) const {
  for (std::size_t place = this->count; place > 0; --place) {
    if (this->fields[place - 1].first == name) {
      return this->fields[place - 1].second;
    }
  }
  return std::nullopt;
}

bool ReadCborBool(CborCursor& cursor, bool& value) {
  const std::string_view rest = cursor.remaining();
  const bool is_bool = !rest.empty() && (rest.front() == kCborTrue ||
                                         rest.front() == kCborFalse);
  value = is_bool && rest.front() == kCborTrue;
  return is_bool && cursor.Skip();
}

bool ReadCborTree(CborCursor& cursor, nlohmann::json& tree) {
  const std::string_view from = cursor.remaining();
  if (!cursor.Skip()) {
    return false;
  }
  tree = nlohmann::json::from_cbor(
      from.substr(0, from.size() - cursor.remaining().size()), true, false);
  return !tree.is_discarded();
}

}  // namespace sumac::internal
