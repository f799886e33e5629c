// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_POWER_COPY_H_
#define TESTS_STAND_INS_POWER_COPY_H_

#include <cstdint>
#include <filesystem>
#include <map>
#include <mutex>
#include <string>

namespace sumac::stand_ins {

// Keeps a copy of what a loss of power would leave of a flat folder whose files
// are only appended to or truncated. A file keeps the bytes that its last sync
// covered; files that were created, renamed or removed do so durably with the
// next sync of the folder.
//
// `copy`/names holds the durable names: hard links to the durable bytes in
// `copy`/files, which are named INODE-BIRTH, as bytes belong to a file rather
// than to its name.
class PowerCopy {
 public:
  // Continues an existing copy, as after a kill. Without one, all that `data`
  // holds counts as durable, as after a loss of power.
  PowerCopy(std::filesystem::path data, std::filesystem::path copy);

  // Syncs a descriptor with `sync`, and copies what that made durable if the
  // descriptor is that of the folder or of a file in it. Takes the number of
  // milliseconds in `copy`/sync-ms longer, if that file exists.
  int Sync(int descriptor, int (*sync)(int));

 private:
  void CommitFile(const std::filesystem::path& path,
                  const std::string& key,
                  std::uintmax_t length) const;
  // Gives the copy these names, each with the key of its file.
  void CommitNames(const std::map<std::string, std::string>& keys) const;
  void Delay() const;

  std::filesystem::path data;
  std::filesystem::path copy;
  std::mutex mutex;
};

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_POWER_COPY_H_
