// SPDX-License-Identifier: Apache-2.0
// What a replica writes it can read: each stored and sent format, over all
// states that a replica can be in.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "libraries/storage/log_segment.h"
#include "libraries/storage/snapshot_file.h"
#include "libraries/wire/replication_codec.h"
#include "tests/libraries/replication/drawn_data.h"

namespace sumac::storage {
namespace {

using replication::Membership;
using replication::NodeId;
using replication::Snapshot;

constexpr const char* kPath = "file";
constexpr std::size_t kMaxRecords = 8;

LogRecord DrawRecord() {
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      return replication::DrawEntry();
    case 1:
      return replication::DrawHardState();
    default:
      return TruncateRecord{LogIndex(replication::DrawNumber())};
  }
}

// Guards against a controller that can't start again, since it stored a
// snapshot while an exchange of voters was under way.
TEST(ReadableDataTest, ASnapshotOfTheJointStateIsRead) {
  const Snapshot snapshot{
      {LogIndex(3'003), Term(2),
       Membership{.voters = {NodeId("c2.1"), NodeId("c3.1"), NodeId("c4.1")},
                  .learners = {NodeId("c5.1")},
                  .outgoing_voters = {NodeId("c1.1"), NodeId("c2.1"),
                                      NodeId("c3.1")}}},
      "state"};
  const auto read = DecodeSnapshot(EncodeSnapshot(snapshot), kPath);
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_EQ(read->meta, snapshot.meta);
  EXPECT_EQ(read->state, snapshot.state);
}

// Guards against an entry that is committed and that no record or message can
// hold.
TEST(ReadableDataTest, TheLargestCommandIsRead) {
  const replication::Entry entry{
      .term = Term(1),
      .index = LogIndex(1),
      .payload = std::string(replication::kMaxCommandBytes, '\xff')};
  const auto read = DecodeSegment(
      std::string(kSegmentHeader) + EncodeRecord(entry), kPath, false);
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_TRUE(read->records.front() == LogRecord(entry));
  const std::string packed = wire::PackMessage(
      {.from = NodeId("c1.1"),
       .to = NodeId("c2.1"),
       .body = replication::AppendRequest{.entries = {entry}}});
  const auto message = wire::UnpackMessage(wire::ToData(packed));
  EXPECT_TRUE(std::get<replication::AppendRequest>(message.body).entries ==
              std::vector{entry});
}

RC_GTEST_PROP(ReadableDataProperty, SnapshotsAreReadAsTheyWereWritten, ()) {
  const Snapshot snapshot = replication::DrawSnapshot();
  const auto read = DecodeSnapshot(EncodeSnapshot(snapshot), kPath);
  RC_ASSERT(read.ok());
  RC_ASSERT(read->meta == snapshot.meta);
  RC_ASSERT(read->state == snapshot.state);
}

RC_GTEST_PROP(ReadableDataProperty, SegmentsAreReadAsTheyWereWritten, ()) {
  std::vector<LogRecord> records;
  std::string bytes(kSegmentHeader);
  for (std::size_t left = *rc::gen::inRange<std::size_t>(1, kMaxRecords);
       left > 0; --left) {
    records.push_back(DrawRecord());
    bytes += EncodeRecord(records.back());
  }
  const auto read = DecodeSegment(bytes, kPath, false);
  RC_ASSERT(read.ok());
  RC_ASSERT(read->records == records);
}

// A message has no comparison, but the same bytes are written for the same
// message.
RC_GTEST_PROP(ReadableDataProperty, MessagesAreReadAsTheyWereWritten, ()) {
  const replication::Message message = replication::DrawMessage();
  const std::string bytes = wire::PackMessage(message);
  const replication::Message read = wire::UnpackMessage(wire::ToData(bytes));
  RC_ASSERT(wire::PackMessage(read) == bytes);
  RC_ASSERT(read.body.index() == message.body.index());
}

}  // namespace
}  // namespace sumac::storage
