// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_STORAGE_FAKE_DISK_H_
#define TESTS_LIBRARIES_STORAGE_FAKE_DISK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/try.h"
#include "libraries/storage/disk.h"
#include "tests/libraries/storage/disk_operation.h"

namespace sumac::storage {

// A disk in memory that loses unsynced data in a crash and fails on request.
class FakeDisk {
 public:
  struct Content {
    std::string bytes;
    std::size_t synced = 0;
  };

  class File {
   public:
    File() = default;
    File(FakeDisk* disk, std::string path)
        : disk(disk), path(std::move(path)) {}

    absl::Status Append(std::string_view bytes) {
      TRY(this->disk->CheckRoom(DiskOperation::kAppend));
      if (this->disk->IsPowerLost()) {
        return MakeError(ResultCode::kStorageFailed, "power lost");
      }
      Content& content = this->disk->files[this->path];
      if (bytes.size() > this->disk->room) {
        content.bytes += bytes.substr(0, this->disk->room);
        this->disk->room = 0;
        return MakeError(ResultCode::kDiskFull, "no room");
      }
      this->disk->room -= bytes.size();
      content.bytes += bytes;
      return absl::OkStatus();
    }

    absl::Status Sync() {
      TRY(this->disk->CheckRoom(DiskOperation::kSync));
      if (this->disk->fails_sync || this->disk->IsPowerLost()) {
        return MakeError(ResultCode::kStorageFailed, "sync failed");
      }
      Content& content = this->disk->files[this->path];
      content.synced = content.bytes.size();
      return absl::OkStatus();
    }

   private:
    FakeDisk* disk = nullptr;
    std::string path;
  };

  absl::Status MakeFolder(const std::string& /*path*/) {
    return absl::OkStatus();
  }

  absl::StatusOr<std::vector<std::string>> List(const std::string& path) {
    std::vector<std::string> names;
    for (const auto& [file, content] : this->files) {
      if (file.starts_with(path + "/")) {
        names.push_back(file.substr(path.size() + 1));
      }
    }
    return names;
  }

  absl::StatusOr<std::string> Read(const std::string& path) {
    const auto found = this->files.find(path);
    if (found == this->files.end()) {
      return MakeError(ResultCode::kStorageFailed, path + ": no such file");
    }
    std::string bytes = found->second.bytes;
    if (this->damages_reads && !bytes.empty()) {
      bytes.back() = static_cast<char>(~bytes.back());
    }
    return bytes;
  }

  absl::StatusOr<File> OpenForAppend(const std::string& path) {
    TRY(this->CheckRoom(DiskOperation::kOpen));
    this->files.try_emplace(path);
    return File(this, path);
  }

  absl::Status Truncate(const std::string& path, std::uint64_t length) {
    TRY(this->CheckRoom(DiskOperation::kTruncate));
    if (this->IsPowerLost()) {
      return MakeError(ResultCode::kStorageFailed, "power lost");
    }
    Content& content = this->files[path];
    content.bytes.resize(length);
    content.synced = length;
    return absl::OkStatus();
  }

  absl::Status Rename(const std::string& from, const std::string& to) {
    TRY(this->CheckRoom(DiskOperation::kRename));
    if (this->IsPowerLost()) {
      return MakeError(ResultCode::kStorageFailed, "power lost");
    }
    this->files[to] = this->files[from];
    this->files.erase(from);
    return absl::OkStatus();
  }

  absl::Status Remove(const std::string& path) {
    TRY(this->CheckRoom(DiskOperation::kRemove));
    if (this->IsPowerLost()) {
      return MakeError(ResultCode::kStorageFailed, "power lost");
    }
    this->files.erase(path);
    return absl::OkStatus();
  }

  absl::Status SyncFolder(const std::string& /*path*/) {
    TRY(this->CheckRoom(DiskOperation::kSyncFolder));
    if (this->IsPowerLost()) {
      return MakeError(ResultCode::kStorageFailed, "power lost");
    }
    // The names that the folder has now survive a crash.
    this->durable_names.clear();
    for (const auto& [file, content] : this->files) {
      this->durable_names.insert(file);
    }
    return absl::OkStatus();
  }

  // Simulates a power loss: unsynced bytes and names are lost, except for the
  // first `torn` unsynced bytes of each file.
  void Crash(std::size_t torn = 0) {
    this->operations_left.reset();
    std::erase_if(this->files, [this](const auto& item) {
      return !this->durable_names.contains(item.first);
    });
    for (auto& [file, content] : this->files) {
      content.bytes.resize(
          std::min(content.bytes.size(), content.synced + torn));
    }
  }

  std::map<std::string, Content> files;
  std::size_t room = std::size_t{1} << 40;
  bool fails_sync = false;
  // True if what is read differs from what was written.
  bool damages_reads = false;
  // The operations that fail with kDiskFull.
  std::set<DiskOperation> refused;
  // The number of operations that still succeed before the power is lost;
  // nullopt for no power loss.
  std::optional<std::uint64_t> operations_left;

 private:
  absl::Status CheckRoom(DiskOperation operation) const {
    return this->refused.contains(operation)
               ? MakeError(ResultCode::kDiskFull, "no room")
               : absl::OkStatus();
  }

  bool IsPowerLost() {
    if (!this->operations_left) {
      return false;
    }
    if (*this->operations_left == 0) {
      return true;
    }
    --*this->operations_left;
    return false;
  }

  std::set<std::string> durable_names;
};

static_assert(Disk<FakeDisk>);

}  // namespace sumac::storage

#endif  // TESTS_LIBRARIES_STORAGE_FAKE_DISK_H_
