// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_STORAGE_FOLDER_LAYOUT_H_
#define LIBRARIES_STORAGE_FOLDER_LAYOUT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/replication/types.h"
#include "libraries/storage/log_segment.h"

namespace sumac::storage {

inline constexpr std::string_view kIdentityFile = "identity.json";
inline constexpr std::string_view kTemporarySuffix = ".tmp";

// The file name of the segment with this sequence number; names sort by number.
std::string SegmentName(std::uint64_t sequence);

// The file name of the snapshot at `index`; names sort by position.
std::string SnapshotName(LogIndex index);

// The sequence number in a segment's name, if it is one.
std::optional<std::uint64_t> ParseSegmentName(std::string_view name);

// The position in a snapshot's name, if it is one.
std::optional<LogIndex> ParseSnapshotName(std::string_view name);

// The log as its records leave it, one after the other.
class LoadedLog {
 public:
  explicit LoadedLog(replication::SnapshotMeta snapshot);

  // Takes in the next record; an entry that leaves a gap is kStorageDamaged.
  absl::Status Apply(const LogRecord& record, const std::string& path);

  // The position of the last entry seen, for the segment's place in the log.
  LogIndex last_index() const { return this->last_seen; }
  const replication::HardState& hard_state() const {
    return this->latest_hard_state;
  }

  // The entries after the snapshot. Entries of another history than the
  // snapshot's are left out.
  std::vector<replication::Entry> TakeEntries();

 private:
  replication::SnapshotMeta snapshot;
  replication::HardState latest_hard_state;
  std::vector<replication::Entry> entries;
  LogIndex last_seen;
};

}  // namespace sumac::storage

#endif  // LIBRARIES_STORAGE_FOLDER_LAYOUT_H_
