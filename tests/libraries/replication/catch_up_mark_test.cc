// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/catch_up_mark.h"

#include <gtest/gtest.h>

namespace sumac::replication {
namespace {

constexpr Term kTerm(3);

// 90 entries are committed between two checks and the learner is 50 entries
// behind: it never holds all committed entries, but still counts as caught up.
TEST(CatchUpMarkTest, ALearnerThatFollowsAGrowingLogHasCaughtUp) {
  CatchUpMark mark;
  for (std::uint64_t commit = 1'000; commit < 3'000; commit += 90) {
    const LogIndex held(commit - 50);
    EXPECT_EQ(mark.IsReached(kTerm, held), commit > 1'000) << commit;
    mark.Note(kTerm, LogIndex(commit));
  }
}

TEST(CatchUpMarkTest, ALearnerThatIsFurtherBehindHasNot) {
  CatchUpMark mark;
  mark.Note(kTerm, LogIndex(1'000));
  EXPECT_FALSE(mark.IsReached(kTerm, LogIndex(999)));
  EXPECT_TRUE(mark.IsReached(kTerm, LogIndex(1'000)));
}

// Before the first check of a term an empty learner must not count as caught
// up.
TEST(CatchUpMarkTest, AnotherTermsMarkDoesNotCount) {
  CatchUpMark mark;
  EXPECT_FALSE(mark.IsReached(Term(0), LogIndex(0)));
  mark.Note(kTerm, LogIndex(10));
  EXPECT_FALSE(mark.IsReached(kTerm.Next(), LogIndex(2'000)));
}

}  // namespace
}  // namespace sumac::replication
