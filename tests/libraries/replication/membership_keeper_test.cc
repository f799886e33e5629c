// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/membership_keeper.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/text.h"
#include "tests/libraries/replication/machine_history.h"

namespace sumac::replication {
namespace {

constexpr Milliseconds kQuietTime{6'000};

// Guards against the loss of the group, and of all that it had acknowledged,
// when the leading controller is replaced three times.
TEST(MembershipKeeperTest, AGroupOutlivesReplacementsOfItsLeader) {
  MachineHistory history(7, 0);
  ASSERT_EQ(history.Pass(Milliseconds(5'000)), "");
  constexpr int kReplacements = 6;
  for (int number = 0; number < kReplacements; ++number) {
    const auto leader = history.LeaderSlot();
    ASSERT_TRUE(leader) << history.text();
    ASSERT_TRUE(history.MayLose(*leader));
    history.Replace(*leader, Milliseconds(2'000));
    ASSERT_EQ(history.Pass(Milliseconds(7'400)), "") << history.text();
  }
  EXPECT_EQ(history.CheckWhole(), "") << history.text();
}

// Guards against a vote that stays with a dead controller because its leader
// was lost while it waited: two machines may be lost at once.
TEST(MembershipKeeperTest, AVoteIsPassedOnAlthoughTheLeaderIsLostMeanwhile) {
  for (int after_ms = 0; after_ms < 4'000; after_ms += 100) {
    MachineHistory history(11, 0);
    ASSERT_EQ(history.Pass(Milliseconds(5'000)), "");
    history.Replace(*history.LeaderSlot(), Milliseconds(0));
    ASSERT_EQ(history.Pass(Milliseconds(after_ms)), "") << history.text();
    if (const auto leader = history.LeaderSlot()) {
      history.Replace(*leader, Milliseconds(2'000));
    }
    ASSERT_EQ(history.Pass(Milliseconds(12'000)), "") << history.text();
    EXPECT_EQ(history.CheckWhole(), "") << history.text();
  }
}

// Guards against a group that gives up the votes of controllers that only
// paused, and has no majority when they are needed.
TEST(MembershipKeeperTest, PausedVotersCostTheGroupNoQuorum) {
  MachineHistory history(13, 1);
  ASSERT_EQ(history.Pass(kQuietTime), "");
  constexpr std::size_t kSlots = 6;
  for (std::size_t slot = 0; slot < kSlots; ++slot) {
    history.Freeze(slot, Milliseconds(2'500));
    history.CutOff((slot + 1) % kSlots, Milliseconds(2'500));
    ASSERT_EQ(history.Pass(Milliseconds(6'600)), "") << history.text();
  }
  ASSERT_EQ(history.Pass(kQuietTime), "") << history.text();
  EXPECT_EQ(history.CheckWhole(), "") << history.text();
}

// Guards against a new member that joins late because it asks itself, or one
// controller after the other while some are gone.
TEST(MembershipKeeperTest, ANewMemberAsksAllOthersToJoin) {
  const ProcessName self("c1");
  const std::vector<ProcessName> known = {self, ProcessName("c2"),
                                          ProcessName("c3")};
  EXPECT_EQ(ControllersToAsk(self, known, {}),
            (std::set<ProcessName>{ProcessName("c2"), ProcessName("c3")}));
  const Membership members{.voters = {NodeId("c3.1"), NodeId("c4.1")},
                           .learners = {NodeId("c6.1")},
                           .outgoing_voters = {NodeId("c3.1"), NodeId("c5.1")}};
  EXPECT_EQ(ControllersToAsk(self, known, members),
            (std::set<ProcessName>{ProcessName("c2"), ProcessName("c3"),
                                   ProcessName("c4"), ProcessName("c5")}));
}

// Draws what happens to the machines.
class Drawer {
 public:
  Drawer(std::uint64_t seed, MachineHistory& history)
      : random(seed), history(history) {}

  // Harms one machine or all of them, if that is within the limits.
  void Harm() {
    const std::size_t slot = this->DrawSlot();
    if (!this->history.MayLose(slot)) {
      return;
    }
    constexpr std::size_t kKinds = 12;
    switch (this->Below(kKinds)) {
      case 0:
        return this->history.Kill(slot, this->Time(6'000));
      case 1:
        return this->history.Wipe(slot, this->Time(4'000));
      case 2:
        return this->history.Freeze(slot, this->Time(6'000));
      case 3:
        return this->history.CutOff(slot, this->Time(6'000));
      case 4:
        return this->history.Restart(slot, this->Time(2'000));
      case 5:
        return this->history.ReplaceAsPlanned(slot, this->Time(1'000));
      case 6:
        return this->history.Silence(slot, this->Time(1'200));
      case 7:
        return this->HarmAll();
      default:
        return this->history.Replace(slot, this->Time(3'000));
    }
  }

  Milliseconds Time(std::size_t limit_ms) {
    return Milliseconds(this->Below(limit_ms));
  }

 private:
  std::size_t Below(std::size_t end) {
    return std::uniform_int_distribution<std::size_t>(0, end - 1)(this->random);
  }
  // Every other time the leader.
  std::size_t DrawSlot() {
    const auto leader = this->history.LeaderSlot();
    return leader && this->Below(2) == 0
               ? *leader
               : this->Below(this->history.slot_count());
  }
  void HarmAll() {
    if (this->Below(2) == 0) {
      std::vector<std::size_t> wiped;
      const std::size_t slot = this->DrawSlot();
      if (this->Below(2) == 0 && this->history.MayLose(slot)) {
        wiped.push_back(slot);
      }
      return this->history.KillAll(this->Time(1'000), wiped);
    }
    std::vector<std::size_t> side;
    for (std::size_t slot = 0; slot < this->history.slot_count(); ++slot) {
      if (this->Below(2) == 0) {
        side.push_back(slot);
      }
    }
    this->history.Split(side, this->Time(8'000));
  }

  std::mt19937_64 random;
  MachineHistory& history;
};

RC_GTEST_PROP(MembershipKeeperProperty, AGroupOutlivesAnyToleratedLosses, ()) {
  const auto seed =
      *rc::gen::noShrink(rc::gen::inRange<std::uint64_t>(1, 1'000'000'000));
  const auto spares = *rc::gen::inRange(0, 3);
  MachineHistory history(seed, spares);
  Drawer drawer(seed, history);
  RC_ASSERT(history.Pass(Milliseconds(4'000)) == "");
  constexpr int kHarms = 30;
  for (int harm = 0; harm < kHarms; ++harm) {
    drawer.Harm();
    const std::string problem = history.Pass(drawer.Time(2'500));
    if (!problem.empty()) {
      RC_FAIL(StrCat("seed ", seed, ", ", spares, " spares\n", history.text(),
                     problem));
    }
  }
  std::string problem = history.Pass(Milliseconds(16'000));
  if (problem.empty()) {
    problem = history.CheckWhole();
  }
  if (!problem.empty()) {
    RC_FAIL(StrCat("seed ", seed, ", ", spares, " spares\n", history.text(),
                   problem));
  }
}

}  // namespace
}  // namespace sumac::replication
