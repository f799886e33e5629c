// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_STORAGE_DISK_OPERATION_H_
#define TESTS_LIBRARIES_STORAGE_DISK_OPERATION_H_

namespace sumac::storage {

// The operations that a disk may refuse for lack of space or descriptors.
enum class DiskOperation {
  kList,
  kRead,
  kAppend,
  kSync,
  kOpen,
  kTruncate,
  kRename,
  kRemove,
  kSyncFolder,
};

}  // namespace sumac::storage

#endif  // TESTS_LIBRARIES_STORAGE_DISK_OPERATION_H_
