// SPDX-License-Identifier: Apache-2.0
#include "libraries/codec/cbor_cursor.h"

#include <array>
#include <limits>

#include "libraries/codec/nesting.h"

namespace sumac::internal {
namespace {

constexpr unsigned kNumberMask = 0x1f;
constexpr unsigned kLargestInHead = 23;
constexpr unsigned kLargestSizeCode = 27;
constexpr int kBitsOfByte = 8;
// The code of a simple value in a separate byte, an encoding that CborWriter
// doesn't use.
constexpr unsigned kSimpleInByte = 24;

bool IsKnown(unsigned type) {
  return type <= static_cast<unsigned>(CborType::kSimple) && type != 2 &&
         type != 6;
}

}  // namespace

std::optional<CborHead> CborCursor::ReadHeadOf(std::string_view& bytes) {
  if (bytes.empty()) {
    return std::nullopt;
  }
  const auto first = static_cast<unsigned char>(bytes.front());
  const unsigned type = first >> kCborTypeShift;
  const unsigned code = first & kNumberMask;
  const bool is_simple = type == static_cast<unsigned>(CborType::kSimple);
  if (!IsKnown(type) || code > kLargestSizeCode ||
      (is_simple && code == kSimpleInByte)) {
    return std::nullopt;
  }
  bytes.remove_prefix(1);
  CborHead head{static_cast<CborType>(type), code};
  if (code <= kLargestInHead) {
    return head;
  }
  const std::size_t size = std::size_t{1} << (code - kLargestInHead - 1);
  if (bytes.size() < size) {
    return std::nullopt;
  }
  head.number = 0;
  for (std::size_t byte = 0; byte < size; ++byte) {
    head.number =
        (head.number << kBitsOfByte) | static_cast<unsigned char>(bytes[byte]);
  }
  bytes.remove_prefix(size);
  return head;
}

std::optional<CborHead> CborCursor::ReadHead() {
  return ReadHeadOf(this->rest);
}

std::optional<std::string_view> CborCursor::ReadText() {
  const std::optional<CborHead> head = this->ReadHead();
  if (!head || head->type != CborType::kText ||
      head->number > this->rest.size()) {
    return std::nullopt;
  }
  const std::string_view text = this->rest.substr(0, head->number);
  this->rest.remove_prefix(head->number);
  return text;
}

// NOTE: Counts the remaining items rather than recursing, so that no input can
// overflow the stack. Each item takes at least one byte, so the number of bytes
// bounds the count.
bool CborCursor::Skip() {
  // How many items are left at each level that is open.
  std::array<std::uint64_t, kMaxNesting + 1> left;
  std::size_t depth = 0;
  left[0] = 1;
  while (true) {
    while (left[depth] == 0) {
      if (depth == 0) {
        return true;
      }
      --depth;
    }
    const std::optional<CborHead> head = this->ReadHead();
    if (!head) {
      return false;
    }
    --left[depth];
    if (head->type == CborType::kText) {
      if (head->number > this->rest.size()) {
        return false;
      }
      this->rest.remove_prefix(head->number);
    } else if (head->type == CborType::kArray || head->type == CborType::kMap) {
      if (head->number > this->rest.size() || depth == kMaxNesting) {
        return false;
      }
      left[++depth] = head->number * (head->type == CborType::kMap ? 2 : 1);
    }
  }
}

}  // namespace sumac::internal
