// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_STORAGE_SNAPSHOT_FILE_H_
#define LIBRARIES_STORAGE_SNAPSHOT_FILE_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/replication/types.h"

namespace sumac::storage {

// The format of a snapshot, version 1: "SUMACSN" and the version byte, the
// CRC-32 of the body in four little-endian bytes, then the body: a Cap'n Proto
// SnapshotFile.

// The bytes of a snapshot file.
std::string EncodeSnapshot(const replication::Snapshot& snapshot);

// Reads a snapshot file; any damage is kStorageDamaged and names the file.
absl::StatusOr<replication::Snapshot> DecodeSnapshot(std::string_view bytes,
                                                     const std::string& path);

}  // namespace sumac::storage

#endif  // LIBRARIES_STORAGE_SNAPSHOT_FILE_H_
