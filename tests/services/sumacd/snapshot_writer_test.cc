// SPDX-License-Identifier: Apache-2.0
// Guards against a planned stop that hangs: the thread of a snapshot waits for
// an event loop that nobody runs any more, and the loop's thread for that one.
#include "services/sumacd/snapshot_writer.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <future>
#include <iostream>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/codec/describe.h"

namespace sumac {

enum class Colour { kRed, kUnnamed };

template <>
struct EnumNames<Colour> {
  static constexpr std::array kNames = {EnumName<Colour>{Colour::kRed, "red"}};
};

}  // namespace sumac

namespace sumac::daemon {
namespace {

// A record with a value that can be written and not read.
struct ColouredRecord {
  Colour colour = Colour::kRed;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("colour", self.colour);
  }
};

struct LargeRecord {
  std::vector<std::string> items;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("items", self.items);
  }
};

LargeRecord MakeRecord() {
  return {.items = std::vector<std::string>(200'000, "item")};
}

// Ends the process instead of waiting for ever for `done`.
void AwaitOrAbort(std::future<void> done) {
  constexpr std::chrono::minutes kLimit{1};
  if (done.wait_for(kLimit) != std::future_status::ready) {
    std::cerr << "the stop hangs\n";
    std::_Exit(EXIT_FAILURE);
  }
}

TEST(SnapshotWriterTest, AStopDuringASnapshotEnds) {
  AwaitOrAbort(std::async(std::launch::async, [] {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    SnapshotWriter writer;
    const auto bytes = writer.Serialize(MakeRecord());
    // The loop does not run any more.
  }));
}

TEST(SnapshotWriterTest, TheBytesAreThoseOfTheRecord) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  SnapshotWriter writer;
  const auto first = writer.Serialize(MakeRecord()).wait(io.waitScope);
  ASSERT_TRUE(first.ok()) << first.status();
  EXPECT_EQ(*first, ToCbor(MakeRecord()));
  const auto second = writer.Serialize(LargeRecord{{"one"}}).wait(io.waitScope);
  ASSERT_TRUE(second.ok()) << second.status();
  EXPECT_EQ(*second, ToCbor(LargeRecord{{"one"}}));
}

// Guards against a snapshot that replaces the log and can't be loaded.
TEST(SnapshotWriterTest, ARecordThatCannotBeReadBackIsAnError) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  SnapshotWriter writer;
  const auto bytes =
      writer.Serialize(ColouredRecord{Colour::kUnnamed}).wait(io.waitScope);
  EXPECT_EQ(CodeOf(bytes.status()), ResultCode::kStorageUnreadable);
  EXPECT_TRUE(
      writer.Serialize(ColouredRecord{Colour::kRed}).wait(io.waitScope).ok());
}

}  // namespace
}  // namespace sumac::daemon
