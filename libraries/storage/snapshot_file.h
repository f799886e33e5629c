// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_STORAGE_SNAPSHOT_FILE_H_
#define LIBRARIES_STORAGE_SNAPSHOT_FILE_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/replication/types.h"

namespace sumac::storage {

// The format of a snapshot file, version 1: "SUMACSN" and the version byte, the
// CRC-32 of the body in four little-endian bytes, then the body: a Cap'n Proto
// SnapshotFile.

// Returns the bytes of the snapshot file for `snapshot`.
std::string EncodeSnapshot(const replication::Snapshot& snapshot);

// Decodes a snapshot file. Returns kStorageDamaged with the file's path for any
// damage, kStorageVersion for another format version.
absl::StatusOr<replication::Snapshot> DecodeSnapshot(std::string_view bytes,
                                                     const std::string& path);

// Returns an error unless `bytes`, the file at `path`, hold `snapshot`.
absl::Status CheckSameSnapshot(std::string_view bytes,
                               const std::string& path,
                               const replication::Snapshot& snapshot);

}  // namespace sumac::storage

#endif  // LIBRARIES_STORAGE_SNAPSHOT_FILE_H_
