// SPDX-License-Identifier: Apache-2.0
#include "libraries/codec/cbor_writer.h"

namespace sumac::internal {
namespace {

constexpr std::uint64_t kLargestInHead = 23;
constexpr int kBitsOfByte = 8;

}  // namespace

void WriteCborHead(CborType type, std::uint64_t number, std::string& bytes) {
  const auto type_bits = static_cast<unsigned>(type) << kCborTypeShift;
  if (number <= kLargestInHead) {
    bytes.push_back(static_cast<char>(type_bits | number));
    return;
  }
  // One, two, four or eight bytes follow, the most significant first.
  unsigned size_code = kLargestInHead + 1;
  int size = 1;
  while (size < 8 && (number >> (kBitsOfByte * size)) != 0) {
    size *= 2;
    ++size_code;
  }
  bytes.push_back(static_cast<char>(type_bits | size_code));
  for (int byte = size - 1; byte >= 0; --byte) {
    bytes.push_back(static_cast<char>(number >> (kBitsOfByte * byte)));
  }
}

}  // namespace sumac::internal
