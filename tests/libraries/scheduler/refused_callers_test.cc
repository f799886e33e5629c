// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/refused_callers.h"

#include <gtest/gtest.h>

namespace sumac::scheduler {
namespace {

const JobId kJob("a");

TEST(RefusedCallersTest, TimeRunsFromTheFirstRefusal) {
  RefusedCallers callers;
  SteadyTime now{Milliseconds(10'000)};
  EXPECT_EQ(callers.WaitedOf(kJob, now), Milliseconds(0));
  callers.Note(kJob, now);
  now += Milliseconds(1'000);
  callers.Note(kJob, now);
  now += Milliseconds(500);
  EXPECT_EQ(callers.WaitedOf(kJob, now), Milliseconds(1'500));
  EXPECT_EQ(callers.WaitedOf(JobId("b"), now), Milliseconds(0));
}

TEST(RefusedCallersTest, WhatIsOldOrTooMuchIsForgotten) {
  RefusedCallers callers({.kept = Milliseconds(1'000), .most_kept = 2});
  SteadyTime now{Milliseconds(10'000)};
  callers.Note(kJob, now);
  now += Milliseconds(1'001);
  callers.Note(JobId("b"), now);
  EXPECT_EQ(callers.WaitedOf(kJob, now), Milliseconds(0));
  now += Milliseconds(1);
  callers.Note(JobId("c"), now);
  callers.Note(JobId("d"), now);
  EXPECT_EQ(callers.WaitedOf(JobId("b"), now), Milliseconds(0));
  callers.Note(JobId("c"), now + Milliseconds(1));
  EXPECT_EQ(callers.WaitedOf(JobId("c"), now + Milliseconds(1)),
            Milliseconds(1));
}

}  // namespace
}  // namespace sumac::scheduler
