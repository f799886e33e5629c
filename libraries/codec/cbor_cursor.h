// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_CODEC_CBOR_CURSOR_H_
#define LIBRARIES_CODEC_CBOR_CURSOR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "libraries/codec/cbor_writer.h"

namespace sumac::internal {

// The first bytes of an item.
struct CborHead {
  CborType type = CborType::kUnsigned;
  // Its number or size; of a simple value, which one it is, or the bits of a
  // floating-point number.
  std::uint64_t number = 0;
};

// Reads items one after the other from bytes that outlive it. Knows the forms
// that our own writer uses; anything else reads as nothing, and the caller
// turns to a parser that knows them all.
class CborCursor {
 public:
  explicit CborCursor(std::string_view bytes) : rest(bytes) {}

  bool is_at_end() const { return this->rest.empty(); }
  // What has not been read.
  std::string_view remaining() const { return this->rest; }

  // Takes the head of the next item.
  std::optional<CborHead> ReadHead();
  // The next item, which must be a text.
  std::optional<std::string_view> ReadText();
  // Passes over the next item with all that is in it; false if it can't be
  // read.
  bool Skip();

 private:
  static std::optional<CborHead> ReadHeadOf(std::string_view& bytes);

  std::string_view rest;
};

}  // namespace sumac::internal

#endif  // LIBRARIES_CODEC_CBOR_CURSOR_H_
