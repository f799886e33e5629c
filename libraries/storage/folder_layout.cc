// SPDX-License-Identifier: Apache-2.0
#include "libraries/storage/folder_layout.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_format.h"
#include "libraries/base/error.h"
#include "libraries/base/text.h"

namespace sumac::storage {
namespace {

constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSegmentSuffix = ".seg";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kSnapshotSuffix = ".snap";

std::optional<std::uint64_t> ParseNumbered(std::string_view name,
                                           std::string_view prefix,
                                           std::string_view suffix) {
  std::uint64_t number = 0;
  if (!name.starts_with(prefix) || !name.ends_with(suffix) ||
      name.size() < prefix.size() + suffix.size()) {
    return std::nullopt;
  }
  name.remove_prefix(prefix.size());
  name.remove_suffix(suffix.size());
  return ParseNumber(name, &number) ? std::optional(number) : std::nullopt;
}

}  // namespace

std::string SegmentName(std::uint64_t sequence) {
  return absl::StrFormat("%s%020d%s", kSegmentPrefix, sequence, kSegmentSuffix);
}

std::string SnapshotName(LogIndex index) {
  return absl::StrFormat("%s%020d%s", kSnapshotPrefix, index.value(),
                         kSnapshotSuffix);
}

std::optional<std::uint64_t> ParseSegmentName(std::string_view name) {
  return ParseNumbered(name, kSegmentPrefix, kSegmentSuffix);
}

std::optional<LogIndex> ParseSnapshotName(std::string_view name) {
  const auto number = ParseNumbered(name, kSnapshotPrefix, kSnapshotSuffix);
  return number ? std::optional(LogIndex(*number)) : std::nullopt;
}

bool IsUnreadable(const absl::Status& status) {
  const ResultCode code = CodeOf(status);
  return code == ResultCode::kStorageDamaged ||
         code == ResultCode::kStorageVersion ||
         code == ResultCode::kStorageUnreadable;
}

LoadedLog::LoadedLog(replication::SnapshotMeta initial_snapshot)
    : snapshot(std::move(initial_snapshot)) {}

absl::Status LoadedLog::Apply(const LogRecord& record,
                              const std::string& path) {
  if (const auto* state = std::get_if<replication::HardState>(&record)) {
    this->latest_hard_state = *state;
    return absl::OkStatus();
  }
  if (const auto* truncate = std::get_if<TruncateRecord>(&record)) {
    std::erase_if(this->entries, [&](const replication::Entry& entry) {
      return entry.index >= truncate->first;
    });
    return absl::OkStatus();
  }
  const auto& entry = std::get<replication::Entry>(record);
  const bool is_next = !this->entries.empty() &&
                       this->entries.back().index.Next() == entry.index;
  if (!is_next) {
    // A gap is allowed only where the snapshot covers it. The first segment
    // that was kept may begin at any index up to the one after the snapshot.
    if (entry.index > this->snapshot.index.Next()) {
      return MakeError(ResultCode::kStorageDamaged,
                       StrCat(path, ": entry ", entry.index.value(),
                              " follows a gap that no snapshot covers"));
    }
    this->entries.clear();
  }
  this->entries.push_back(entry);
  this->last_seen = std::max(this->last_seen, entry.index);
  return absl::OkStatus();
}

std::vector<replication::Entry> LoadedLog::TakeEntries() {
  const bool is_other_history = std::any_of(
      this->entries.begin(), this->entries.end(), [this](const auto& entry) {
        return entry.index == this->snapshot.index &&
               entry.term != this->snapshot.term;
      });
  if (is_other_history) {
    return {};
  }
  std::erase_if(this->entries, [this](const auto& entry) {
    return entry.index <= this->snapshot.index;
  });
  return std::move(this->entries);
}

}  // namespace sumac::storage
