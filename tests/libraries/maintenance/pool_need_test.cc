// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/pool_need.h"

#include <gtest/gtest.h>

#include <cmath>

namespace sumac::maintenance {
namespace {

constexpr jobs::Resources kInstance = {.millicores = 16'000,
                                       .memory_mb = 65'536};
constexpr PoolNeedSettings kSettings = {.max_reserve_permille = 500,
                                        .min_instances = 2};

TEST(PoolNeedTest, LongRunningTasksThatAreLargeInMemoryAreStandingDemand) {
  const jobs::Resources need = {.millicores = 2'400, .memory_mb = 31'000};
  const jobs::ServiceDemand demand{
      .long_running_millicores = 36 * need.millicores,
      .long_running_tasks = {{.count = 24, .need = need},
                             {.count = 12, .need = need}}};
  EXPECT_EQ(CountNeed(demand, kInstance, kSettings)[WorkClass::kStanding], 18);
}

// Demand of jobs that each ask for 25.6 cores.
jobs::ServiceDemand JobsOf(int count) {
  constexpr std::int64_t kJob = 25'600;
  return {.short_millicores = count * kJob,
          .deviation_millicores =
              static_cast<std::int64_t>(kJob * std::sqrt(count))};
}

// The reserve of a turn with a hundred jobs was as large a share of the pool as
// that of a pool with five: hundreds of instances that no job ever used.
TEST(PoolNeedTest, TheReserveGrowsWithTheRootOfTheNumberOfJobs) {
  const auto reserve_permille = [](int jobs) {
    const jobs::ServiceDemand demand = JobsOf(jobs);
    return ReserveFor(demand, 500) * 1'000 / demand.short_millicores;
  };
  EXPECT_EQ(reserve_permille(5), 500);
  EXPECT_NEAR(reserve_permille(100), 300, 2);
  EXPECT_NEAR(reserve_permille(400), 150, 2);
}

TEST(PoolNeedTest, WithoutJobsToJudgeByTheReserveIsTheLargest) {
  EXPECT_EQ(ReserveFor({.short_millicores = 1'000'000}, 500), 500'000);
}

TEST(PoolNeedTest, LateWorkIsNeededOnTopOfWorkInTime) {
  const PoolNeed need = CountNeed({.short_millicores = 160'000,
                                   .deviation_millicores = 0,
                                   .late_millicores = 80'000,
                                   .worthless_millicores = 32'000},
                                  kInstance, kSettings);
  EXPECT_EQ(need[WorkClass::kInTime], 10);
  EXPECT_EQ(need[WorkClass::kLate], 15);
  EXPECT_EQ(need[WorkClass::kWorthless], 17);
}

}  // namespace
}  // namespace sumac::maintenance
