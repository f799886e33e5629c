// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_WIRE_BOUNDED_MESSAGE_H_
#define LIBRARIES_WIRE_BOUNDED_MESSAGE_H_

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/common.h>

#include <optional>
#include <string_view>
#include <vector>

namespace sumac::wire {

// A Cap'n Proto message that was checked as a whole before anything of it is
// read. Pointers of a hostile message may lead to the same object again and
// again, so that little input takes much work. Such a message is refused here,
// and what was accepted may be read any number of times: no limit depends on
// how often a reader looks at a field.
class BoundedMessage {
 public:
  // Checks the message of `source`, which must outlive this object. Throws
  // kj::Exception if it is malformed, or if its objects, each counted as often
  // as a pointer leads to it, exceed the traversal limit of `source`.
  explicit BoundedMessage(capnp::MessageReader& source);
  BoundedMessage(const BoundedMessage&) = delete;
  BoundedMessage& operator=(const BoundedMessage&) = delete;

  // Returns the root of the message.
  template <typename Root>
  typename Root::Reader GetRoot() {
    return this->reader->getRoot<Root>();
  }

 private:
  std::vector<kj::ArrayPtr<const capnp::word>> segments;
  std::optional<capnp::SegmentArrayMessageReader> reader;
};

namespace internal {

// Returns a copy of `bytes` in words. Throws kj::Exception if they are no whole
// number of words.
kj::Array<capnp::word> CopyToWords(std::string_view bytes);

// Returns options for a message of that size.
capnp::ReaderOptions OptionsForSize(const kj::Array<capnp::word>& words);

}  // namespace internal

// Calls `read` with the root of the flat message in `bytes` and returns its
// result. Throws kj::Exception for a message that is malformed, or whose
// objects are larger than `bytes`.
template <typename Root, typename Read>
auto ReadFlatMessage(std::string_view bytes, Read read) {
  const kj::Array<capnp::word> words = internal::CopyToWords(bytes);
  capnp::FlatArrayMessageReader source(words, internal::OptionsForSize(words));
  BoundedMessage message(source);
  return read(message.GetRoot<Root>());
}

}  // namespace sumac::wire

#endif  // LIBRARIES_WIRE_BOUNDED_MESSAGE_H_
