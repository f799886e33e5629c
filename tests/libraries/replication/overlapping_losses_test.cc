// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>

#include "tests/libraries/replication/power_drawer.h"

namespace sumac::replication {
namespace {

// Guards against votes that don't suffice while the vote of a voter that is
// only cut off is passed on, and that would if it had kept it: its disk is
// there when it is back.
TEST(OverlappingLossesTest, AVoterThatIsCutOffCountsWhenItIsBack) {
  PowerHistory history(13, 1, PowerHistory::Limits::kOverlapping);
  ASSERT_EQ(history.Pass(Milliseconds(5'000)), "");
  const auto leader = history.LeaderSlot();
  ASSERT_TRUE(leader) << history.text();
  history.CutOff((*leader + 1) % 5, Milliseconds(3'000));
  EXPECT_EQ(history.Pass(Milliseconds(4'000)), "") << history.text();
}

// Draws a history and plays it within the limits.
void CheckDrawnHistory(PowerHistory::Limits limits) {
  // The whole range from the first draw on.
  const auto seed = *rc::gen::noShrink(rc::gen::resize(
      rc::kNominalSize, rc::gen::inRange<std::uint64_t>(1, 1'000'000'000)));
  const auto spares = *rc::gen::noShrink(
      rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 3)));
  const std::string problem = PlayPowerHistory(seed, spares, limits);
  if (!problem.empty()) {
    RC_FAIL(problem);
  }
}

// Guards against a group that can't elect a leader any more after all machines
// are back, when more machines are lost at once than it has to bear, but no
// more disks.
RC_GTEST_PROP(OverlappingLossesProperty, WhatIsCommittedOutlivesOverlaps, ()) {
  CheckDrawnHistory(PowerHistory::Limits::kOverlapping);
}

// Guards against the same where the disk of each new machine counts, too.
RC_GTEST_PROP(OverlappingLossesProperty, WhatIsCommittedOutlivesTwoDisks, ()) {
  CheckDrawnHistory(PowerHistory::Limits::kOverlappingDisks);
}

}  // namespace
}  // namespace sumac::replication
