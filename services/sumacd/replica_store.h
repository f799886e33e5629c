// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_REPLICA_STORE_H_
#define SERVICES_SUMACD_REPLICA_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/base/try.h"
#include "libraries/replication/replica.h"
#include "libraries/storage/data_folder.h"
#include "libraries/storage/disk.h"

namespace sumac::daemon {

// The persistent storage of a replica. Both functions block on the disk.
struct ReplicaStore {
  // Writes one output durably. After kDiskFull the same write may be tried
  // again.
  std::function<absl::Status(const replication::Output& output)> write;
  // Stores a snapshot and drops the log entries that it covers.
  std::function<absl::Status(const replication::Snapshot& snapshot)>
      save_snapshot;
  // The stored state from which the replica starts.
  replication::StartState start;
};

// Opens a data folder on a disk. The store shares ownership of the disk.
template <storage::Disk DiskType>
absl::StatusOr<ReplicaStore> OpenReplicaStore(std::shared_ptr<DiskType> disk,
                                              const std::string& path) {
  using Folder = storage::DataFolder<DiskType>;
  auto folder = std::make_shared<Folder>(
      TRY(Folder::Open(*disk, path, storage::StorageSettings())));
  replication::StartState start = folder->TakeStartState();
  return ReplicaStore{
      .write =
          [disk, folder](const replication::Output& output) {
            return folder->Write(output);
          },
      .save_snapshot =
          [disk, folder](const replication::Snapshot& snapshot) {
            return folder->SaveSnapshot(snapshot);
          },
      .start = std::move(start)};
}

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_REPLICA_STORE_H_
