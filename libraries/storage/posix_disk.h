// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_STORAGE_POSIX_DISK_H_
#define LIBRARIES_STORAGE_POSIX_DISK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/base/scope_guard.h"
#include "libraries/storage/disk.h"

namespace sumac::storage {

// The machine's file system. A file is not used again after a failed write or
// sync, since the content on the disk is undefined then (see "Can Applications
// Recover from fsync Failures?", Rebello et al. 2020).
class PosixDisk {
 public:
  // A file open for appending.
  class File {
   public:
    File() = default;
    File(FileDescriptor descriptor, std::string path)
        : descriptor(std::move(descriptor)), path(std::move(path)) {}

    absl::Status Append(std::string_view bytes);
    absl::Status Sync();

   private:
    FileDescriptor descriptor;
    std::string path;
  };

  absl::Status MakeFolder(const std::string& path);
  absl::StatusOr<std::vector<std::string>> List(const std::string& path);
  absl::StatusOr<std::string> Read(const std::string& path);
  absl::StatusOr<File> OpenForAppend(const std::string& path);
  absl::Status Truncate(const std::string& path, std::uint64_t length);
  absl::Status Rename(const std::string& from, const std::string& to);
  absl::Status Remove(const std::string& path);
  absl::Status SyncFolder(const std::string& path);
};

static_assert(Disk<PosixDisk>);

}  // namespace sumac::storage

#endif  // LIBRARIES_STORAGE_POSIX_DISK_H_
