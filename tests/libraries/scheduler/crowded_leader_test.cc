// SPDX-License-Identifier: Apache-2.0
// Tests that a leader of many workers copes with overload. It must not order a
// whole backlog of starts in one planning pass, nor renew every worker every
// 600 ms (1,740 calls per second for 1,100 workers, more than the starts), nor
// send a start that has waited in the leader's own queue for seconds.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>

#include "libraries/base/text.h"
#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {
namespace {

// A wall-clock time after the submission of all jobs here.
const WallTime kWallNow{Milliseconds(1'000'000'000)};

std::vector<StartOrder> StartsOf(const SchedulerOutput& output) {
  std::vector<StartOrder> starts;
  for (const Order& order : output.orders) {
    if (const auto* start = std::get_if<StartOrder>(&order)) {
      starts.push_back(*start);
    }
  }
  return starts;
}

TEST(CrowdedLeaderTest, APlanningPassOrdersLimitedStartsAndTheNextContinues) {
  FakeFleet fleet(4);
  fleet.PassTime(Milliseconds(500));
  fleet.Submit("job", {.count = 6, .need = {.millicores = 100}});
  const auto plan = [&](std::size_t most) {
    return StartsOf(fleet.scheduler->Plan(fleet.now, kWallNow, {.all = most}))
        .size();
  };
  EXPECT_EQ(plan(0), 0U);
  EXPECT_TRUE(fleet.scheduler->is_dirty());
  EXPECT_EQ(plan(4), 4U);
  EXPECT_EQ(plan(4), 2U);
  EXPECT_EQ(plan(4), 0U);
}

// The run cannot have begun, so the task may be started elsewhere immediately,
// without a stop.
TEST(CrowdedLeaderTest, AStartThatWasNeverSentIsPlannedAgain) {
  FakeFleet fleet(2);
  fleet.PassTime(Milliseconds(500));
  fleet.Submit("job", {.count = 1});
  const auto starts = StartsOf(fleet.scheduler->Plan(fleet.now, kWallNow));
  ASSERT_EQ(starts.size(), 1U);
  fleet.scheduler->HandleOrderAnswer(
      starts[0], {.result = OrderResult::kNotSent}, fleet.now);
  const SchedulerOutput next = fleet.scheduler->Plan(fleet.now, kWallNow);
  EXPECT_EQ(next.orders.size(), 1U);
  ASSERT_EQ(StartsOf(next).size(), 1U);
  EXPECT_GT(StartsOf(next)[0].run, starts[0].run);
}

// A renewal that was never sent does not count as silence of the worker.
TEST(CrowdedLeaderTest, ARenewalThatWasNeverSentIsNotCountedAsSilence) {
  FakeFleet fleet(1);
  fleet.PassTime(Milliseconds(500));
  const WorkerId worker("w0");
  fleet.scheduler->HandleRenewalFailure(worker, OrderResult::kNotSent,
                                        fleet.now);
  EXPECT_TRUE(fleet.scheduler->sessions().at(worker).is_answering());
  fleet.scheduler->HandleRenewalFailure(worker, OrderResult::kUnknown,
                                        fleet.now);
  EXPECT_FALSE(fleet.scheduler->sessions().at(worker).is_answering());
}

TEST(CrowdedLeaderTest, MoreWorkersAreRenewedLessOften) {
  const SteadyTime now{Milliseconds(1'000)};
  const auto wait_of = [&](std::size_t workers, LeaseSettings settings) {
    WorkerSession session({.id = WorkerId("w")}, settings, now);
    session.RecordClock(WorkerTime(1), now);
    session.RecordAnswer(now);
    return session.NextRenewal(LeaderEpoch(1), workers, now);
  };
  EXPECT_EQ(wait_of(50, {}).wait, Milliseconds(1'000));
  EXPECT_EQ(wait_of(1'100, {}).wait, Milliseconds(1'833));
  EXPECT_EQ(wait_of(6'400, {}).wait, Milliseconds(2'000));
  // A lease outlasts two lost renewals.
  EXPECT_EQ(wait_of(6'400, {.length = Milliseconds(4'500)}).wait,
            Milliseconds(1'500));
  // Without a connection for each worker the leader itself waits between
  // renewals.
  const RenewOrder crowded = wait_of(1'100, {.max_waiting = 1'000});
  EXPECT_EQ(crowded.wait, Milliseconds(0));
  EXPECT_EQ(crowded.pause, Milliseconds(1'833));
}

// Infrequent renewals leave old reports, by which no task may be taken away.
// The evacuation requests reports instead of waiting for the next renewal.
TEST(CrowdedLeaderTest, AnEvacuationRequestsFreshReports) {
  FakeFleet fleet(3);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 2,
                       .most_per_worker = 1,
                       .is_long_running = true,
                       .has_disruption_budget = true,
                       .disruption_budget = 1});
  fleet.PassTime(Milliseconds(3'000));
  fleet.renews = false;
  fleet.PassTime(Milliseconds(1'500));
  const jobs::TaskId task{{JobId("job"), 0, 0}, 0};
  ASSERT_FALSE(fleet.scheduler->MayDisrupt(task, fleet.now));
  fleet.scheduler->SetCordoned({fleet.scheduler->sessions()
                                    .at(WorkerId(fleet.WorkersOf("job")[0]))
                                    .worker()
                                    .instance});
  const SchedulerOutput output = fleet.scheduler->Plan(fleet.now, kWallNow);
  EXPECT_EQ(output.report_requests.size(), 2U);
  // Reports are not requested in each planning pass.
  EXPECT_TRUE(
      fleet.scheduler->Plan(fleet.now, kWallNow).report_requests.empty());
}

// If a step finds no room, steps that need as much are skipped in the same
// planning pass; a step that needs less, or the next pass, searches again.
TEST(CrowdedLeaderTest, AFullPoolIsRememberedForOnePlanningPassOnly) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(500);
  fleet.PassTime(Milliseconds(500));
  fleet.Submit("first", {.count = 2, .need = {.millicores = 7'000}});
  fleet.Submit("large", {.count = 1, .need = {.millicores = 7'000}});
  fleet.Submit("small", {.count = 2, .need = {.millicores = 500}});
  const auto starts = StartsOf(fleet.scheduler->Plan(fleet.now, kWallNow));
  EXPECT_EQ(starts.size(), 4U);
  fleet.PassTime(Milliseconds(5'000));
  EXPECT_FALSE(fleet.job("large").is_active());
  EXPECT_EQ(fleet.problem, "");
}

TEST(CrowdedLeaderTest, SmallTasksTakeAllRoomBeforeALargeOneFits) {
  FakeFleet fleet(8);
  fleet.work = Milliseconds(1'000);
  fleet.PassTime(Milliseconds(500));
  int submitted = 0;
  const auto rush = [&](Milliseconds time) {
    for (Milliseconds passed{0}; passed < time; passed += Milliseconds(50)) {
      fleet.Submit(StrCat("small", submitted++),
                   {.count = 2, .need = {.millicores = 2'000}});
      fleet.PassTime(Milliseconds(50));
    }
  };
  rush(Milliseconds(2'000));
  fleet.Submit(
      "lasts",
      {.count = 1, .need = {.millicores = 7'000}, .is_long_running = true});
  rush(Milliseconds(3'000));
  EXPECT_TRUE(fleet.job("lasts").has_begun);
  EXPECT_EQ(fleet.problem, "");
}

// A reservation must not cost the small tasks more than the worker that the
// large one gets: they end as often as on a fleet without that worker.
TEST(CrowdedLeaderTest, ALargeTaskCostsSmallOnesLittleMoreThanItsWorker) {
  const auto count_done = [](std::size_t workers, bool has_large) {
    FakeFleet fleet(workers);
    fleet.work = Milliseconds(1'000);
    fleet.long_running_work = Milliseconds(60'000);
    fleet.PassTime(Milliseconds(500));
    int submitted = 0;
    std::int64_t done = 0;
    for (int round = 0; round < 200; ++round) {
      if (round == 40 && has_large) {
        fleet.Submit("lasts", {.count = 1,
                               .need = {.millicores = 7'000},
                               .is_long_running = true});
      }
      fleet.Submit(StrCat("small", submitted++),
                   {.count = 2, .need = {.millicores = 2'000}});
      fleet.PassTime(Milliseconds(50));
    }
    for (int job = 0; job < submitted; ++job) {
      done += fleet.job(StrCat("small", job)).is_active() ? 0 : 1;
    }
    EXPECT_EQ(fleet.problem, "");
    return done;
  };
  const std::int64_t without_worker = count_done(7, false);
  EXPECT_GE(100 * count_done(8, true), 97 * without_worker);
}

// A job that can't meet its deadline waits while the leader is overloaded, and
// starts as soon as the leader has time to spare.
TEST(CrowdedLeaderTest, ALateJobWaitsWhileTheLeaderIsOverloaded) {
  FakeFleet fleet(2);
  fleet.PassTime(Milliseconds(500));
  fleet.Submit("job", {.count = 1, .estimate = Milliseconds(100)});
  const WallTime late =
      WallTime(fleet.now.time_since_epoch()) + Milliseconds(60'000);
  const auto plan = [&](StartAllowance allowed) {
    return StartsOf(fleet.scheduler->Plan(fleet.now, late, allowed)).size();
  };
  EXPECT_EQ(plan({.all = 5, .late = 0}), 0U);
  EXPECT_EQ(plan({.all = 5, .late = 1}), 1U);
  EXPECT_EQ(fleet.scheduler->start_counts().worthless, 1U);
}

}  // namespace
}  // namespace sumac::scheduler
