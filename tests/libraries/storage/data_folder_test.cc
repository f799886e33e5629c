// SPDX-License-Identifier: Apache-2.0
#include "libraries/storage/data_folder.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "tests/libraries/storage/fake_disk.h"

namespace sumac::storage {
namespace {

using replication::Entry;
using replication::HardState;
using replication::NodeId;
using replication::Output;
using replication::Snapshot;
using replication::SnapshotMeta;

constexpr const char* kFolder = "data";
using Folder = DataFolder<FakeDisk>;

// Sets of operations that a full disk refuses: each operation alone, some
// combinations, and all of them.
const std::vector<std::set<DiskOperation>> kRefusals{
    {DiskOperation::kAppend},
    {DiskOperation::kSync},
    {DiskOperation::kOpen},
    {DiskOperation::kTruncate},
    {DiskOperation::kRename},
    {DiskOperation::kRemove},
    {DiskOperation::kSyncFolder},
    {DiskOperation::kAppend, DiskOperation::kTruncate},
    {DiskOperation::kSync, DiskOperation::kTruncate, DiskOperation::kRemove},
    {DiskOperation::kAppend, DiskOperation::kSync, DiskOperation::kOpen,
     DiskOperation::kTruncate, DiskOperation::kRename, DiskOperation::kRemove,
     DiskOperation::kSyncFolder}};

Entry MakeEntry(std::uint64_t index,
                std::uint64_t term,
                const std::string& payload) {
  return Entry{
      .term = Term(term), .index = LogIndex(index), .payload = payload};
}

Output MakeOutput(std::vector<Entry> entries,
                  std::optional<HardState> state = std::nullopt) {
  Output output;
  output.entries_to_write = std::move(entries);
  output.hard_state = std::move(state);
  return output;
}

class DataFolderTest : public testing::Test {
 protected:
  DataFolderTest() {
    EXPECT_TRUE(Folder::Format(this->disk, kFolder,
                               Identity{.node = NodeId("c1.1"),
                                        .first_voters = {NodeId("c1.1")}})
                    .ok());
  }

  Folder Open(StorageSettings settings = {}) {
    auto folder = Folder::Open(this->disk, kFolder, settings);
    EXPECT_TRUE(folder.ok()) << folder.status();
    return *std::move(folder);
  }

  // Returns the path of the largest segment, which is the one with entries.
  std::string SegmentWithEntries() const {
    std::string largest;
    for (const auto& [path, content] : this->disk.files) {
      if (path.find("log-") != std::string::npos &&
          (largest.empty() ||
           content.bytes.size() > this->disk.files.at(largest).bytes.size())) {
        largest = path;
      }
    }
    return largest;
  }

  FakeDisk disk;
};

// A process that was killed between a write and its sync leaves bytes that the
// next process reads but that the disk may still lose.
TEST_F(DataFolderTest, WhatWasReadAtTheStartSurvivesALaterLossOfPower) {
  {
    Folder folder = this->Open();
    ASSERT_TRUE(folder.Write(MakeOutput({MakeEntry(1, 1, "a")})).ok());
    this->disk.fails_sync = true;
    EXPECT_FALSE(folder.Write(MakeOutput({MakeEntry(2, 1, "b")})).ok());
    this->disk.fails_sync = false;
  }
  {
    Folder folder = this->Open();
    ASSERT_EQ(folder.report().last_index, LogIndex(2));
    ASSERT_TRUE(folder.Write(MakeOutput({MakeEntry(3, 1, "c")})).ok());
  }
  this->disk.Crash();
  Folder folder = this->Open();
  EXPECT_EQ(folder.report().last_index, LogIndex(3));
  EXPECT_EQ(folder.report().entries_after_snapshot, 3U);
}

TEST_F(DataFolderTest, WrittenEntriesSurviveACrash) {
  {
    Folder folder = this->Open();
    ASSERT_TRUE(
        folder
            .Write(MakeOutput({MakeEntry(1, 1, "a"), MakeEntry(2, 1, "b")},
                              HardState{Term(1), NodeId("c1.1")}))
            .ok());
  }
  this->disk.Crash();
  const replication::StartState start = this->Open().TakeStartState();
  EXPECT_EQ(start.self, NodeId("c1.1"));
  EXPECT_EQ(start.hard_state, (HardState{Term(1), NodeId("c1.1")}));
  ASSERT_EQ(start.entries.size(), 2U);
  EXPECT_EQ(start.entries[1].payload, "b");
}

TEST_F(DataFolderTest, AnOverwrittenTailStaysOverwritten) {
  Folder folder = this->Open();
  ASSERT_TRUE(folder
                  .Write(MakeOutput({MakeEntry(1, 1, "a"), MakeEntry(2, 1, "b"),
                                     MakeEntry(3, 1, "c")}))
                  .ok());
  ASSERT_TRUE(folder.Write(MakeOutput({MakeEntry(2, 2, "B")})).ok());
  this->disk.Crash();
  const auto entries = this->Open().TakeStartState().entries;
  ASSERT_EQ(entries.size(), 2U);
  EXPECT_EQ(entries[1], MakeEntry(2, 2, "B"));
}

TEST_F(DataFolderTest, EveryCutOfTheLogLosesOnlyWhatWasNotSynced) {
  Folder folder = this->Open();
  ASSERT_TRUE(folder.Write(MakeOutput({MakeEntry(1, 1, "first")})).ok());
  const std::string path = this->SegmentWithEntries();
  const std::size_t synced = this->disk.files[path].bytes.size();
  ASSERT_TRUE(folder.Write(MakeOutput({MakeEntry(2, 1, "second")})).ok());
  const FakeDisk whole = this->disk;
  const std::size_t length = whole.files.at(path).bytes.size();
  for (std::size_t cut = synced; cut < length; ++cut) {
    this->disk = whole;
    this->disk.files[path].bytes.resize(cut);
    const auto entries = this->Open().TakeStartState().entries;
    ASSERT_EQ(entries.size(), 1U) << cut;
    EXPECT_EQ(entries[0].payload, "first");
  }
}

TEST_F(DataFolderTest, EveryFlippedByteIsFoundAndNamed) {
  {
    Folder folder = this->Open();
    ASSERT_TRUE(
        folder.Write(MakeOutput({MakeEntry(1, 1, "a"), MakeEntry(2, 1, "b")}))
            .ok());
  }
  const std::string path = this->SegmentWithEntries();
  // A later segment makes this one closed, so that nothing in it can be a torn
  // tail.
  { Folder folder = this->Open(); }
  const FakeDisk whole = this->disk;
  const std::size_t length = whole.files.at(path).bytes.size();
  for (std::size_t place = 0; place < length; ++place) {
    this->disk = whole;
    this->disk.files[path].bytes[place] ^= 0x20;
    const auto opened = Folder::Open(this->disk, kFolder, {});
    ASSERT_FALSE(opened.ok()) << "byte " << place;
    EXPECT_NE(opened.status().message().find(path), std::string::npos);
  }
}

TEST_F(DataFolderTest, DamageBeforeAWholeRecordIsNoTornTail) {
  Folder folder = this->Open();
  ASSERT_TRUE(folder
                  .Write(MakeOutput(
                      {MakeEntry(1, 1, "aaaaaaaa"), MakeEntry(2, 1, "b")}))
                  .ok());
  const std::string path = this->SegmentWithEntries();
  std::string& bytes = this->disk.files[path].bytes;
  bytes[bytes.find("aaaaaaaa")] = 'x';
  const auto opened = Folder::Open(this->disk, kFolder, {});
  ASSERT_FALSE(opened.ok());
  EXPECT_EQ(CodeOf(opened.status()), ResultCode::kStorageDamaged);
}

TEST_F(DataFolderTest, ANewerFormatIsRefusedAndNotTakenForDamage) {
  { Folder folder = this->Open(); }
  const std::string path = this->SegmentWithEntries();
  this->disk.files[path].bytes[kSegmentHeader.size() - 1] = 2;
  EXPECT_EQ(CodeOf(Folder::Open(this->disk, kFolder, {}).status()),
            ResultCode::kStorageVersion);
}

TEST_F(DataFolderTest, AFullDiskLosesNothingAndTheSameWriteGoesThroughLater) {
  Folder folder = this->Open();
  ASSERT_TRUE(folder.Write(MakeOutput({MakeEntry(1, 1, "a")})).ok());
  const Output output = MakeOutput({MakeEntry(2, 1, std::string(100, 'b'))});
  for (std::size_t room = 0; room < 150; room += 7) {
    this->disk.room = room;
    EXPECT_EQ(CodeOf(folder.Write(output)), ResultCode::kDiskFull);
  }
  this->disk.room = 1U << 20;
  ASSERT_TRUE(folder.Write(output).ok());
  ASSERT_TRUE(folder.Write(MakeOutput({MakeEntry(3, 1, "c")})).ok());
  this->disk.Crash();
  EXPECT_EQ(this->Open().TakeStartState().entries.size(), 3U);
}

// A full disk may accept the bytes and fail only at the sync, or refuse a new
// file. Guards against the remains of a failed write staying in the log, where
// the next start would take them for damage.
TEST_F(DataFolderTest, WhateverAFullDiskRefusesTheSameWriteGoesThroughLater) {
  const FakeDisk formatted = this->disk;
  for (const std::set<DiskOperation>& refused : kRefusals) {
    this->disk = formatted;
    Folder folder = this->Open(StorageSettings{.segment_bytes = 64});
    for (std::uint64_t index = 1; index <= 4; ++index) {
      const Output output =
          MakeOutput({MakeEntry(index, 1, "payload")}, HardState{Term(index)});
      this->disk.refused = refused;
      bool is_written = false;
      for (int tries = 0; tries < 3 && !is_written; ++tries) {
        const absl::Status status = folder.Write(output);
        is_written = status.ok();
        EXPECT_TRUE(is_written || CodeOf(status) == ResultCode::kDiskFull);
      }
      this->disk.refused.clear();
      ASSERT_TRUE(is_written || folder.Write(output).ok());
    }
    this->disk.Crash();
    const auto opened = Folder::Open(this->disk, kFolder, {});
    ASSERT_TRUE(opened.ok())
        << opened.status() << " " << static_cast<int>(*refused.begin());
    EXPECT_EQ(opened->report().entries_after_snapshot, 4U);
  }
}

// As the test above, with a power loss while the disk is full: the entries that
// were written before are kept.
TEST_F(DataFolderTest, ALossOfPowerWhileTheDiskIsFullLosesNothing) {
  const FakeDisk formatted = this->disk;
  for (const std::set<DiskOperation>& refused : kRefusals) {
    this->disk = formatted;
    {
      Folder folder = this->Open(StorageSettings{.segment_bytes = 64});
      ASSERT_TRUE(folder.Write(MakeOutput({MakeEntry(1, 1, "a")})).ok());
      this->disk.refused = refused;
      for (int tries = 0; tries < 3; ++tries) {
        if (folder.Write(MakeOutput({MakeEntry(2, 1, "b")})).ok()) {
          break;
        }
      }
      this->disk.refused.clear();
    }
    for (const std::size_t torn : {0U, 7U, 4'096U}) {
      FakeDisk left = this->disk;
      left.Crash(torn);
      const auto opened = Folder::Open(left, kFolder, {});
      ASSERT_TRUE(opened.ok())
          << opened.status() << " " << static_cast<int>(*refused.begin());
      EXPECT_GE(opened->report().entries_after_snapshot, 1U);
    }
  }
}

// Guards against a snapshot that failed on a full disk leaving a partial file,
// which would take up space until the next snapshot.
TEST_F(DataFolderTest, ASnapshotWithoutRoomLeavesNothingBehind) {
  Folder folder = this->Open();
  ASSERT_TRUE(folder.Write(MakeOutput({MakeEntry(1, 1, "a")})).ok());
  const Snapshot snapshot{{LogIndex(1), Term(1), {{NodeId("c1.1")}, {}}},
                          std::string(1'000, 's')};
  const std::size_t files_before = this->disk.files.size();
  for (const DiskOperation operation :
       {DiskOperation::kAppend, DiskOperation::kSync, DiskOperation::kRename}) {
    this->disk.refused = {operation};
    EXPECT_EQ(CodeOf(folder.SaveSnapshot(snapshot)), ResultCode::kDiskFull);
    EXPECT_EQ(this->disk.files.size(), files_before);
  }
  this->disk.refused.clear();
  this->disk.room = 500;
  EXPECT_EQ(CodeOf(folder.SaveSnapshot(snapshot)), ResultCode::kDiskFull);
  EXPECT_EQ(this->disk.files.size(), files_before);
  this->disk.room = 1U << 20;
  EXPECT_TRUE(folder.SaveSnapshot(snapshot).ok());
}

Snapshot MakeSnapshot(std::uint64_t index) {
  return {{LogIndex(index), Term(1), {{NodeId("c1.1")}, {}}},
          "state " + std::to_string(index)};
}

std::string PathOfSnapshot(std::uint64_t index) {
  return std::string(kFolder) + "/" + SnapshotName(LogIndex(index));
}

// Guards against a snapshot that can't be read and has replaced the log that it
// stands for.
TEST_F(DataFolderTest, ASnapshotThatCannotBeReadBackReplacesNothing) {
  Folder folder = this->Open();
  ASSERT_TRUE(
      folder.Write(MakeOutput({MakeEntry(1, 1, "a"), MakeEntry(2, 1, "b")}))
          .ok());
  const std::size_t files_before = this->disk.files.size();
  this->disk.damages_reads = true;
  EXPECT_EQ(CodeOf(folder.SaveSnapshot(MakeSnapshot(2))),
            ResultCode::kStorageUnreadable);
  EXPECT_EQ(this->disk.files.size(), files_before);
  this->disk.damages_reads = false;
  // The log goes on, and so does the next snapshot.
  ASSERT_TRUE(folder.Write(MakeOutput({MakeEntry(3, 1, "c")})).ok());
  folder = this->Open();
  EXPECT_EQ(folder.TakeStartState().entries.size(), 3U);
  EXPECT_TRUE(folder.SaveSnapshot(MakeSnapshot(3)).ok());
  EXPECT_EQ(this->Open().TakeStartState().snapshot.state, "state 3");
}

// Guards against a controller that can't start for one bad file although the
// log still holds what the file stands for.
TEST_F(DataFolderTest, TheLogMakesUpForADamagedSnapshot) {
  Folder folder = this->Open();
  ASSERT_TRUE(folder.Write(MakeOutput({MakeEntry(1, 1, "a")})).ok());
  ASSERT_TRUE(folder.SaveSnapshot(MakeSnapshot(1)).ok());
  ASSERT_TRUE(
      folder.Write(MakeOutput({MakeEntry(2, 1, "b"), MakeEntry(3, 1, "c")}))
          .ok());
  const auto before = this->disk.files;
  ASSERT_TRUE(folder.SaveSnapshot(MakeSnapshot(2)).ok());
  // The power was lost after the snapshot had its name and before what it
  // covers was removed.
  FakeDisk::Content damaged = this->disk.files.at(PathOfSnapshot(2));
  damaged.bytes.back() = static_cast<char>(~damaged.bytes.back());
  this->disk.files = before;
  this->disk.files[PathOfSnapshot(2)] = damaged;
  for (int start = 0; start < 2; ++start) {
    Folder again = this->Open();
    EXPECT_EQ(again.report().unreadable_snapshots, start == 0 ? 1U : 0U);
    const auto state = again.TakeStartState();
    EXPECT_EQ(state.snapshot.state, "state 1");
    ASSERT_EQ(state.entries.size(), 2U);
    EXPECT_EQ(state.entries.back().payload, "c");
  }
  EXPECT_FALSE(this->disk.files.contains(PathOfSnapshot(2)));
  EXPECT_TRUE(this->disk.files.contains(PathOfSnapshot(2) +
                                        std::string(kUnreadableSuffix)));
}

// Guards against a replica that starts with an older state and so forgets what
// it has acknowledged: the log ends before the damaged snapshot, or is gone.
TEST_F(DataFolderTest, AnOlderSnapshotAloneIsNotMistakenForTheNewest) {
  for (const std::uint64_t missing : {1, 2}) {
    this->disk.files.clear();
    ASSERT_TRUE(
        Folder::Format(this->disk, kFolder, Identity{.node = NodeId("c1.1")})
            .ok());
    Folder folder = this->Open();
    ASSERT_TRUE(folder.Write(MakeOutput({MakeEntry(1, 1, "a")})).ok());
    ASSERT_TRUE(folder.SaveSnapshot(MakeSnapshot(1)).ok());
    const FakeDisk::Content older = this->disk.files.at(PathOfSnapshot(1));
    ASSERT_TRUE(
        folder.Write(MakeOutput({MakeEntry(2, 1, "b"), MakeEntry(3, 1, "c")}))
            .ok());
    ASSERT_TRUE(folder.SaveSnapshot(MakeSnapshot(3)).ok());
    if (missing == 2) {
      ASSERT_TRUE(folder.Write(MakeOutput({MakeEntry(4, 1, "d")})).ok());
    }
    this->disk.files[PathOfSnapshot(1)] = older;
    std::string& newest = this->disk.files.at(PathOfSnapshot(3)).bytes;
    newest.back() = static_cast<char>(~newest.back());
    const auto opened = Folder::Open(this->disk, kFolder, {});
    EXPECT_EQ(CodeOf(opened.status()), ResultCode::kStorageDamaged);
    EXPECT_NE(opened.status().message().find(PathOfSnapshot(3)),
              absl::string_view::npos);
    EXPECT_TRUE(this->disk.files.contains(PathOfSnapshot(3)));
  }
}

// Guards against a new replica that reads a part of the log of the one before
// it, or an old one that has lost a part of its own, wherever the power goes
// while the data is set aside.
TEST_F(DataFolderTest, DataIsSetAsideWholeOrNotAtAll) {
  {
    Folder folder = this->Open();
    ASSERT_TRUE(folder.Write(MakeOutput({MakeEntry(1, 1, "a")})).ok());
    ASSERT_TRUE(folder.SaveSnapshot(MakeSnapshot(1)).ok());
    ASSERT_TRUE(folder.Write(MakeOutput({MakeEntry(2, 1, "b")})).ok());
  }
  const FakeDisk before = this->disk;
  bool is_done = false;
  for (std::uint64_t operations = 0; !is_done; ++operations) {
    this->disk = before;
    this->disk.operations_left = operations;
    is_done =
        Folder::SetAsideAll(this->disk, kFolder).ok() &&
        Folder::Format(this->disk, kFolder, Identity{.node = NodeId("c1.2")})
            .ok();
    this->disk.Crash();
    const bool has_identity = Folder::HasIdentity(this->disk, kFolder);
    // Without this sign, the first start of a group would make the replica with
    // the old name again, which has forgotten its votes.
    EXPECT_TRUE(has_identity || Folder::HoldsRemains(this->disk, kFolder))
        << operations;
    if (!has_identity) {
      ASSERT_TRUE(
          Folder::Format(this->disk, kFolder, Identity{.node = NodeId("c1.2")})
              .ok());
    }
    Folder folder = this->Open();
    const bool is_old = folder.identity().node == NodeId("c1.1");
    const auto start = folder.TakeStartState();
    EXPECT_EQ(start.entries.size(), is_old ? 1U : 0U) << operations;
    EXPECT_EQ(start.snapshot.meta.index, LogIndex(is_old ? 1 : 0))
        << operations;
  }
  EXPECT_TRUE(this->disk.files.contains(PathOfSnapshot(1) +
                                        std::string(kUnreadableSuffix)));
}

TEST_F(DataFolderTest, AFailedSyncReturnsStorageFailed) {
  Folder folder = this->Open();
  this->disk.fails_sync = true;
  EXPECT_EQ(CodeOf(folder.Write(MakeOutput({MakeEntry(1, 1, "a")}))),
            ResultCode::kStorageFailed);
}

TEST_F(DataFolderTest, SnapshotsReplaceTheLogBeforeThem) {
  Folder folder = this->Open(StorageSettings{.segment_bytes = 256});
  std::vector<Entry> entries;
  for (std::uint64_t index = 1; index <= 50; ++index) {
    ASSERT_TRUE(
        folder.Write(MakeOutput({MakeEntry(index, 1, "payload")})).ok());
  }
  const std::size_t files_before = this->disk.files.size();
  const SnapshotMeta meta{LogIndex(40), Term(1), {{NodeId("c1.1")}, {}}};
  ASSERT_TRUE(folder.SaveSnapshot(Snapshot{meta, "state"}).ok());
  EXPECT_LT(this->disk.files.size(), files_before);
  this->disk.Crash();
  const auto start = this->Open().TakeStartState();
  EXPECT_EQ(start.snapshot.meta, meta);
  EXPECT_EQ(start.snapshot.state, "state");
  ASSERT_EQ(start.entries.size(), 10U);
  EXPECT_EQ(start.entries.front().index, LogIndex(41));
}

TEST_F(DataFolderTest,
       ASnapshotOfAnotherHistoryIsThereWholeOrNotAtAllWhereverThePowerGoes) {
  Output output;
  output.snapshot_to_install =
      Snapshot{{LogIndex(2), Term(2), {{NodeId("c1.1")}, {}}}, "state"};
  output.does_snapshot_replace_log = true;
  output.entries_to_write = {MakeEntry(3, 2, "C")};
  const FakeDisk formatted = this->disk;
  bool is_written = false;
  std::uint64_t crashes_before = 0;
  std::uint64_t crashes_between = 0;
  for (std::uint64_t operations = 0; !is_written; ++operations) {
    this->disk = formatted;
    Folder folder = this->Open();
    ASSERT_TRUE(
        folder
            .Write(MakeOutput({MakeEntry(1, 1, "a"), MakeEntry(2, 1, "b"),
                               MakeEntry(3, 1, "c")}))
            .ok());
    this->disk.operations_left = operations;
    is_written = folder.Write(output).ok();
    this->disk.Crash(operations % 5);
    const auto start = this->Open().TakeStartState();
    if (start.snapshot.meta.index == LogIndex(0)) {
      ++crashes_before;
      ASSERT_EQ(start.entries.size(), 3U) << operations;
      EXPECT_EQ(start.entries[2], MakeEntry(3, 1, "c"));
    } else if (start.entries.empty()) {
      ++crashes_between;
    } else {
      ASSERT_EQ(start.entries.size(), 1U) << operations;
      EXPECT_EQ(start.entries[0], MakeEntry(3, 2, "C"));
    }
  }
  EXPECT_GT(crashes_before, 0U);
  EXPECT_GT(crashes_between, 0U);
}

TEST_F(DataFolderTest, ACrashWhileASegmentBeginsIsHarmless) {
  { Folder folder = this->Open(); }
  const FakeDisk whole = this->disk;
  const std::string path = this->SegmentWithEntries();
  for (std::size_t length = 0; length < whole.files.at(path).bytes.size();
       ++length) {
    this->disk = whole;
    this->disk.files[path].bytes.resize(length);
    EXPECT_TRUE(Folder::Open(this->disk, kFolder, {}).ok()) << length;
  }
}

TEST_F(DataFolderTest, FormatRefusesAFolderThatHoldsData) {
  EXPECT_FALSE(
      Folder::Format(this->disk, kFolder, Identity{.node = NodeId("c1.1")})
          .ok());
}

}  // namespace
}  // namespace sumac::storage
