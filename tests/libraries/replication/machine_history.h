// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_REPLICATION_MACHINE_HISTORY_H_
#define TESTS_LIBRARIES_REPLICATION_MACHINE_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libraries/replication/membership_keeper.h"
#include "tests/libraries/replication/cluster.h"

namespace sumac::replication {

// A group of controllers whose machines are killed, frozen, cut off, wiped and
// replaced within the limits of the platform: two may count as lost at once. A
// machine counts from its loss until it has been back for the catch-up time; a
// machine that is gone counts until its successor has run for that time.
class MachineHistory {
 public:
  static constexpr Milliseconds kCatchUpTime{4'000};
  static constexpr int kVoters = 5;
  // The number of machines that may count as lost at once.
  static constexpr std::size_t kMaxLost = 2;

  // `spares` machines beyond the five of the group are there from the start.
  MachineHistory(std::uint64_t seed, int spares);
  virtual ~MachineHistory() = default;
  MachineHistory(const MachineHistory&) = delete;
  MachineHistory& operator=(const MachineHistory&) = delete;

  // Advances the time in small steps. Returns a description of the first rule
  // that was broken, or an empty string.
  std::string Pass(Milliseconds time);

  // Returns the slot of the controller that may act as the leader, if any.
  std::optional<std::size_t> LeaderSlot() const;
  std::size_t slot_count() const { return this->slots.size(); }

  // Returns true if a loss of the slot's machine is within the limits now.
  bool MayLose(std::size_t slot) const;

  // Each takes a slot's machine away, and brings it back after `time`.
  void Kill(std::size_t slot, Milliseconds time);
  void Wipe(std::size_t slot, Milliseconds time);
  void Freeze(std::size_t slot, Milliseconds time);
  void CutOff(std::size_t slot, Milliseconds time);
  // Asks the controller to hand over before it stops.
  void Restart(std::size_t slot, Milliseconds time);
  // The machine is gone for good, and another one starts after `time`.
  void Replace(std::size_t slot, Milliseconds time);
  // The successor starts at once; the old machine stops after `time`.
  void ReplaceAsPlanned(std::size_t slot, Milliseconds time);

  // Connections of the slot's machine fall silent; no machine counts as lost.
  void Silence(std::size_t slot, Milliseconds time);
  // All machines are killed at the same moment; those of `wiped` return with
  // empty disks.
  void KillAll(Milliseconds time, const std::vector<std::size_t>& wiped);
  // The slots of `side` are cut off from the others.
  void Split(const std::vector<std::size_t>& side, Milliseconds time);

  // Checks that the group is whole: a leader, five voters that run, and a
  // command that all of them apply. Returns the first problem.
  std::string CheckWhole();

  // What happened so far, for a failure's message.
  const std::string& text() const { return this->history; }

 protected:
  // As above, for a group of five whose disks or network differ.
  MachineHistory(std::uint64_t seed,
                 int spares,
                 std::unique_ptr<Cluster> group,
                 Milliseconds step);

  // The times of the group's replicas.
  static ReplicationSettings Times();

  // A place for one machine of the group and its successors.
  struct Slot {
    // The position of the present machine's replica in the cluster.
    std::size_t node = 0;
    std::uint64_t generation = 0;
    // The time until which the present machine counts as lost.
    SteadyTime counts_until{};
    // The times until which those before it do.
    std::vector<SteadyTime> gone_count_until;
  };

  void Note(const std::string& what);
  void At(SteadyTime time, std::function<void()> event);
  void CountUntilReturn(std::size_t slot, SteadyTime back_at);
  void CountAsGone(std::size_t slot, SteadyTime successor_starts_at);
  void Disconnect(std::size_t node, Milliseconds time);
  void StartSuccessor(std::size_t slot, bool is_same_machine);
  void StartMachine(std::size_t slot);
  std::optional<std::size_t> FindActing() const;
  bool IsRunning(std::size_t node) const;
  MembershipKeeper& KeeperOf(std::size_t node);
  void RunEvents();
  void MaintainGroup();
  void RequestJoins();
  void RequestJoin(std::size_t node);
  virtual std::string Check();
  // Called when the disk of a slot's machine is lost, and `node` with it; its
  // successor runs from `successor_runs_at`.
  virtual void RecordLostDisk(std::size_t /*slot*/,
                              std::size_t /*node*/,
                              SteadyTime /*successor_runs_at*/) {}
  std::size_t CountLost() const;
  std::string CheckTolerance(std::size_t leader) const;
  std::size_t Draw(std::size_t end);

  std::mt19937_64 random;
  std::unique_ptr<Cluster> owned_cluster;
  Cluster& cluster;
  Milliseconds step;
  std::vector<Slot> slots;
  std::map<std::size_t, MembershipKeeper> keepers;
  std::map<std::size_t, SteadyTime> last_join_at;
  // The nodes whose connections are silent, and which do not count as lost.
  std::set<std::size_t> silenced;
  std::multimap<SteadyTime, std::function<void()>> events;
  bool is_split = false;
  SteadyTime last_maintenance{};
  SteadyTime last_check{};
  SteadyTime last_event_at{};
  SteadyTime last_acting_at{};
  int commands = 0;
  // Set once a step of the members bears fewer losses than the one before.
  std::string step_problem;
  std::string history;
};

}  // namespace sumac::replication

#endif  // TESTS_LIBRARIES_REPLICATION_MACHINE_HISTORY_H_
