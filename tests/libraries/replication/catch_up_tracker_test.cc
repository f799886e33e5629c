// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/catch_up_tracker.h"

#include <gtest/gtest.h>

namespace sumac::replication {
namespace {

constexpr Term kTerm(3);

// 90 entries are committed between two checks and the learner is 50 entries
// behind: it never holds all committed entries, but still counts as caught up.
TEST(CatchUpTrackerTest, ALearnerThatFollowsAGrowingLogHasCaughtUp) {
  CatchUpTracker tracker;
  for (std::uint64_t commit = 1'000; commit < 3'000; commit += 90) {
    const LogIndex held(commit - 50);
    EXPECT_EQ(tracker.HasCaughtUp(kTerm, held), commit > 1'000) << commit;
    tracker.RecordCommitIndex(kTerm, LogIndex(commit));
  }
}

TEST(CatchUpTrackerTest, ALearnerThatIsFurtherBehindHasNotCaughtUp) {
  CatchUpTracker tracker;
  tracker.RecordCommitIndex(kTerm, LogIndex(1'000));
  EXPECT_FALSE(tracker.HasCaughtUp(kTerm, LogIndex(999)));
  EXPECT_TRUE(tracker.HasCaughtUp(kTerm, LogIndex(1'000)));
}

// Before the first check of a term an empty learner must not count as caught
// up.
TEST(CatchUpTrackerTest, ACommitIndexOfAnotherTermDoesNotCount) {
  CatchUpTracker tracker;
  EXPECT_FALSE(tracker.HasCaughtUp(Term(0), LogIndex(0)));
  tracker.RecordCommitIndex(kTerm, LogIndex(10));
  EXPECT_FALSE(tracker.HasCaughtUp(kTerm.Next(), LogIndex(2'000)));
}

}  // namespace
}  // namespace sumac::replication
