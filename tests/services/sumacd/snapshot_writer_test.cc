// SPDX-License-Identifier: Apache-2.0
// Guards against a planned stop that hangs: the thread of a snapshot waits for
// an event loop that nobody runs any more, and the loop's thread for that one.
#include "services/sumacd/snapshot_writer.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <chrono>
#include <cstdlib>
#include <future>
#include <iostream>
#include <string>
#include <vector>

namespace sumac::daemon {
namespace {

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
    const kj::Promise<std::string> bytes = writer.Serialize(MakeRecord());
    // The loop does not run any more.
  }));
}

TEST(SnapshotWriterTest, TheBytesAreThoseOfTheRecord) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  SnapshotWriter writer;
  const std::string first = writer.Serialize(MakeRecord()).wait(io.waitScope);
  EXPECT_EQ(first, ToCbor(MakeRecord()));
  const std::string second =
      writer.Serialize(LargeRecord{{"one"}}).wait(io.waitScope);
  EXPECT_EQ(second, ToCbor(LargeRecord{{"one"}}));
}

}  // namespace
}  // namespace sumac::daemon
