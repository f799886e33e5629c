// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/worker_health.h"

#include <gtest/gtest.h>

namespace sumac::scheduler {
namespace {

constexpr SteadyTime kStart{Milliseconds(10'000)};
const WorkerId kWorker("w1");
const WorkerId kOther("w2");

RunProgress After(int elapsed, std::uint32_t percent, int since_change) {
  return {.elapsed = Milliseconds(elapsed),
          .percent = percent,
          .since_change = Milliseconds(since_change),
          .expected = Milliseconds(1'000)};
}

TEST(WorkerHealthTest, ProgressTellsSlowAndStalledRuns) {
  EXPECT_EQ(ClassifyProgress(After(900, 80, 100)), RunPace::kNormal);
  EXPECT_EQ(ClassifyProgress(After(2'000, 80, 100)), RunPace::kNormal);
  EXPECT_EQ(ClassifyProgress(After(300, 1, 100)), RunPace::kUnknown);
  EXPECT_EQ(ClassifyProgress(After(900, 10, 100)), RunPace::kUnknown);
  EXPECT_EQ(ClassifyProgress(After(1'500, 40, 100)), RunPace::kSlow);
  EXPECT_EQ(ClassifyProgress(After(1'500, 20, 100)), RunPace::kVerySlow);
  EXPECT_EQ(ClassifyProgress(After(1'500, 0, 1'500)), RunPace::kStalled);
  EXPECT_EQ(ClassifyProgress(After(1'200, 0, 1'200)), RunPace::kVerySlow);
  EXPECT_EQ(ClassifyProgress(After(9'000, 100, 9'000)), RunPace::kUnknown);
  EXPECT_EQ(ClassifyProgress({.elapsed = Milliseconds(9'000)}),
            RunPace::kUnknown);
}

TEST(WorkerHealthTest, FailuresOfOneJobAreNotEnough) {
  WorkerHealth health;
  for (int count = 0; count < 5; ++count) {
    health.RecordFailure(kWorker, JobId("a"), kStart);
  }
  EXPECT_FALSE(health.IsQuarantined(kWorker, kStart));
  health.RecordFailure(kWorker, JobId("b"), kStart);
  EXPECT_TRUE(health.IsQuarantined(kWorker, kStart));
  EXPECT_FALSE(health.IsQuarantined(kOther, kStart));
}

TEST(WorkerHealthTest, JobsThatFailElsewhereTooDoNotCount) {
  WorkerHealth health;
  for (const char* job : {"a", "b", "c"}) {
    health.RecordFailure(kOther, JobId(job), kStart);
    health.RecordFailure(kWorker, JobId(job), kStart);
  }
  EXPECT_FALSE(health.IsQuarantined(kWorker, kStart));
}

TEST(WorkerHealthTest, AFewFailuresAmongManySuccessesAreNotEnough) {
  WorkerHealth health;
  for (int count = 0; count < 8; ++count) {
    health.RecordSuccess(kWorker, kStart);
  }
  health.RecordFailure(kWorker, JobId("a"), kStart);
  health.RecordFailure(kWorker, JobId("b"), kStart);
  EXPECT_FALSE(health.IsQuarantined(kWorker, kStart));
}

TEST(WorkerHealthTest, ABadWorkerIsTriedAgainEachTimeLater) {
  WorkerHealth health;
  health.RecordFailure(kWorker, JobId("a"), kStart);
  health.RecordFailure(kWorker, JobId("b"), kStart);
  EXPECT_TRUE(health.IsQuarantined(kWorker, kStart + Milliseconds(1'900)));
  SteadyTime now = kStart + Milliseconds(2'000);
  EXPECT_FALSE(health.IsQuarantined(kWorker, now));
  // One more failure is enough now, and it lasts longer.
  health.RecordFailure(kWorker, JobId("c"), now);
  EXPECT_TRUE(health.IsQuarantined(kWorker, now + Milliseconds(3'900)));
  now += Milliseconds(4'000);
  EXPECT_FALSE(health.IsQuarantined(kWorker, now));
  health.RecordSuccess(kWorker, now);
  health.RecordFailure(kWorker, JobId("d"), now);
  EXPECT_FALSE(health.IsQuarantined(kWorker, now));
}

TEST(WorkerHealthTest, SlownessIsForgotten) {
  WorkerHealth health;
  health.RecordSlowness(kWorker, kStart);
  EXPECT_TRUE(health.IsSlow(kWorker, kStart + Milliseconds(2'000)));
  EXPECT_FALSE(health.IsSlow(kWorker, kStart + Milliseconds(3'000)));
}

}  // namespace
}  // namespace sumac::scheduler
