// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_CODEC_CBOR_CURSOR_H_
#define LIBRARIES_CODEC_CBOR_CURSOR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "libraries/codec/cbor_writer.h"

namespace sumac::internal {

// The head of an item (RFC 8949, section 3).
struct CborHead {
  CborType type = CborType::kUnsigned;
  // The value of a number, the size of a text, array or map, the code of a
  // simple value, or the bits of a floating-point number.
  std::uint64_t number = 0;
};

// Reads items one after the other from bytes that must outlive the cursor. It
// supports only the encodings that CborWriter uses and returns nullopt for any
// other; the caller then falls back on a complete parser.
class CborCursor {
 public:
  explicit CborCursor(std::string_view bytes) : rest(bytes) {}

  bool is_at_end() const { return this->rest.empty(); }
  // The bytes that have not been read.
  std::string_view remaining() const { return this->rest; }

  // Reads the head of the next item.
  std::optional<CborHead> ReadHead();
  // Reads the next item, which must be a text.
  std::optional<std::string_view> ReadText();
  // Skips the next item with everything nested in it. Returns false if it can't
  // be read, or is nested deeper than kMaxNesting.
  bool Skip();

 private:
  static std::optional<CborHead> ReadHeadOf(std::string_view& bytes);

  std::string_view rest;
};

}  // namespace sumac::internal

#endif  // LIBRARIES_CODEC_CBOR_CURSOR_H_
