// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/term_watch.h"

#include <gtest/gtest.h>

namespace sumac::daemon {
namespace {

TEST(TermWatchTest, AControllerActsOnceItsEpochIsCommitted) {
  TermWatch watch;
  EXPECT_TRUE(watch.is_idle());
  EXPECT_FALSE(watch.IsOver(false, Term(3)));
  watch.Begin(Term(3));
  EXPECT_FALSE(watch.IsOver(true, Term(3)));
  EXPECT_TRUE(watch.HandleEpochResult(Term(3), true));
  EXPECT_TRUE(watch.IsOver(true, Term(4)));
  EXPECT_TRUE(watch.IsOver(false, Term(3)));
}

// A leader asked for its epoch in the moment in which its lease ran out, or
// while it handed over to a controller that did not take it, and was refused.
// It stayed the leader of the same term, and nothing decided until the next.
TEST(TermWatchTest, ARefusedEpochIsProposedAgainInTheSameTerm) {
  TermWatch watch;
  watch.Begin(Term(3));
  EXPECT_FALSE(watch.HandleEpochResult(Term(3), false));
  EXPECT_TRUE(watch.is_idle());
  watch.Begin(Term(3));
  EXPECT_TRUE(watch.HandleEpochResult(Term(3), true));
}

TEST(TermWatchTest, ALateResultOfAnEarlierTermIsIgnored) {
  TermWatch watch;
  watch.Begin(Term(3));
  watch.End();
  watch.Begin(Term(5));
  EXPECT_FALSE(watch.HandleEpochResult(Term(3), true));
  EXPECT_FALSE(watch.HandleEpochResult(Term(3), false));
  EXPECT_EQ(watch.term(), Term(5));
  EXPECT_TRUE(watch.HandleEpochResult(Term(5), true));
}

}  // namespace
}  // namespace sumac::daemon
