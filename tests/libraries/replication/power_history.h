// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_REPLICATION_POWER_HISTORY_H_
#define TESTS_LIBRARIES_REPLICATION_POWER_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tests/libraries/replication/durable_votes.h"
#include "tests/libraries/replication/machine_history.h"
#include "tests/libraries/replication/slow_disk_cluster.h"

namespace sumac::replication {

// A history of machines whose disks take time, that take snapshots, and that
// lose power together at any moment. At each change of a disk it checks that
// what is committed outlives the loss of as many disks as the limits allow.
class PowerHistory : public MachineHistory {
 public:
  // The moments right after which the power may be lost.
  enum class Moment {
    kCommit,
    // A replica has stored a change of the members.
    kMembership,
    // The members have four voters or are in an exchange: a vote is being
    // passed on.
    kVotePassing,
    kSnapshot,
    kTerm,
  };
  static constexpr int kMomentCount = 5;
  // Which disks are lost with the power.
  enum class Choice { kAny, kLeader, kNewestLog, kYoungestVoters };
  static constexpr int kChoiceCount = 4;
  // Which losses are within the limits. Counted: two machines at once, each
  // from its loss until it is back for the catch-up time. Overlapping: any
  // machines, as long as two disks at most are lost; the group may then rest
  // until the recovery time after all are back. Neither counts the disk of the
  // machine that takes the place of one that still counts. In kOverlappingDisks
  // a machine with a name of its own is counted by itself: nobody can know
  // whose place it takes.
  enum class Limits { kCounted, kOverlapping, kOverlappingDisks };

  PowerHistory(std::uint64_t seed, int spares, Limits limits);

  // Returns true if the limits allow the loss of the slot's disk now.
  bool MayLoseDisk(std::size_t slot) const;
  // Returns how many disks may be lost now besides those whose loss is free.
  std::size_t AllowedDisks() const;
  // All machines lose power at the same moment, with `count` disks or as many
  // as the limits allow. If more machines are lost than the limits allow, the
  // group may rest for the recovery time, but loses nothing.
  void LosePower(Milliseconds time, std::size_t count, Choice choice);
  // Does so right after the next such moment.
  void LosePowerAfter(Moment moment,
                      Milliseconds time,
                      std::size_t count,
                      Choice choice);
  // The next write of the slot's disk takes that long. A long stall counts as a
  // loss of the machine, and does not happen if that is beyond the limits.
  void StallDisk(std::size_t slot, Milliseconds time);
  void Compact(std::size_t slot);

 protected:
  std::string Check() override;
  void RecordLostDisk(std::size_t slot,
                      std::size_t node,
                      SteadyTime successor_runs_at) override;

 private:
  struct LostDisk {
    std::size_t slot = 0;
    std::size_t node = 0;
    SteadyTime counts_until{};
  };
  // What the disks held at the last look, to see what changed.
  struct Seen {
    LogIndex committed;
    std::size_t memberships = 0;
    std::size_t snapshots = 0;
    std::uint64_t terms = 0;
    bool is_passing_vote = false;
  };

  PowerHistory(std::uint64_t seed,
               int spares,
               Limits limits,
               std::unique_ptr<SlowDiskCluster> group);

  bool IsLossFree(std::size_t slot) const;
  bool IsSameMachine(std::size_t slot, std::size_t node) const;
  bool HasDisk(std::size_t slot) const;
  std::vector<DurableReplica> DurableReplicas() const;
  std::vector<std::size_t> DrawDisks(std::size_t count, Choice choice);
  std::uint64_t RankOf(std::size_t slot, Choice choice);
  Seen Look() const;
  bool HasCome(Moment moment, const Seen& before, const Seen& after) const;
  void Observe();
  void StopClockBeyondLimits();
  bool AreAllBack() const;
  bool IsWhole() const;
  void UpdateRest();

  SlowDiskCluster& disks;
  Limits limits;
  std::set<std::size_t> lost_nodes;
  std::vector<LostDisk> lost_disks;
  std::optional<Moment> awaited;
  std::function<void()> when_it_comes;
  Seen seen;
  std::string problem;
  SteadyTime checked_at{};
  // True while more was lost than the limits allow.
  bool is_resting = false;
  SteadyTime last_away_at{};
  std::optional<std::size_t> noted_leader;
};

}  // namespace sumac::replication

#endif  // TESTS_LIBRARIES_REPLICATION_POWER_HISTORY_H_
