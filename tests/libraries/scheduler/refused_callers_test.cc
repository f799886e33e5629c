// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/refused_callers.h"

#include <gtest/gtest.h>

namespace sumac::scheduler {
namespace {

const JobId kJob("a");

TEST(RefusedCallersTest, TimeRunsFromTheFirstRefusal) {
  RefusedCallers callers;
  SteadyTime now{Milliseconds(10'000)};
  EXPECT_EQ(callers.WaitingTimeOf(kJob, now), Milliseconds(0));
  callers.RecordRefusal(kJob, now);
  now += Milliseconds(1'000);
  callers.RecordRefusal(kJob, now);
  now += Milliseconds(500);
  EXPECT_EQ(callers.WaitingTimeOf(kJob, now), Milliseconds(1'500));
  EXPECT_EQ(callers.WaitingTimeOf(JobId("b"), now), Milliseconds(0));
}

TEST(RefusedCallersTest, OldAndExcessEntriesAreDropped) {
  RefusedCallers callers({.kept = Milliseconds(1'000), .max_entries = 2});
  SteadyTime now{Milliseconds(10'000)};
  callers.RecordRefusal(kJob, now);
  now += Milliseconds(1'001);
  callers.RecordRefusal(JobId("b"), now);
  EXPECT_EQ(callers.WaitingTimeOf(kJob, now), Milliseconds(0));
  now += Milliseconds(1);
  callers.RecordRefusal(JobId("c"), now);
  callers.RecordRefusal(JobId("d"), now);
  EXPECT_EQ(callers.WaitingTimeOf(JobId("b"), now), Milliseconds(0));
  callers.RecordRefusal(JobId("c"), now + Milliseconds(1));
  EXPECT_EQ(callers.WaitingTimeOf(JobId("c"), now + Milliseconds(1)),
            Milliseconds(1));
}

}  // namespace
}  // namespace sumac::scheduler
