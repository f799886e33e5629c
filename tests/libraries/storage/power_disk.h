// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_STORAGE_POWER_DISK_H_
#define TESTS_LIBRARIES_STORAGE_POWER_DISK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/storage/disk.h"
#include "tests/libraries/storage/disk_operation.h"

namespace sumac::storage {

// A disk in memory with one folder that keeps after a loss of power what a real
// one may keep, and no more. A file holds what its last sync covered; each
// later write or truncation is present, absent or (a write) cut short. A new
// file lasts once it is itself synced. Any other creation, renaming or removal
// is kept or lost independently of the others until the folder is synced. All
// choices come from a seed.
class PowerDisk {
 public:
  // The content of a file, which a name of the folder refers to.
  struct Node {
    // A write or a truncation that no sync has covered yet.
    struct Change {
      std::uint64_t offset = 0;
      // The bytes written at `offset`; nullopt for a truncation to `offset`.
      std::optional<std::string> bytes;
    };
    std::string bytes;
    std::string synced;
    std::vector<Change> changes;
  };
  using Names = std::map<std::string, std::shared_ptr<Node>>;

  class File {
   public:
    File() = default;
    File(PowerDisk* disk, std::string path, std::shared_ptr<Node> node)
        : disk(disk), path(std::move(path)), node(std::move(node)) {}

    absl::Status Append(std::string_view bytes);
    absl::Status Sync();

   private:
    PowerDisk* disk = nullptr;
    std::string path;
    std::shared_ptr<Node> node;
  };

  explicit PowerDisk(std::uint64_t seed) : random(seed) {}

  absl::Status MakeFolder(const std::string& path);
  absl::StatusOr<std::vector<std::string>> List(const std::string& path);
  absl::StatusOr<std::string> Read(const std::string& path);
  absl::StatusOr<File> OpenForAppend(const std::string& path);
  absl::Status Truncate(const std::string& path, std::uint64_t length);
  absl::Status Rename(const std::string& from, const std::string& to);
  absl::Status Remove(const std::string& path);
  absl::Status SyncFolder(const std::string& path);

  // Ends the process after `operations` further operations; the one that is
  // interrupted may be done, undone or half done. All later ones fail.
  void StopAfter(std::uint64_t operations) {
    this->operations_left = operations;
  }
  bool is_stopped() const { return this->operations_left == 0U; }
  // Lets the next process use the disk as the last one left it.
  void Resume() { this->operations_left.reset(); }

  // Decides by the seed what a loss of power leaves.
  void LosePower();

  // The share of operations that the disk refuses for lack of space or
  // descriptors, in percent. A refused operation may be half done.
  std::uint32_t refused_percent = 0;
  // The operations that the disk always refuses, and the part of a path to
  // which that is limited. They do nothing.
  std::set<DiskOperation> refused;
  std::string refused_path;
  // Whether unsynced changes of these names outlast a loss of power. The seed
  // decides for all others.
  std::map<std::string, bool> kept_names;
  // The names of the folder as the process sees them.
  Names names;

 private:
  // A creation, renaming or removal that no sync has covered yet.
  struct NameChange {
    std::string removed;
    std::string created;
    std::shared_ptr<Node> node;
  };

  // What happens to an operation.
  enum class Outcome { kDone, kUndone, kHalfDone, kDoneAndFailed };

  struct Decision {
    Outcome outcome = Outcome::kDone;
    absl::Status status;
  };

  Decision Decide(DiskOperation operation, const std::string& path);
  bool IsKept(const NameChange& change);
  bool Draw(std::uint32_t percent);
  std::uint64_t DrawBelow(std::uint64_t limit);
  void ApplyNameChange(const NameChange& change);
  void SyncNode(const std::shared_ptr<Node>& node);
  void LoseUnsyncedBytes(Node& node, bool loses_all);

  std::mt19937_64 random;
  std::optional<std::uint64_t> operations_left;
  Names synced_names;
  std::vector<NameChange> name_changes;
};

static_assert(Disk<PowerDisk>);

}  // namespace sumac::storage

#endif  // TESTS_LIBRARIES_STORAGE_POWER_DISK_H_
