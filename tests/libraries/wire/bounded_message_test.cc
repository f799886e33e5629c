// SPDX-License-Identifier: Apache-2.0
#include "libraries/wire/bounded_message.h"

#include <capnp/any.h>
#include <gtest/gtest.h>

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

#include "libraries/wire/generated/replication.capnp.h"

namespace sumac::wire {
namespace {

constexpr unsigned kNodes = 1'000;
constexpr unsigned kFirstSegmentWords = 100'000;
constexpr std::size_t kNameBytes = 80'000;

// Returns the words of a message with a list of names, of which the first one
// is long and the others are empty.
kj::Array<capnp::word> MakeMessage() {
  capnp::MallocMessageBuilder builder(kFirstSegmentWords);
  auto voters = builder.initRoot<Membership>().initVoters(kNodes);
  voters.set(0, std::string(kNameBytes, 'n').c_str());
  return capnp::messageToFlatArray(builder);
}

std::string_view BytesOf(const kj::Array<capnp::word>& words) {
  const auto bytes = words.asChars();
  return {bytes.begin(), bytes.size()};
}

// Lets the pointers of all names lead to the first one.
void ShareFirstName(kj::Array<capnp::word>& words) {
  // The segment table and the pointer to the root come before the root, and the
  // list follows it.
  std::uint64_t root = 0;
  std::memcpy(&root, words.begin() + 1, sizeof(root));
  const std::uint64_t root_words =
      (root >> 32U & 0xffffU) + (root >> 48U & 0xffffU);
  capnp::word* list = words.begin() + 2 + root_words;
  std::uint64_t first = 0;
  std::memcpy(&first, list, sizeof(first));
  for (unsigned place = 1; place < kNodes; ++place) {
    // The offset, in words from the pointer, has the bits 2 to 31.
    const std::uint64_t shared = first - (std::uint64_t{place} << 2U);
    std::memcpy(static_cast<void*>(list + place), &shared, sizeof(shared));
  }
}

std::size_t CountBytes(Membership::Reader members) {
  std::size_t bytes = 0;
  for (const auto name : members.getVoters()) {
    bytes += name.size();
  }
  return bytes;
}

// Guards against a limit that counts how often a reader looks at a field.
TEST(BoundedMessageTest, AMessageIsReadAnyNumberOfTimes) {
  const auto words = MakeMessage();
  const std::size_t read = ReadFlatMessage<Membership>(
      BytesOf(words), [](Membership::Reader members) {
        std::size_t bytes = 0;
        for (int times = 0; times < 100; ++times) {
          bytes += CountBytes(members);
        }
        return bytes;
      });
  EXPECT_EQ(read, 100 * kNameBytes);
}

// Guards against a small message that takes the work of a large one.
TEST(BoundedMessageTest, AMessageLargerThanItsBytesIsRefused) {
  auto words = MakeMessage();
  ShareFirstName(words);
  EXPECT_THROW(ReadFlatMessage<Membership>(BytesOf(words), CountBytes),
               kj::Exception);
}

// Guards against a short message whose list claims millions of elements, which
// take no space.
TEST(BoundedMessageTest, AListOfElementsWithoutSizeIsCounted) {
  constexpr std::uint64_t kElements = 20'000'000;
  // A root with one pointer, to a list of structs without fields.
  const std::uint64_t message[] = {
      std::uint64_t{3} << 32U,       // one segment of three words
      std::uint64_t{1} << 48U,       // the root: no data, one pointer
      1U | std::uint64_t{7} << 32U,  // a composite list of no words
      kElements << 2U,               // its tag: the number of elements
  };
  const std::string_view bytes(reinterpret_cast<const char*>(message),
                               sizeof(message));
  const auto read = [](capnp::AnyStruct::Reader root) {
    return root.getPointerSection().size();
  };
  EXPECT_THROW(ReadFlatMessage<capnp::AnyStruct>(bytes, read), kj::Exception);
}

TEST(BoundedMessageTest, AMessageThatEndsWithinAWordIsRefused) {
  const auto words = MakeMessage();
  const std::string_view bytes = BytesOf(words);
  EXPECT_THROW(ReadFlatMessage<Membership>(bytes.substr(0, bytes.size() - 1),
                                           CountBytes),
               kj::Exception);
}

}  // namespace
}  // namespace sumac::wire
