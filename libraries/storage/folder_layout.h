// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_STORAGE_FOLDER_LAYOUT_H_
#define LIBRARIES_STORAGE_FOLDER_LAYOUT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/replication/types.h"
#include "libraries/storage/log_segment.h"

namespace sumac::storage {

inline constexpr std::string_view kIdentityFile = "identity.json";
inline constexpr std::string_view kTemporarySuffix = ".tmp";
// The suffix of a file that could not be read and that is kept for operators.
inline constexpr std::string_view kUnreadableSuffix = ".unreadable";

// Returns the file name of the segment with this sequence number. Names sort by
// number.
std::string SegmentName(std::uint64_t sequence);

// Returns the file name of the snapshot at `index`. Names sort by index.
std::string SnapshotName(LogIndex index);

// Returns the sequence number in the file name of a segment; nullopt for the
// name of another file.
std::optional<std::uint64_t> ParseSegmentName(std::string_view name);

// Returns the log index in the file name of a snapshot; nullopt for the name of
// another file.
std::optional<LogIndex> ParseSnapshotName(std::string_view name);

// Returns true for an error that the stored bytes themselves cause, so that it
// comes again at each attempt to read them.
bool IsUnreadable(const absl::Status& status);

// Rebuilds the log from its records, applied in the order of writing.
class LoadedLog {
 public:
  explicit LoadedLog(replication::SnapshotMeta snapshot);

  // Applies the next record, read from the file at `path`. Returns
  // kStorageDamaged for an entry that leaves a gap.
  absl::Status Apply(const LogRecord& record, const std::string& path);

  // Returns the highest index of an entry so far, which tells when a segment is
  // covered by a snapshot.
  LogIndex last_index() const { return this->last_seen; }
  const replication::HardState& hard_state() const {
    return this->latest_hard_state;
  }

  // Returns the entries after the snapshot, or none if the log's entry at the
  // snapshot's index has another term: the log is of another history then.
  std::vector<replication::Entry> TakeEntries();

 private:
  replication::SnapshotMeta snapshot;
  replication::HardState latest_hard_state;
  std::vector<replication::Entry> entries;
  LogIndex last_seen;
};

}  // namespace sumac::storage

#endif  // LIBRARIES_STORAGE_FOLDER_LAYOUT_H_
