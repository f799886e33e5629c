// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_REPLICATION_SLOW_DISK_CLUSTER_H_
#define TESTS_LIBRARIES_REPLICATION_SLOW_DISK_CLUSTER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>

#include "tests/libraries/replication/cluster.h"

namespace sumac::replication {

// A group whose disks and network take time. An output is on the disk only
// after a drawn time, and its messages wait for that as the daemon's do: a
// leader sends entries before it has written them, but a vote, a new term or an
// acknowledgement waits. A crash loses what is not on the disk yet, but for a
// drawn part that was written and not synced.
class SlowDiskCluster : public Cluster {
 public:
  SlowDiskCluster(int voters,
                  std::uint64_t seed,
                  const ReplicationSettings& settings);

  void Tick(Milliseconds step) override;
  // Delivers the messages that were sent until now.
  void Settle() override;
  void Pump(std::size_t node) override;
  void Crash(std::size_t node) override;
  bool IsWritten(std::size_t node) const override;

  // The next write of the node's disk takes this long.
  void StallDisk(std::size_t node, Milliseconds time);
  // Nothing happens any more until all nodes have crashed.
  void CutPower() { this->has_power = false; }
  void RestorePower() { this->has_power = true; }

  // Called whenever a node's disk or the committed entries have changed.
  std::function<void()> observe = [] {};

 private:
  struct Write {
    Output output;
    // Set once the write has begun.
    SteadyTime began_at{};
    SteadyTime done_at{};
  };
  using Writes = std::deque<Write>;

  bool PumpOnce(std::size_t position);
  void BeginWrite(std::size_t position);
  void FinishWrites(std::size_t position);
  void StoreUnsynced(std::size_t position);
  Milliseconds DrawWriteTime(std::size_t position);

  std::mt19937_64 random;
  std::map<std::size_t, Writes> unwritten;
  std::map<std::size_t, Milliseconds> stalls;
  bool has_power = true;
};

}  // namespace sumac::replication

#endif  // TESTS_LIBRARIES_REPLICATION_SLOW_DISK_CLUSTER_H_
