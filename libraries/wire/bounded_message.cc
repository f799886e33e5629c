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

// Reads each object below a pointer once, so that all of them count against the
// limit of the source, the elements of zero size in a list too. The depth is
// limited by the source.
void Walk(capnp::AnyPointer::Reader pointer);

void WalkAll(capnp::List<capnp::AnyPointer>::Reader pointers) {
  for (const auto pointer : pointers) {
    Walk(pointer);
  }
}

void WalkList(capnp::AnyList::Reader list) {
  if (list.getElementSize() == capnp::ElementSize::POINTER) {
    WalkAll(list.as<capnp::List<capnp::AnyPointer>>());
  } else if (list.getElementSize() == capnp::ElementSize::INLINE_COMPOSITE) {
    for (const auto element : list.as<capnp::List<capnp::AnyStruct>>()) {
      WalkAll(element.getPointerSection());
    }
  }
}

void Walk(capnp::AnyPointer::Reader pointer) {
  switch (pointer.getPointerType()) {
    case capnp::PointerType::STRUCT:
      WalkAll(pointer.getAs<capnp::AnyStruct>().getPointerSection());
      break;
    case capnp::PointerType::LIST:
      WalkList(pointer.getAs<capnp::AnyList>());
      break;
    case capnp::PointerType::NULL_:
    case capnp::PointerType::CAPABILITY:
      break;
  }
}

}  // namespace

BoundedMessage::BoundedMessage(capnp::MessageReader& source) {
  Walk(source.getRoot<capnp::AnyPointer>());
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
