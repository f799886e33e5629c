// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/urgency.h"

#include <gtest/gtest.h>

namespace sumac::scheduler {
namespace {

constexpr WallTime kNow{Milliseconds(1'000'000)};

// A job of one task that takes a second and may take 2,200 ms, which came
// `age` ago.
Urgency UrgencyAfter(Milliseconds age,
                     std::uint32_t priority = 0,
                     bool has_begun = false) {
  const jobs::QueueDeclaration queue{.name = QueueName("clips"),
                                     .priority = priority,
                                     .stretch = 1.6,
                                     .latency_target = Milliseconds(600)};
  jobs::Job job{.queue = queue.name, .accepted_at = kNow - age};
  job.spec.steps = {{.count = 1, .estimate = Milliseconds(1'000)}};
  job.has_begun = has_begun;
  return UrgencyBasisOf(job, 0, &queue, RunTimes(), true).At(kNow);
}

TEST(UrgencyTest, AJobIsLateOnceItsWaitExceedsItsTimeToSpare) {
  EXPECT_EQ(UrgencyAfter(Milliseconds(0)).lateness, Lateness::kInTime);
  EXPECT_EQ(UrgencyAfter(Milliseconds(800)).lateness, Lateness::kInTime);
  EXPECT_EQ(UrgencyAfter(Milliseconds(801)).lateness, Lateness::kLate);
  EXPECT_EQ(UrgencyAfter(Milliseconds(5'600)).lateness, Lateness::kLate);
  EXPECT_EQ(UrgencyAfter(Milliseconds(5'601)).lateness, Lateness::kWorthless);
}

TEST(UrgencyTest, JobsThatCanBeInTimeGoFirstWhateverTheirPriority) {
  EXPECT_LT(UrgencyAfter(Milliseconds(100), 1),
            UrgencyAfter(Milliseconds(1'000), 0));
  EXPECT_LT(UrgencyAfter(Milliseconds(100), 0),
            UrgencyAfter(Milliseconds(100), 1));
}

TEST(UrgencyTest, BegunJobsGoFirstAndThenTheNewest) {
  EXPECT_LT(UrgencyAfter(Milliseconds(100), 0, true),
            UrgencyAfter(Milliseconds(0)));
  EXPECT_LT(UrgencyAfter(Milliseconds(200), 0, true),
            UrgencyAfter(Milliseconds(100), 0, true));
  EXPECT_LT(UrgencyAfter(Milliseconds(100)), UrgencyAfter(Milliseconds(200)));
}

}  // namespace
}  // namespace sumac::scheduler
