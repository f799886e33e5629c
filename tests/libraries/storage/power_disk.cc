// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/storage/power_disk.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/result_code.h"

namespace sumac::storage {
namespace {

constexpr std::uint32_t kAllPercent = 100;
constexpr std::uint32_t kHalfPercent = 50;
// Some losses of power remove every unsynced write.
constexpr std::uint32_t kLosesAllPercent = 30;

void WriteAt(std::string& bytes,
             std::uint64_t offset,
             std::string_view written) {
  bytes.resize(std::max<std::size_t>(bytes.size(), offset + written.size()));
  bytes.replace(offset, written.size(), written);
}

}  // namespace

absl::Status PowerDisk::File::Append(std::string_view bytes) {
  const Decision decision =
      this->disk->Decide(DiskOperation::kAppend, this->path);
  std::string_view written = bytes;
  if (decision.outcome == Outcome::kUndone) {
    written = "";
  } else if (decision.outcome == Outcome::kHalfDone) {
    written = bytes.substr(0, this->disk->DrawBelow(bytes.size()));
  }
  if (!written.empty()) {
    const std::uint64_t offset = this->node->bytes.size();
    this->node->changes.push_back({offset, std::string(written)});
    this->node->bytes += written;
  }
  return decision.status;
}

absl::Status PowerDisk::File::Sync() {
  const Decision decision =
      this->disk->Decide(DiskOperation::kSync, this->path);
  if (decision.outcome == Outcome::kDone ||
      decision.outcome == Outcome::kDoneAndFailed) {
    this->disk->SyncNode(this->node);
  }
  return decision.status;
}

absl::Status PowerDisk::MakeFolder(const std::string& /*path*/) {
  return absl::OkStatus();
}

absl::StatusOr<std::vector<std::string>> PowerDisk::List(
    const std::string& path) {
  const Decision decision = this->Decide(DiskOperation::kList, path);
  if (!decision.status.ok()) {
    return decision.status;
  }
  std::vector<std::string> listed;
  for (const auto& [name, node] : this->names) {
    if (name.starts_with(path + "/")) {
      listed.push_back(name.substr(path.size() + 1));
    }
  }
  return listed;
}

absl::StatusOr<std::string> PowerDisk::Read(const std::string& path) {
  const Decision decision = this->Decide(DiskOperation::kRead, path);
  if (!decision.status.ok()) {
    return decision.status;
  }
  const auto found = this->names.find(path);
  if (found == this->names.end()) {
    return MakeError(ResultCode::kStorageFailed, path + ": no such file");
  }
  return found->second->bytes;
}

absl::StatusOr<PowerDisk::File> PowerDisk::OpenForAppend(
    const std::string& path) {
  const Decision decision = this->Decide(DiskOperation::kOpen, path);
  if (decision.outcome != Outcome::kUndone && !this->names.contains(path)) {
    const auto node = std::make_shared<Node>();
    this->names[path] = node;
    this->name_changes.push_back({"", path, node});
  }
  if (!decision.status.ok()) {
    return decision.status;
  }
  return File(this, path, this->names[path]);
}

absl::Status PowerDisk::Truncate(const std::string& path,
                                 std::uint64_t length) {
  const Decision decision = this->Decide(DiskOperation::kTruncate, path);
  const auto found = this->names.find(path);
  if (found == this->names.end()) {
    return MakeError(ResultCode::kStorageFailed, path + ": no such file");
  }
  if (decision.outcome != Outcome::kUndone) {
    found->second->bytes.resize(length);
    found->second->changes.push_back({length, std::nullopt});
  }
  if (decision.outcome == Outcome::kDone ||
      decision.outcome == Outcome::kDoneAndFailed) {
    this->SyncNode(found->second);
  }
  return decision.status;
}

absl::Status PowerDisk::Rename(const std::string& from, const std::string& to) {
  const Decision decision = this->Decide(DiskOperation::kRename, to);
  const auto found = this->names.find(from);
  if (found == this->names.end()) {
    return MakeError(ResultCode::kStorageFailed, from + ": no such file");
  }
  if (decision.outcome != Outcome::kUndone) {
    const std::shared_ptr<Node> node = found->second;
    this->names.erase(found);
    this->names[to] = node;
    this->name_changes.push_back({from, to, node});
  }
  return decision.status;
}

absl::Status PowerDisk::Remove(const std::string& path) {
  const Decision decision = this->Decide(DiskOperation::kRemove, path);
  const auto found = this->names.find(path);
  if (decision.outcome != Outcome::kUndone && found != this->names.end()) {
    this->name_changes.push_back({path, "", found->second});
    this->names.erase(found);
  }
  return decision.status;
}

absl::Status PowerDisk::SyncFolder(const std::string& path) {
  const Decision decision = this->Decide(DiskOperation::kSyncFolder, path);
  if (decision.outcome == Outcome::kDone ||
      decision.outcome == Outcome::kDoneAndFailed) {
    this->synced_names = this->names;
    this->name_changes.clear();
  }
  return decision.status;
}

void PowerDisk::LosePower() {
  for (const NameChange& change :
       std::exchange(this->name_changes, std::vector<NameChange>())) {
    if (this->IsKept(change)) {
      this->ApplyNameChange(change);
    }
  }
  this->names = this->synced_names;
  const bool loses_all = this->Draw(kLosesAllPercent);
  std::set<Node*> done;
  for (const auto& [name, node] : this->names) {
    if (done.insert(node.get()).second) {
      this->LoseUnsyncedBytes(*node, loses_all);
    }
  }
}

PowerDisk::Decision PowerDisk::Decide(DiskOperation operation,
                                      const std::string& path) {
  const bool is_last = this->operations_left == 1U;
  if (this->operations_left == 0U) {
    return {Outcome::kUndone,
            MakeError(ResultCode::kStorageFailed, "the process has ended")};
  }
  if (this->operations_left) {
    --*this->operations_left;
  }
  const bool is_always_refused =
      this->refused.contains(operation) &&
      path.find(this->refused_path) != std::string::npos;
  if (!is_last && is_always_refused) {
    return {Outcome::kUndone, MakeError(ResultCode::kDiskFull, "refused")};
  }
  const bool is_refused = !is_last && this->Draw(this->refused_percent);
  if (!is_last && !is_refused) {
    return {};
  }
  constexpr std::array kFailures{Outcome::kUndone, Outcome::kHalfDone,
                                 Outcome::kDoneAndFailed};
  const Outcome outcome = kFailures[this->DrawBelow(kFailures.size())];
  if (is_last) {
    return {outcome, MakeError(ResultCode::kStorageFailed, "the process ends")};
  }
  return {outcome,
          MakeError(this->Draw(kHalfPercent) ? ResultCode::kDiskFull
                                             : ResultCode::kStorageShort,
                    "refused")};
}

bool PowerDisk::IsKept(const NameChange& change) {
  const auto chosen = this->kept_names.find(
      change.created.empty() ? change.removed : change.created);
  return chosen != this->kept_names.end() ? chosen->second
                                          : this->Draw(kHalfPercent);
}

bool PowerDisk::Draw(std::uint32_t percent) {
  return percent > 0 && this->DrawBelow(kAllPercent) < percent;
}

std::uint64_t PowerDisk::DrawBelow(std::uint64_t limit) {
  return limit == 0 ? 0 : this->random() % limit;
}

void PowerDisk::ApplyNameChange(const NameChange& change) {
  // NOTE: A removal concerns the file that it removed, not a later one of the
  // same name that a sync has made durable before the removal.
  const auto removed = this->synced_names.find(change.removed);
  if (removed != this->synced_names.end() && removed->second == change.node) {
    this->synced_names.erase(removed);
  }
  if (!change.created.empty()) {
    this->synced_names[change.created] = change.node;
  }
}

void PowerDisk::SyncNode(const std::shared_ptr<Node>& node) {
  node->synced = node->bytes;
  node->changes.clear();
  const auto creation =
      std::find_if(this->name_changes.begin(), this->name_changes.end(),
                   [&](const NameChange& change) {
                     return change.node == node && change.removed.empty();
                   });
  if (creation == this->name_changes.end()) {
    return;
  }
  // An earlier renaming to the same name must not replace the new file.
  for (auto change = this->name_changes.begin(); change != creation; ++change) {
    if (change->created == creation->created) {
      change->created.clear();
    }
  }
  this->synced_names[creation->created] = node;
  this->name_changes.erase(creation);
}

void PowerDisk::LoseUnsyncedBytes(Node& node, bool loses_all) {
  node.bytes = node.synced;
  for (const Node::Change& change : node.changes) {
    if (loses_all || this->Draw(kHalfPercent)) {
      continue;
    }
    if (!change.bytes) {
      node.bytes.resize(
          std::min<std::size_t>(node.bytes.size(), change.offset));
      continue;
    }
    const bool is_torn = this->Draw(kHalfPercent);
    WriteAt(node.bytes, change.offset,
            std::string_view(*change.bytes)
                .substr(0, is_torn ? this->DrawBelow(change.bytes->size())
                                   : change.bytes->size()));
  }
  node.synced = node.bytes;
  node.changes.clear();
}

}  // namespace sumac::storage
