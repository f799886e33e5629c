// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/demand_meter.h"

#include <gtest/gtest.h>

#include <string>

namespace sumac::scheduler {
namespace {

constexpr std::int64_t kCore = 1'000;
const jobs::StepSpec kStep = {.count = 4,
                              .need = {.millicores = kCore, .memory_mb = 900},
                              .estimate = Milliseconds(1'000)};

class DemandMeterTest : public testing::Test {
 protected:
  DemandMeterTest()
      : state([](std::string_view) {
          return jobs::JobsDeclaration(1,
                                       {{.name = QueueName("clips"),
                                         .host = "h",
                                         .path_prefix = "/q/",
                                         .service = kPool,
                                         .stretch = 1.6,
                                         .latency_target = Milliseconds(600)}},
                                       {{.name = kPool}});
        }),
        // No job counts as an arrival, so that no forecast covers the rest.
        meter(this->state, this->run_times, {}, kNoSequence) {
    this->state.Apply({this->wall(), jobs::Declare{1, "document"}});
  }

  void Submit(const std::string& id, const jobs::StepSpec& step) {
    this->state.Apply(
        {this->wall(), jobs::SubmitJob{.job = JobId(id),
                                       .queue = QueueName("clips"),
                                       .spec = {.steps = {step}}}});
  }
  jobs::ServiceDemand Demand() {
    return this->meter.Measure(this->now, this->wall()).at(kPool);
  }
  WallTime wall() const { return WallTime(this->now.time_since_epoch()); }

  static constexpr std::uint64_t kNoSequence = 1'000'000;
  static inline const ServiceName kPool{"previews"};
  SteadyTime now{Milliseconds(1'000)};
  jobs::JobsState state;
  RunTimes run_times;
  DemandMeter meter;
};

// A late backlog counted as need like work that can be in time, and kept the
// instances that the next queue's turn needed.
TEST_F(DemandMeterTest, ALateBacklogIsDemandOfItsOwnClass) {
  this->Submit("early", kStep);
  EXPECT_EQ(this->Demand().short_millicores, 4 * kCore);
  // The step takes a second of the 2.2 that the job has.
  this->now += Milliseconds(1'500);
  EXPECT_EQ(this->Demand().short_millicores, 0);
  EXPECT_EQ(this->Demand().late_millicores, 4 * kCore);
  EXPECT_TRUE(this->Demand().short_tasks.empty());
  this->now += Milliseconds(6'000);
  EXPECT_EQ(this->Demand().late_millicores, 0);
  EXPECT_EQ(this->Demand().worthless_millicores, 4 * kCore);
  this->Submit("later", kStep);
  EXPECT_EQ(this->Demand().short_millicores, 4 * kCore);
}

TEST_F(DemandMeterTest, TasksAreGroupedWithAllTheirNeeds) {
  jobs::StepSpec spread = kStep;
  spread.most_per_worker = 1;
  this->Submit("spread", spread);
  const jobs::ServiceDemand demand = this->Demand();
  ASSERT_EQ(demand.short_tasks.size(), 1U);
  EXPECT_EQ(demand.short_tasks[0].count, 4);
  EXPECT_EQ(demand.short_tasks[0].need.memory_mb, 900);
  EXPECT_EQ(demand.short_tasks[0].most_per_worker, 1);
}

TEST_F(DemandMeterTest, TheDeviationGrowsWithTheRootOfTheNumberOfJobs) {
  constexpr std::int64_t kJobs = 16;
  constexpr std::int64_t kRootOfJobs = 4;
  for (std::int64_t job = 0; job < kJobs; ++job) {
    this->Submit(std::to_string(job), kStep);
  }
  constexpr std::int64_t kJobMillicores = 4 * kCore;
  EXPECT_EQ(this->Demand().short_millicores, kJobs * kJobMillicores);
  EXPECT_EQ(this->Demand().deviation_millicores, kRootOfJobs * kJobMillicores);
}

}  // namespace
}  // namespace sumac::scheduler
