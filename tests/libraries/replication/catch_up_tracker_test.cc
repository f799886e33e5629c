// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/catch_up_tracker.h"

#include <gtest/gtest.h>

namespace sumac::replication {
namespace {

constexpr Term kTerm(3);

// 90 entries are committed in each look and the learner follows 50 behind: it
// never holds all that is committed, and has caught up all the same.
TEST(CatchUpTrackerTest, ALearnerThatFollowsAGrowingLogHasCaughtUp) {
  CatchUpTracker mark;
  for (std::uint64_t commit = 1'000; commit < 3'000; commit += 90) {
    const LogIndex held(commit - 50);
    EXPECT_EQ(mark.HasCaughtUp(kTerm, held), commit > 1'000) << commit;
    mark.RecordCommitIndex(kTerm, LogIndex(commit));
  }
}

TEST(CatchUpTrackerTest, ALearnerThatIsFurtherBehindHasNotCaughtUp) {
  CatchUpTracker mark;
  mark.RecordCommitIndex(kTerm, LogIndex(1'000));
  EXPECT_FALSE(mark.HasCaughtUp(kTerm, LogIndex(999)));
  EXPECT_TRUE(mark.HasCaughtUp(kTerm, LogIndex(1'000)));
}

// A leader that has not looked yet knows nothing: a blank learner must not be
// taken for one that holds the log.
TEST(CatchUpTrackerTest, ACommitIndexOfAnotherTermDoesNotCount) {
  CatchUpTracker mark;
  EXPECT_FALSE(mark.HasCaughtUp(Term(0), LogIndex(0)));
  mark.RecordCommitIndex(kTerm, LogIndex(10));
  EXPECT_FALSE(mark.HasCaughtUp(kTerm.Next(), LogIndex(2'000)));
}

}  // namespace
}  // namespace sumac::replication
