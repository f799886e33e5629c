// SPDX-License-Identifier: Apache-2.0
#include "libraries/wire/bounded_message.h"

#include <capnp/any.h>
#include <kj/exception.h>

#include <cstring>
#include <limits>

namespace sumac::wire {
namespace {

capnp::ReaderOptions WithoutLimit() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = std::numeric_limits<std::uint64_t>::max();
  return options;
}

}  // namespace

BoundedMessage::BoundedMessage(capnp::MessageReader& source) {
  source.getRoot<capnp::AnyPointer>().targetSize();
  for (unsigned id = 0;; ++id) {
    const kj::ArrayPtr<const capnp::word> segment = source.getSegment(id);
    if (segment == nullptr) {
      break;
    }
    this->segments.push_back(segment);
  }
  this->reader.emplace(
      kj::arrayPtr(this->segments.data(), this->segments.size()),
      WithoutLimit());
}

namespace internal {

kj::Array<capnp::word> CopyToWords(std::string_view bytes) {
  KJ_REQUIRE(bytes.size() % sizeof(capnp::word) == 0,
             "the message ends within a word");
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
  return words;
}

capnp::ReaderOptions OptionsForSize(const kj::Array<capnp::word>& words) {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = words.size();
  return options;
}

}  // namespace internal

}  // namespace sumac::wire
