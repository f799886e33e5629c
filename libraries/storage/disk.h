// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_STORAGE_DISK_H_
#define LIBRARIES_STORAGE_DISK_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace sumac::storage {

// A file open for appending.
template <typename T>
concept AppendFile = requires(T& file, std::string_view bytes) {
  // Appends bytes; returns kDiskFull or kStorageFailed on an error.
  { file.Append(bytes) } -> std::same_as<absl::Status>;
  // Makes all appended bytes durable.
  { file.Sync() } -> std::same_as<absl::Status>;
};

// The disk operations that storage uses. PosixDisk is the implementation for
// production; tests use a disk that loses unsynced bytes, tears writes, fills
// up or fails a sync.
template <typename T>
concept Disk = requires(T& disk,
                        const std::string& path,
                        std::string_view bytes) {
  requires AppendFile<typename T::File>;
  { disk.MakeFolder(path) } -> std::same_as<absl::Status>;
  // Returns all names in a folder, sorted.
  { disk.List(path) } -> std::same_as<absl::StatusOr<std::vector<std::string>>>;
  { disk.Read(path) } -> std::same_as<absl::StatusOr<std::string>>;
  {
    disk.OpenForAppend(path)
    } -> std::same_as<absl::StatusOr<typename T::File>>;
  // Truncates a file to a length and syncs it.
  { disk.Truncate(path, std::uint64_t{}) } -> std::same_as<absl::Status>;
  { disk.Rename(path, path) } -> std::same_as<absl::Status>;
  // Removes a file; succeeds if there is none.
  { disk.Remove(path) } -> std::same_as<absl::Status>;
  // Makes creations, renames and removals in a folder durable.
  { disk.SyncFolder(path) } -> std::same_as<absl::Status>;
};

}  // namespace sumac::storage

#endif  // LIBRARIES_STORAGE_DISK_H_
