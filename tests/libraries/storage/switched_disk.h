// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_STORAGE_SWITCHED_DISK_H_
#define TESTS_LIBRARIES_STORAGE_SWITCHED_DISK_H_

#include <atomic>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/base/error.h"
#include "libraries/base/try.h"
#include "libraries/storage/disk.h"
#include "tests/libraries/storage/fake_disk.h"

namespace sumac::storage {

// A disk in memory that another thread than the one which uses it fills up and
// empties.
class SwitchedDisk {
 public:
  class File {
   public:
    File() = default;
    File(SwitchedDisk* disk, FakeDisk::File file)
        : disk(disk), file(std::move(file)) {}

    absl::Status Append(std::string_view bytes) {
      TRY(this->disk->CheckRoom());
      return this->file.Append(bytes);
    }
    absl::Status Sync() {
      TRY(this->disk->CheckRoom());
      return this->file.Sync();
    }

   private:
    SwitchedDisk* disk = nullptr;
    FakeDisk::File file;
  };

  absl::Status MakeFolder(const std::string& path) {
    TRY(this->CheckRoom());
    return this->inner.MakeFolder(path);
  }
  absl::StatusOr<std::vector<std::string>> List(const std::string& path) {
    return this->inner.List(path);
  }
  absl::StatusOr<std::string> Read(const std::string& path) {
    return this->inner.Read(path);
  }
  absl::StatusOr<File> OpenForAppend(const std::string& path) {
    TRY(this->CheckRoom());
    if (this->is_out_of_descriptors) {
      return MakeError(ResultCode::kStorageShort, "too many open files");
    }
    return File(this, TRY(this->inner.OpenForAppend(path)));
  }
  absl::Status Truncate(const std::string& path, std::uint64_t length) {
    TRY(this->CheckRoom());
    return this->inner.Truncate(path, length);
  }
  absl::Status Rename(const std::string& from, const std::string& to) {
    TRY(this->CheckRoom());
    return this->inner.Rename(from, to);
  }
  absl::Status Remove(const std::string& path) {
    TRY(this->CheckRoom());
    return this->inner.Remove(path);
  }
  absl::Status SyncFolder(const std::string& path) {
    TRY(this->CheckRoom());
    return this->inner.SyncFolder(path);
  }

  // While it is full it refuses everything that writes.
  std::atomic<bool> is_full = false;
  // While the process has no descriptor to spare, no file can be opened.
  std::atomic<bool> is_out_of_descriptors = false;
  // Only for the thread that uses the disk, or once that has ended.
  FakeDisk inner;

 private:
  absl::Status CheckRoom() const {
    return this->is_full ? MakeError(ResultCode::kDiskFull, "no room")
                         : absl::OkStatus();
  }
};

static_assert(Disk<SwitchedDisk>);

}  // namespace sumac::storage

#endif  // TESTS_LIBRARIES_STORAGE_SWITCHED_DISK_H_
