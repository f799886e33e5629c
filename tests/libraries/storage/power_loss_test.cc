// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libraries/storage/data_folder.h"
#include "tests/libraries/storage/power_disk.h"

namespace sumac::storage {
namespace {

using replication::Entry;
using replication::HardState;
using replication::NodeId;
using replication::Output;
using replication::Snapshot;
using replication::StartState;
using Folder = DataFolder<PowerDisk>;

constexpr const char* kFolder = "data";
// Every write fills a segment.
constexpr StorageSettings kSmallSegments{.segment_bytes = 1};
constexpr StorageSettings kLargeSegments{};

Entry MakeEntry(std::uint64_t index, std::uint64_t term) {
  return Entry{.term = Term(term), .index = LogIndex(index), .payload = "p"};
}

Output MakeOutput(std::vector<Entry> entries) {
  Output output;
  output.entries_to_write = std::move(entries);
  return output;
}

Snapshot MakeSnapshot(std::uint64_t index, std::uint64_t term) {
  return Snapshot{{LogIndex(index), Term(term), {{NodeId("c1.1")}, {}}},
                  "state"};
}

std::string PathOfSegment(std::uint64_t sequence) {
  return std::string(kFolder) + "/" + SegmentName(sequence);
}

// A formatted folder on a disk of its own.
class PowerLossTest : public testing::Test {
 protected:
  PowerLossTest() { this->Reset(); }

  void Reset() {
    this->disk = std::make_unique<PowerDisk>(this->seed++);
    ASSERT_TRUE(Folder::Format(*this->disk, kFolder,
                               Identity{.node = NodeId("c1.1"),
                                        .first_voters = {NodeId("c1.1")}})
                    .ok());
  }

  // Opens the folder as the next process does, with a disk that works again.
  // Returns nothing, and fails the test, if it does not open.
  std::optional<Folder> Open(StorageSettings settings = kLargeSegments) {
    this->disk->Resume();
    this->disk->refused.clear();
    auto folder = Folder::Open(*this->disk, kFolder, settings);
    EXPECT_TRUE(folder.ok()) << folder.status();
    return folder.ok() ? std::optional(*std::move(folder)) : std::nullopt;
  }

  // Returns what the next process reads; an empty state if it can't.
  StartState Read() {
    std::optional<Folder> folder = this->Open();
    return folder ? folder->TakeStartState() : StartState();
  }

  std::unique_ptr<PowerDisk> disk;
  std::uint64_t seed = 1;
};

// Guards against a torn segment whose removal is lost with the power: behind it
// is a whole one by then, so that it would count as damaged for ever.
TEST_F(PowerLossTest, ATornSegmentThatComesBackDoesNotBlockTheStart) {
  bool is_open = false;
  for (std::uint64_t operations = 1; !is_open; ++operations) {
    this->Reset();
    { ASSERT_TRUE(this->Open()->Write(MakeOutput({MakeEntry(1, 1)})).ok()); }
    const std::string torn = PathOfSegment(2);
    {
      auto file = this->disk->OpenForAppend(torn);
      ASSERT_TRUE(file.ok());
      ASSERT_TRUE(file->Append(kSegmentHeader.substr(0, 3)).ok());
      ASSERT_TRUE(file->Sync().ok());
    }
    this->disk->kept_names[torn] = false;
    this->disk->StopAfter(operations);
    is_open = Folder::Open(*this->disk, kFolder, {}).ok();
    this->disk->LosePower();
    EXPECT_EQ(this->Read().entries.size(), 1U) << operations;
  }
}

// Guards against a snapshot that closes a segment with the bytes of a write
// that a full disk refused: the repeated write goes to the next segment, and
// the bytes before it would count as damage.
TEST_F(PowerLossTest, ASnapshotDoesNotKeepTheRemainsOfARefusedWrite) {
  std::optional<Folder> folder = this->Open();
  ASSERT_TRUE(
      folder->Write(MakeOutput({MakeEntry(1, 1), MakeEntry(2, 1)})).ok());
  const Output refused = MakeOutput({MakeEntry(3, 1)});
  this->disk->refused = {DiskOperation::kSync};
  ASSERT_FALSE(folder->Write(refused).ok());
  this->disk->refused.clear();
  ASSERT_TRUE(folder->SaveSnapshot(MakeSnapshot(1, 1)).ok());
  ASSERT_TRUE(folder->Write(refused).ok());
  EXPECT_EQ(this->Read().entries,
            (std::vector{MakeEntry(2, 1), MakeEntry(3, 1)}));
}

// Guards against the file of a segment that could not be started. It holds the
// term and vote of that time, and would be read after newer ones.
TEST_F(PowerLossTest, ASegmentThatCouldNotBeStartedDoesNotBringBackAnOldTerm) {
  std::optional<Folder> folder = this->Open();
  Output output = MakeOutput({MakeEntry(1, 1)});
  output.hard_state = HardState{Term(1), NodeId("c1.1")};
  ASSERT_TRUE(folder->Write(output).ok());
  this->disk->refused = {DiskOperation::kSync, DiskOperation::kRemove};
  this->disk->refused_path = "log-";
  ASSERT_FALSE(folder->SaveSnapshot(MakeSnapshot(1, 1)).ok());
  this->disk->refused.clear();
  Output newer;
  newer.hard_state = HardState{Term(2), NodeId("c2.1")};
  ASSERT_TRUE(folder->Write(newer).ok());
  EXPECT_EQ(this->Read().hard_state, *newer.hard_state);
}

// As the test above: the removal of that file is lost with the power while a
// later write to the segment before it is torn.
TEST_F(PowerLossTest, ASegmentThatComesBackDoesNotMakeATornTailDamage) {
  for (int attempt = 0; attempt < 64; ++attempt) {
    this->Reset();
    std::optional<Folder> folder = this->Open();
    ASSERT_TRUE(folder->Write(MakeOutput({MakeEntry(1, 1)})).ok());
    this->disk->refused = {DiskOperation::kSync};
    this->disk->refused_path = "log-";
    ASSERT_FALSE(folder->SaveSnapshot(MakeSnapshot(1, 1)).ok());
    this->disk->refused.clear();
    this->disk->StopAfter(1 + attempt % 4);
    folder->Write(MakeOutput({MakeEntry(2, 1)})).IgnoreError();
    this->disk->LosePower();
    EXPECT_EQ(this->Read().snapshot.meta.index, LogIndex(1)) << attempt;
  }
}

// Guards against the first of several removed segments coming back alone. Its
// entries were replaced by the second one, and would be read in front of the
// third.
TEST_F(PowerLossTest, RemovedSegmentsThatComeBackDoNotHideWhatFollows) {
  bool is_saved = false;
  for (std::uint64_t operations = 1; !is_saved; ++operations) {
    this->Reset();
    std::optional<Folder> folder = this->Open(kSmallSegments);
    ASSERT_TRUE(
        folder->Write(MakeOutput({MakeEntry(1, 1), MakeEntry(2, 1)})).ok());
    ASSERT_TRUE(folder->Write(MakeOutput({MakeEntry(2, 2)})).ok());
    ASSERT_TRUE(folder->Write(MakeOutput({MakeEntry(3, 2)})).ok());
    this->disk->kept_names = {{PathOfSegment(1), false},
                              {PathOfSegment(2), true}};
    this->disk->StopAfter(operations);
    is_saved = folder->SaveSnapshot(MakeSnapshot(2, 2)).ok();
    this->disk->LosePower();
    const StartState start = this->Read();
    ASSERT_FALSE(start.entries.empty()) << operations;
    EXPECT_EQ(start.entries.back(), MakeEntry(3, 2)) << operations;
  }
}

// Guards against removing the entries that show that the log is of another
// history before its truncation lasts.
TEST_F(PowerLossTest, NoEntryOfAnotherHistoryFollowsAnInstalledSnapshot) {
  bool is_installed = false;
  for (std::uint64_t operations = 1; !is_installed; ++operations) {
    this->Reset();
    std::optional<Folder> folder = this->Open(kSmallSegments);
    ASSERT_TRUE(
        folder->Write(MakeOutput({MakeEntry(1, 1), MakeEntry(2, 1)})).ok());
    ASSERT_TRUE(folder->Write(MakeOutput({MakeEntry(3, 1)})).ok());
    Output output = MakeOutput({MakeEntry(3, 2)});
    output.snapshot_to_install = MakeSnapshot(2, 2);
    output.does_snapshot_replace_log = true;
    this->disk->StopAfter(operations);
    is_installed = folder->Write(output).ok();
    const StartState start = this->Read();
    if (start.snapshot.meta.index == LogIndex(2)) {
      EXPECT_TRUE(start.entries.empty() ||
                  start.entries == std::vector{MakeEntry(3, 2)})
          << operations;
    }
  }
}

// Guards against new entries being read as a part of the other history that
// ended just where the snapshot does.
TEST_F(PowerLossTest, EntriesAfterAnInterruptedInstallationAreKept) {
  bool is_installed = false;
  for (std::uint64_t operations = 1; !is_installed; ++operations) {
    this->Reset();
    {
      std::optional<Folder> folder = this->Open();
      ASSERT_TRUE(
          folder->Write(MakeOutput({MakeEntry(1, 1), MakeEntry(2, 1)})).ok());
      Output output;
      output.snapshot_to_install = MakeSnapshot(2, 2);
      output.does_snapshot_replace_log = true;
      this->disk->StopAfter(operations);
      is_installed = folder->Write(output).ok();
    }
    std::optional<Folder> folder = this->Open();
    ASSERT_TRUE(folder);
    if (folder->report().snapshot_index == LogIndex(2)) {
      ASSERT_TRUE(folder->Write(MakeOutput({MakeEntry(3, 2)})).ok());
      EXPECT_EQ(this->Read().entries, std::vector{MakeEntry(3, 2)})
          << operations;
    }
  }
}

// Guards against a snapshot being written behind the remains of an interrupted
// one because the disk refused to read these. Without reading, no snapshot can
// be told to be whole, so that it replaces nothing.
TEST_F(PowerLossTest, ASnapshotIsNotAppendedToTheRemainsOfAnother) {
  const Snapshot snapshot = MakeSnapshot(1, 1);
  const std::string remains = std::string(kFolder) + "/" +
                              SnapshotName(snapshot.meta.index) +
                              std::string(kTemporarySuffix);
  {
    auto file = this->disk->OpenForAppend(remains);
    ASSERT_TRUE(file.ok());
    ASSERT_TRUE(file->Append("remains").ok());
  }
  std::optional<Folder> folder = this->Open();
  ASSERT_TRUE(folder->Write(MakeOutput({MakeEntry(1, 1)})).ok());
  this->disk->refused = {DiskOperation::kRead};
  EXPECT_EQ(CodeOf(folder->SaveSnapshot(snapshot)), ResultCode::kDiskFull);
  this->disk->refused.clear();
  folder = this->Open();
  ASSERT_TRUE(folder);
  EXPECT_EQ(folder->TakeStartState().entries, std::vector{MakeEntry(1, 1)});
  ASSERT_TRUE(folder->SaveSnapshot(snapshot).ok());
  EXPECT_EQ(this->Read().snapshot.meta, snapshot.meta);
}

// Guards against entries after an installed snapshot being taken for a part of
// another history. The replica had replaced that history in memory by entries
// that the snapshot covers, so it neither writes these nor marks the log as
// replaced.
TEST_F(PowerLossTest, EntriesAfterASnapshotThatOvertookAReplacedTailAreKept) {
  std::optional<Folder> folder = this->Open();
  ASSERT_TRUE(folder
                  ->Write(MakeOutput(
                      {MakeEntry(1, 1), MakeEntry(2, 1), MakeEntry(3, 1)}))
                  .ok());
  Output output;
  output.snapshot_to_install = MakeSnapshot(2, 2);
  ASSERT_TRUE(folder->Write(output).ok());
  ASSERT_TRUE(folder->Write(MakeOutput({MakeEntry(3, 2)})).ok());
  EXPECT_EQ(this->Read().entries, std::vector{MakeEntry(3, 2)});
}

}  // namespace
}  // namespace sumac::storage
