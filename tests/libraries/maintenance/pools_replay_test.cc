// SPDX-License-Identifier: Apache-2.0
// The loads that a capacity planner meets on small and large fleets, replayed.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/libraries/maintenance/pools_replay.h"

namespace sumac::maintenance {
namespace {

constexpr std::int64_t kCores = PoolsReplay::kCores;
const jobs::Resources kLargeInMemory = {.millicores = 2'400,
                                        .memory_mb = 31'000};

ServiceName Pool(int number) {
  return PoolsReplay::Pool(number);
}

// Long-running tasks that need `tasks` instances.
void AddLongRunning(PoolsReplay& replay, const ServiceName& pool, int tasks) {
  jobs::ServiceDemand& demand = replay.demand[pool];
  demand.long_running_millicores += tasks * kLargeInMemory.millicores;
  demand.long_running_tasks.push_back(
      {.count = tasks, .need = kLargeInMemory, .most_per_worker = 1});
}

// A fleet whose pools hold thousands of instances too many. Their departure was
// decided at one moment, and took eight seconds: jobs that came meanwhile
// waited beside hundreds of idle instances that were cordoned.
TEST(PoolsReplayTest, InstancesThatAreToLeaveServeUntilTheirOrdersDo) {
  for (const int instances : {600, 1'260, 2'520}) {
    PoolsReplay replay({.instances_per_pool = instances});
    replay.Play(Milliseconds(4'000), [](PoolsReplay&) {});
    AddLongRunning(replay, Pool(2), 48);
    replay.Play(Milliseconds(300), [](PoolsReplay&) {});
    EXPECT_GE(replay.CountUsable(Pool(2)), 48) << instances;
    replay.Play(Milliseconds(25'000), [](PoolsReplay&) {});
    EXPECT_GE(replay.CountUsable(Pool(2)), 48) << instances;
    EXPECT_EQ(replay.CountIn(PoolsReplay::kOff), 4 * instances - 48 - 3 * 2)
        << instances;
  }
}

// Each of four queues asks for most of the fleet in its turn, and leaves a late
// backlog behind. The first one kept the instances for it, and those whose
// turns came later got hardly any.
TEST(PoolsReplayTest, EachTurnGetsItsInstancesBesideTheBacklogsBeforeIt) {
  PoolsReplay replay({.instances_per_pool = 3, .instances_off = 120});
  constexpr Milliseconds kTurn{4'500};
  for (int turn = 0; turn < 4; ++turn) {
    replay.Play(kTurn, [turn](PoolsReplay& replay) {
      for (int number = 0; number < 4; ++number) {
        jobs::ServiceDemand& demand = replay.demand[Pool(number)];
        demand.short_millicores = (number == turn ? 80 : 2) * kCores;
        demand.late_millicores = (number < turn ? 200 : 0) * kCores;
      }
    });
    EXPECT_GE(replay.CountUsable(Pool(turn)), 80) << turn;
  }
}

RC_GTEST_PROP(PoolsReplayTest, DrawnDemandBreaksNoPromise, ()) {
  const int pools = *rc::gen::inRange(2, 6);
  const int instances = *rc::gen::inRange(2, 60);
  PoolsReplay replay({.pools = pools,
                      .instances_per_pool = instances,
                      .instances_off = *rc::gen::inRange(0, 60),
                      .orders_a_second = *rc::gen::inRange(5, 600)});
  std::int64_t standing = 0;
  for (int phase = 0; phase < 4; ++phase) {
    for (int number = 0; number < pools; ++number) {
      jobs::ServiceDemand& demand = replay.demand[Pool(number)];
      demand.short_millicores = *rc::gen::inRange(0, 80) * kCores;
      demand.late_millicores = *rc::gen::inRange(0, 80) * kCores;
      demand.worthless_millicores = *rc::gen::inRange(0, 80) * kCores;
    }
    if (phase == 0 && instances > 4) {
      standing = *rc::gen::inRange<std::int64_t>(1, instances);
      AddLongRunning(replay, Pool(0), static_cast<int>(standing));
    }
    if (*rc::gen::inRange(0, 4) == 0) {
      replay.ChangeLeader();
    }
    replay.Play(Milliseconds(*rc::gen::inRange(300, 6'000)),
                [standing](PoolsReplay& replay) {
                  // The first pool keeps what its long-running tasks need.
                  RC_ASSERT(replay.CountIn(Pool(0)) >= standing);
                });
  }
  // Without demand for long enough the wishes end.
  replay.demand.clear();
  replay.Play(Milliseconds(60'000), [](PoolsReplay&) {});
  const std::int64_t moves = replay.moves;
  replay.Play(Milliseconds(10'000), [](PoolsReplay&) {});
  RC_ASSERT(replay.moves == moves);
  RC_ASSERT(replay.cordoned.empty());
}

}  // namespace
}  // namespace sumac::maintenance
