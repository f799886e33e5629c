// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_REPLICATION_POWER_DRAWER_H_
#define TESTS_LIBRARIES_REPLICATION_POWER_DRAWER_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

#include "tests/libraries/replication/power_history.h"

namespace sumac::replication {

// Draws what happens to the machines of a history, their disks and their power.
class PowerDrawer {
 public:
  PowerDrawer(std::uint64_t seed, PowerHistory& history)
      : random(seed), history(history) {}

  void Harm();
  Milliseconds Time(std::size_t limit_ms);

 private:
  void HarmMachine(std::size_t slot, std::size_t kind);
  void HarmDisk(std::size_t slot, std::size_t kind);
  void Split();
  std::size_t Below(std::size_t end);
  PowerHistory::Choice DrawChoice();
  std::size_t DrawSlot();

  std::mt19937_64 random;
  PowerHistory& history;
};

// Plays the history of a seed. Returns a description of the first problem, with
// what happened before it, or an empty string.
std::string PlayPowerHistory(std::uint64_t seed,
                             int spares,
                             PowerHistory::Limits limits);

}  // namespace sumac::replication

#endif  // TESTS_LIBRARIES_REPLICATION_POWER_DRAWER_H_
