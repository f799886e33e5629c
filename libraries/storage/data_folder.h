// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_STORAGE_DATA_FOLDER_H_
#define LIBRARIES_STORAGE_DATA_FOLDER_H_

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/codec/json_reader.h"
#include "libraries/codec/json_writer.h"
#include "libraries/replication/replica.h"
#include "libraries/replication/types.h"
#include "libraries/storage/disk.h"
#include "libraries/storage/folder_layout.h"
#include "libraries/storage/identity.h"
#include "libraries/storage/log_segment.h"
#include "libraries/storage/snapshot_file.h"

namespace sumac::storage {

// Settings of a data folder.
struct StorageSettings {
  // The size above which a segment is closed and a new one started, in bytes.
  std::uint64_t segment_bytes = 4U << 20;
};

// The content that was found when a data folder was opened, for operators.
struct FolderReport {
  std::uint64_t segments = 0;
  std::uint64_t log_bytes = 0;
  std::uint64_t entries_after_snapshot = 0;
  LogIndex snapshot_index;
  LogIndex last_index;
  // The size of the torn tail of an unfinished write, in bytes.
  std::uint64_t torn_bytes = 0;
  // The number of snapshots that could not be read and that the log made up
  // for.
  std::uint64_t unreadable_snapshots = 0;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("segments", self.segments);
    visitor.Field("log_bytes", self.log_bytes);
    visitor.Field("entries_after_snapshot", self.entries_after_snapshot);
    visitor.Field("snapshot_index", self.snapshot_index);
    visitor.Field("last_index", self.last_index);
    visitor.Field("torn_bytes", self.torn_bytes);
    visitor.Field("unreadable_snapshots", self.unreadable_snapshots);
  }
};

// The durable state of one replica: identity.json, the log segments and the
// last snapshot, in one folder. docs/operate/storage.md describes the files.
template <Disk DiskType>
class DataFolder {
 public:
  // Creates a folder for `identity`. Fails if the folder already has an
  // identity. Sets aside what a folder without one holds.
  static absl::Status Format(DiskType& disk,
                             const std::string& path,
                             const Identity& identity) {
    TRY(disk.MakeFolder(path));
    const std::vector<std::string> names = TRY(disk.List(path));
    if (std::find(names.begin(), names.end(), kIdentityFile) != names.end()) {
      return MakeError(
          ResultCode::kStorageFailed,
          StrCat(path, ": already holds the data of a controller"));
    }
    TRY(SetAsideNumberedFiles(disk, path, names));
    return WriteAtomically(
        disk, path, std::string(kIdentityFile), ToJson(identity).dump(2),
        [](const std::string& text, const std::string& name) {
          return ParseIdentity(text, name).status();
        });
  }

  // Sets aside the data of a replica that can't be read, so that the folder can
  // be formatted for another one. Its files are kept for operators under names
  // that end in ".unreadable", and replace those of an earlier call.
  static absl::Status SetAsideAll(DiskType& disk, const std::string& path) {
    const std::vector<std::string> names = TRY(disk.List(path));
    for (const std::string& name : names) {
      if (name.ends_with(kUnreadableSuffix)) {
        TRY(disk.Remove(StrCat(path, "/", name)));
      }
    }
    // The identity goes first and durably: with a part of its log a replica
    // would forget what it has acknowledged.
    TRY(RenameAside(disk, StrCat(path, "/", kIdentityFile)));
    TRY(disk.SyncFolder(path));
    return SetAsideNumberedFiles(disk, path, names);
  }

  // Returns true if the folder holds data of an earlier replica, also data that
  // was set aside.
  static bool HoldsRemains(DiskType& disk, const std::string& path) {
    const auto names = disk.List(path);
    return names.ok() && std::any_of(names->begin(), names->end(),
                                     [](const std::string& name) {
                                       return ParseSegmentName(name) ||
                                              ParseSnapshotName(name) ||
                                              name.ends_with(kUnreadableSuffix);
                                     });
  }

  // Returns true if the folder was created by Format.
  static bool HasIdentity(DiskType& disk, const std::string& path) {
    return disk.Read(StrCat(path, "/", kIdentityFile)).ok();
  }

  // Opens a folder and reads all of it. If `repair` is true, a torn tail is cut
  // off; otherwise nothing is written, so that a folder can be checked without
  // changing it.
  static absl::StatusOr<DataFolder> Open(DiskType& disk,
                                         const std::string& path,
                                         StorageSettings settings,
                                         bool repair = true) {
    DataFolder folder(disk, path, settings);
    TRY(folder.LoadIdentity());
    if (repair) {
      // The previous process may have ended between a rename and its sync.
      TRY(disk.SyncFolder(path));
    }
    const std::vector<std::string> names = TRY(disk.List(path));
    const std::vector<UnreadableSnapshot> unreadable =
        TRY(folder.LoadSnapshot(names));
    // If the segments don't fit a snapshot that can't be read, the snapshot's
    // error is the cause.
    const absl::Status loaded = folder.LoadSegments(names, repair);
    TRY(folder.CheckLogMakesUpFor(unreadable));
    TRY(loaded);
    if (repair) {
      TRY(folder.SetAside(unreadable));
      TRY(folder.StartSegment());
    }
    return folder;
  }

  // Returns the state from which the replica starts. May be called once.
  replication::StartState TakeStartState() { return std::move(this->start); }

  const FolderReport& report() const { return this->found; }
  const Identity& identity() const { return this->stored_identity; }

  // Makes one output of the replica durable. After kDiskFull none of it is in
  // effect and the call may be repeated; any other error is final for this
  // process.
  absl::Status Write(const replication::Output& output) {
    TRY(this->DiscardUnfinished());
    if (output.snapshot_to_install) {
      // The replica compares the snapshot with its log in memory, in which this
      // same output may have replaced entries that are still stored.
      TRY(this->StoreSnapshot(
          *output.snapshot_to_install,
          output.does_snapshot_replace_log ||
              this->IsOtherHistory(output.snapshot_to_install->meta)));
    }
    std::string bytes;
    if (output.hard_state) {
      this->hard_state = *output.hard_state;
      bytes += EncodeRecord(*output.hard_state);
    }
    LogIndex last = this->last_written;
    for (const replication::Entry& entry : output.entries_to_write) {
      if (entry.index <= last) {
        bytes += EncodeRecord(TruncateRecord{entry.index});
      }
      bytes += EncodeRecord(entry);
      last = entry.index;
    }
    if (bytes.empty()) {
      return absl::OkStatus();
    }
    TRY(this->AppendAndSync(bytes));
    this->last_written = last;
    this->RecordTerms(output.entries_to_write);
    if (this->segment_length > this->settings.segment_bytes) {
      TRY(this->StartSegment());
    }
    return absl::OkStatus();
  }

  // Stores a snapshot and removes the segments and snapshots that it covers.
  // After kStorageUnreadable nothing was replaced.
  absl::Status SaveSnapshot(const replication::Snapshot& snapshot) {
    TRY(this->DiscardUnfinished());
    return this->StoreSnapshot(snapshot, false);
  }

 private:
  DataFolder(DiskType& disk, std::string path, StorageSettings settings)
      : disk(&disk), path(std::move(path)), settings(settings) {}

  std::string PathOf(std::string_view name) const {
    return StrCat(this->path, "/", name);
  }

  // Writes a file atomically: after a crash it is complete or doesn't exist. It
  // replaces an earlier one only after `check`, which gets the bytes that were
  // read back and the path, has returned no error.
  template <typename Check>
  static absl::Status WriteAtomically(DiskType& disk,
                                      const std::string& folder,
                                      const std::string& name,
                                      std::string_view bytes,
                                      const Check& check) {
    const std::string target = StrCat(folder, "/", name);
    const std::string temporary = StrCat(target, kTemporarySuffix);
    // Appending to the remains of an interrupted attempt would damage the file.
    TRY(disk.Remove(temporary));
    const absl::Status written =
        WriteAndRename(disk, temporary, target, bytes, check);
    if (!written.ok()) {
      // The partial file would take up space that the log needs. If the removal
      // fails, the next attempt removes the file.
      disk.Remove(temporary).IgnoreError();
      return written;
    }
    return disk.SyncFolder(folder);
  }

  template <typename Check>
  static absl::Status WriteAndRename(DiskType& disk,
                                     const std::string& temporary,
                                     const std::string& target,
                                     std::string_view bytes,
                                     const Check& check) {
    auto file = TRY(disk.OpenForAppend(temporary));
    TRY(file.Append(bytes));
    TRY(file.Sync());
    const absl::StatusOr<std::string> read = disk.Read(temporary);
    const absl::Status readable =
        read.ok() ? check(*read, target) : read.status();
    if (IsUnreadable(readable) ||
        CodeOf(readable) == ResultCode::kStorageFailed) {
      return MakeError(ResultCode::kStorageUnreadable,
                       FromAbsl(readable.message()));
    }
    TRY(readable);
    return disk.Rename(temporary, target);
  }

  static absl::Status RenameAside(DiskType& disk, const std::string& target) {
    return disk.Rename(target, StrCat(target, kUnreadableSuffix));
  }

  // Sets aside the segments and snapshots among `names`, durably.
  static absl::Status SetAsideNumberedFiles(
      DiskType& disk,
      const std::string& path,
      const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      if (ParseSegmentName(name) || ParseSnapshotName(name)) {
        TRY(RenameAside(disk, StrCat(path, "/", name)));
      }
    }
    return disk.SyncFolder(path);
  }

  static absl::StatusOr<Identity> ParseIdentity(const std::string& text,
                                                const std::string& file_path) {
    const nlohmann::json json =
        TRY(ParseJson(text, file_path, ResultCode::kStorageDamaged));
    auto identity = FromJson<Identity>(json, file_path, UnknownKeys::kIgnore);
    return identity.ok() ? std::move(identity)
                         : MakeError(ResultCode::kStorageDamaged,
                                     FromAbsl(identity.status().message()));
  }

  absl::Status LoadIdentity() {
    const std::string file_path = this->PathOf(kIdentityFile);
    const std::string text = TRY(this->disk->Read(file_path));
    this->stored_identity = TRY(ParseIdentity(text, file_path));
    if (this->stored_identity.format_version > Identity().format_version) {
      return MakeError(ResultCode::kStorageVersion,
                       StrCat(file_path, ": format version ",
                              this->stored_identity.format_version,
                              " is newer than this program's"));
    }
    this->start.self = this->stored_identity.node;
    this->start.snapshot.meta.membership.voters =
        this->stored_identity.first_voters;
    return absl::OkStatus();
  }

  // A snapshot file that could not be read.
  struct UnreadableSnapshot {
    LogIndex index;
    absl::Status error;
  };

  // Loads the newest snapshot that can be read. Returns those after it, newest
  // first.
  absl::StatusOr<std::vector<UnreadableSnapshot>> LoadSnapshot(
      const std::vector<std::string>& names) {
    std::vector<UnreadableSnapshot> unreadable;
    for (auto name = names.rbegin(); name != names.rend(); ++name) {
      const auto index = ParseSnapshotName(*name);
      if (!index) {
        continue;
      }
      absl::StatusOr<replication::Snapshot> snapshot =
          this->ReadSnapshot(this->PathOf(*name));
      if (snapshot.ok()) {
        this->start.snapshot = *std::move(snapshot);
        break;
      }
      if (!IsUnreadable(snapshot.status())) {
        return snapshot.status();
      }
      unreadable.push_back({*index, snapshot.status()});
    }
    this->snapshot_index = this->start.snapshot.meta.index;
    this->found.snapshot_index = this->snapshot_index;
    this->found.unreadable_snapshots = unreadable.size();
    return unreadable;
  }

  absl::StatusOr<replication::Snapshot> ReadSnapshot(
      const std::string& file_path) {
    const std::string bytes = TRY(this->disk->Read(file_path));
    return DecodeSnapshot(bytes, file_path);
  }

  // Returns the error of the newest unreadable snapshot, unless the log still
  // holds all that it stood for: a shorter one would forget what this replica
  // has acknowledged.
  absl::Status CheckLogMakesUpFor(
      const std::vector<UnreadableSnapshot>& unreadable) const {
    if (unreadable.empty() || this->last_written >= unreadable.front().index) {
      return absl::OkStatus();
    }
    return unreadable.front().error;
  }

  // Renames the snapshots that the log makes up for. Another program that can
  // read them would take entries after them for those of another history.
  absl::Status SetAside(const std::vector<UnreadableSnapshot>& unreadable) {
    for (const UnreadableSnapshot& snapshot : unreadable) {
      TRY(RenameAside(*this->disk, this->PathOf(SnapshotName(snapshot.index))));
    }
    return unreadable.empty() ? absl::OkStatus()
                              : this->disk->SyncFolder(this->path);
  }

  absl::Status LoadSegments(const std::vector<std::string>& names,
                            bool repair) {
    std::vector<std::string> segment_names;
    std::copy_if(names.begin(), names.end(), std::back_inserter(segment_names),
                 [](const std::string& name) {
                   return ParseSegmentName(name).has_value();
                 });
    LoadedLog log(this->start.snapshot.meta);
    for (const std::string& name : segment_names) {
      const bool is_newest = name == segment_names.back();
      TRY(this->LoadSegment(name, is_newest, repair, log));
    }
    this->start.hard_state = log.hard_state();
    this->start.entries = log.TakeEntries();
    this->hard_state = this->start.hard_state;
    this->RecordTerms(this->start.entries);
    this->last_written = this->start.entries.empty()
                             ? this->snapshot_index
                             : this->start.entries.back().index;
    this->found.entries_after_snapshot = this->start.entries.size();
    this->found.last_index = this->last_written;
    return absl::OkStatus();
  }

  absl::Status LoadSegment(const std::string& name,
                           bool is_newest,
                           bool repair,
                           LoadedLog& log) {
    const std::string file_path = this->PathOf(name);
    const std::string bytes = TRY(this->disk->Read(file_path));
    const SegmentContent content =
        TRY(DecodeSegment(bytes, file_path, is_newest));
    for (const LogRecord& record : content.records) {
      TRY(log.Apply(record, file_path));
    }
    ++this->found.segments;
    this->found.log_bytes += content.whole_length;
    this->found.torn_bytes += bytes.size() - content.whole_length;
    const std::uint64_t sequence = *ParseSegmentName(name);
    this->next_sequence = sequence + 1;
    if (content.has_torn_tail && repair) {
      if (content.whole_length == 0) {
        // The removal must last before a later segment does: behind a torn one
        // nothing may follow.
        TRY(this->disk->Remove(file_path));
        return this->disk->SyncFolder(this->path);
      }
      TRY(this->disk->Truncate(file_path, content.whole_length));
    }
    if (repair) {
      TRY(this->SyncExistingFile(file_path));
    }
    this->closed_segments[sequence] = log.last_index();
    return absl::OkStatus();
  }

  // Makes the content that was read from a file durable. A process that was
  // killed between a write and its sync leaves bytes that can be read but may
  // still be lost, and this process relies on them from here on.
  absl::Status SyncExistingFile(const std::string& file_path) {
    auto file = TRY(this->disk->OpenForAppend(file_path));
    return file.Sync();
  }

  // Records the terms of entries that were written.
  void RecordTerms(const std::vector<replication::Entry>& entries) {
    for (const replication::Entry& entry : entries) {
      this->terms.erase(this->terms.lower_bound(entry.index),
                        this->terms.end());
      if (this->terms.empty() || this->terms.rbegin()->second != entry.term) {
        this->terms.emplace(entry.index, entry.term);
      }
    }
  }

  // Returns true if the stored entry at the snapshot's index has another term.
  bool IsOtherHistory(const replication::SnapshotMeta& meta) const {
    const auto next = this->terms.upper_bound(meta.index);
    return meta.index > this->snapshot_index &&
           meta.index <= this->last_written && next != this->terms.begin() &&
           std::prev(next)->second != meta.term;
  }

  // Stores a snapshot and begins a new segment after it, before it removes what
  // the snapshot covers. If `does_replace_log` is true, the entries that are
  // stored belong to another history and are dropped, also those after the
  // snapshot.
  absl::Status StoreSnapshot(const replication::Snapshot& snapshot,
                             bool does_replace_log) {
    TRY(WriteAtomically(
        *this->disk, this->path, SnapshotName(snapshot.meta.index),
        EncodeSnapshot(snapshot),
        [&](const std::string& bytes, const std::string& file_path) {
          return CheckSameSnapshot(bytes, file_path, snapshot);
        }));
    this->snapshot_index = snapshot.meta.index;
    this->last_written =
        does_replace_log ? snapshot.meta.index
                         : std::max(this->last_written, snapshot.meta.index);
    if (does_replace_log) {
      this->terms.clear();
    }
    TRY(this->StartSegment());
    return this->RemoveCoveredFiles();
  }

  // Starts a new segment. It begins with the hard state, so that older segments
  // can be removed. If no entry follows the snapshot, it says so as well:
  // entries of another history that older segments hold then can't be read as
  // a part of this one, whichever of these segments remain.
  absl::Status StartSegment() {
    const std::uint64_t sequence = this->next_sequence;
    std::string bytes(kSegmentHeader);
    bytes += EncodeRecord(this->hard_state);
    if (this->last_written == this->snapshot_index) {
      bytes += EncodeRecord(TruncateRecord{LogIndex(0)});
    }
    this->has_unfinished_segment = true;
    auto file = this->CreateSegment(sequence, bytes);
    if (!file.ok()) {
      // The file would take up space that the log needs. If the removal fails,
      // the next call repeats it.
      this->RemoveUnfinishedSegment().IgnoreError();
      return file.status();
    }
    this->has_unfinished_segment = false;
    if (this->segment_sequence != 0) {
      this->closed_segments[this->segment_sequence] = this->last_written;
    }
    this->segment = *std::move(file);
    this->segment_sequence = sequence;
    this->segment_length = bytes.size();
    this->next_sequence = sequence + 1;
    return absl::OkStatus();
  }

  // Creates the file of a segment and makes its first bytes and name durable.
  absl::StatusOr<typename DiskType::File> CreateSegment(
      std::uint64_t sequence,
      const std::string& bytes) {
    auto file =
        TRY(this->disk->OpenForAppend(this->PathOf(SegmentName(sequence))));
    TRY(file.Append(bytes));
    TRY(file.Sync());
    TRY(this->disk->SyncFolder(this->path));
    return file;
  }

  // Durably discards what earlier calls that failed on a full disk have left,
  // so that nothing is written behind it or read after what is written now.
  absl::Status DiscardUnfinished() {
    TRY(this->RemoveUnfinishedSegment());
    return this->TruncateUnfinishedWrite();
  }

  // Removes the file of a segment that could not be started. It may be torn, or
  // hold a hard state that is older than the one written next.
  absl::Status RemoveUnfinishedSegment() {
    if (!this->has_unfinished_segment) {
      return absl::OkStatus();
    }
    TRY(this->disk->Remove(this->PathOf(SegmentName(this->next_sequence))));
    TRY(this->disk->SyncFolder(this->path));
    this->has_unfinished_segment = false;
    return absl::OkStatus();
  }

  // Cuts off the bytes of a write that failed on a full disk. Nothing may
  // follow them, neither in this segment nor in the next one.
  absl::Status TruncateUnfinishedWrite() {
    if (!this->has_unfinished_write) {
      return absl::OkStatus();
    }
    TRY(this->disk->Truncate(this->PathOf(SegmentName(this->segment_sequence)),
                             this->segment_length));
    this->has_unfinished_write = false;
    return absl::OkStatus();
  }

  absl::Status AppendAndSync(const std::string& bytes) {
    // A disk may report that it is full only at the sync. The bytes are in the
    // file even so, and must be cut off before they are written again.
    this->has_unfinished_write = true;
    TRY(this->segment.Append(bytes));
    TRY(this->segment.Sync());
    this->has_unfinished_write = false;
    this->segment_length += bytes.size();
    return absl::OkStatus();
  }

  // Removes the oldest segments and snapshots that the last snapshot covers.
  absl::Status RemoveCoveredFiles() {
    while (!this->closed_segments.empty() &&
           this->closed_segments.begin()->second <= this->snapshot_index) {
      TRY(this->disk->Remove(
          this->PathOf(SegmentName(this->closed_segments.begin()->first))));
      // A later segment may replace entries of an earlier one, so an earlier
      // one must never be left without those that followed it.
      TRY(this->disk->SyncFolder(this->path));
      this->closed_segments.erase(this->closed_segments.begin());
    }
    for (const std::string& name : TRY(this->disk->List(this->path))) {
      const auto index = ParseSnapshotName(name);
      if (index && *index < this->snapshot_index) {
        TRY(this->disk->Remove(this->PathOf(name)));
      }
    }
    return this->disk->SyncFolder(this->path);
  }

  DiskType* disk;
  std::string path;
  StorageSettings settings;
  Identity stored_identity;
  FolderReport found;
  replication::StartState start;
  replication::HardState hard_state;
  LogIndex snapshot_index;
  LogIndex last_written;
  // The terms of the stored entries, by the first index of each run of one
  // term. Runs before the snapshot may be contained.
  std::map<LogIndex, Term> terms;

  typename DiskType::File segment;
  std::uint64_t segment_sequence = 0;
  std::uint64_t segment_length = 0;
  std::uint64_t next_sequence = 1;
  bool has_unfinished_write = false;
  // True if the file of the next segment may exist from a failed attempt to
  // start it.
  bool has_unfinished_segment = false;
  // The index of the last entry, by the sequence number of each closed segment.
  std::map<std::uint64_t, LogIndex> closed_segments;
};

}  // namespace sumac::storage

#endif  // LIBRARIES_STORAGE_DATA_FOLDER_H_
