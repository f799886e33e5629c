// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/replication/power_drawer.h"

#include <vector>

#include "libraries/base/text.h"

namespace sumac::replication {

void PowerDrawer::Harm() {
  constexpr std::size_t kKinds = 19;
  const std::size_t slot = this->DrawSlot();
  const std::size_t kind = this->Below(kKinds);
  switch (kind) {
    case 0:
      return this->history.LosePower(this->Time(1'000), this->Below(3),
                                     this->DrawChoice());
    case 1:
    case 2:
    case 3:
      return this->history.LosePowerAfter(
          static_cast<PowerHistory::Moment>(
              this->Below(PowerHistory::kMomentCount)),
          this->Time(1'000), this->Below(3), this->DrawChoice());
    case 4:
      return this->history.StallDisk(slot, this->Time(1'200));
    case 5:
    case 6:
      return this->history.Compact(slot);
    case 8:
      return this->Split();
    default:
      return this->HarmMachine(slot, kind);
  }
}

Milliseconds PowerDrawer::Time(std::size_t limit_ms) {
  return Milliseconds(this->Below(limit_ms));
}

// Harms one machine, if that is within the limits.
void PowerDrawer::HarmMachine(std::size_t slot, std::size_t kind) {
  if (!this->history.MayLose(slot)) {
    return;
  }
  switch (kind) {
    case 7:
      return this->history.Kill(slot, this->Time(6'000));
    case 9:
      return this->history.Freeze(slot, this->Time(6'000));
    case 10:
      return this->history.CutOff(slot, this->Time(6'000));
    case 11:
      return this->history.Restart(slot, this->Time(2'000));
    case 12:
      return this->history.Silence(slot, this->Time(1'200));
    default:
      return this->HarmDisk(slot, kind);
  }
}

// Takes one machine's disk, if that is within the limits.
void PowerDrawer::HarmDisk(std::size_t slot, std::size_t kind) {
  if (!this->history.MayLoseDisk(slot)) {
    return;
  }
  switch (kind) {
    case 13:
    case 14:
      return this->history.Wipe(slot, this->Time(4'000));
    case 15:
      return this->history.ReplaceAsPlanned(slot, this->Time(1'000));
    default:
      return this->history.Replace(slot, this->Time(3'000));
  }
}

// Cuts the group into two halves.
void PowerDrawer::Split() {
  std::vector<std::size_t> side;
  for (std::size_t slot = 0; slot < this->history.slot_count(); ++slot) {
    if (this->Below(2) == 0) {
      side.push_back(slot);
    }
  }
  this->history.Split(side, this->Time(8'000));
}

std::size_t PowerDrawer::Below(std::size_t end) {
  return std::uniform_int_distribution<std::size_t>(0, end - 1)(this->random);
}

PowerHistory::Choice PowerDrawer::DrawChoice() {
  return static_cast<PowerHistory::Choice>(
      this->Below(PowerHistory::kChoiceCount));
}

// Every other time the leader.
std::size_t PowerDrawer::DrawSlot() {
  const auto leader = this->history.LeaderSlot();
  return leader && this->Below(2) == 0
             ? *leader
             : this->Below(this->history.slot_count());
}

std::string PlayPowerHistory(std::uint64_t seed,
                             int spares,
                             PowerHistory::Limits limits) {
  PowerHistory history(seed, spares, limits);
  PowerDrawer drawer(seed, history);
  std::string problem = history.Pass(Milliseconds(4'000));
  constexpr int kHarms = 30;
  for (int harm = 0; harm < kHarms && problem.empty(); ++harm) {
    drawer.Harm();
    problem = history.Pass(drawer.Time(2'500));
  }
  if (problem.empty()) {
    problem = history.Pass(Milliseconds(16'000));
  }
  if (problem.empty()) {
    problem = history.CheckWhole();
  }
  return problem.empty() ? ""
                         : StrCat("seed ", seed, ", ", spares, " spares\n",
                                  history.text(), problem);
}

}  // namespace sumac::replication
