// SPDX-License-Identifier: Apache-2.0
// What a leader of many workers does when it has more to do than time: a turn
// of the scheduler ordered a whole backlog of starts at once, every worker was
// asked every 600 ms (1,740 calls a second for 1,100 workers, more than the
// starts), and a start that had waited in the leader's own queue for seconds
// was sent all the same.
#include <gtest/gtest.h>

#include <algorithm>
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

TEST(CrowdedLeaderTest, ATurnOrdersNoMoreStartsThanItMayAndTheNextGoesOn) {
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

// It has not run, so the task may go elsewhere at once, without a stop.
TEST(CrowdedLeaderTest, AStartThatNeverLeftIsPlannedAgain) {
  FakeFleet fleet(2);
  fleet.PassTime(Milliseconds(500));
  fleet.Submit("job", {.count = 1});
  const auto starts = StartsOf(fleet.scheduler->Plan(fleet.now, kWallNow));
  ASSERT_EQ(starts.size(), 1U);
  fleet.scheduler->TakeAnswer(starts[0], {.result = OrderResult::kNotSent},
                              fleet.now);
  const SchedulerOutput next = fleet.scheduler->Plan(fleet.now, kWallNow);
  EXPECT_EQ(next.orders.size(), 1U);
  ASSERT_EQ(StartsOf(next).size(), 1U);
  EXPECT_GT(StartsOf(next)[0].run, starts[0].run);
}

// A worker that could not be asked is not one that kept silent.
TEST(CrowdedLeaderTest, ARenewalThatNeverLeftSaysNothingAgainstTheWorker) {
  FakeFleet fleet(1);
  fleet.PassTime(Milliseconds(500));
  const WorkerId worker("w0");
  fleet.scheduler->TakeRenewalFailure(worker, OrderResult::kNotSent, fleet.now);
  EXPECT_TRUE(fleet.scheduler->sessions().at(worker).is_answering());
  fleet.scheduler->TakeRenewalFailure(worker, OrderResult::kUnknown, fleet.now);
  EXPECT_FALSE(fleet.scheduler->sessions().at(worker).is_answering());
}

TEST(CrowdedLeaderTest, RenewalsAreTheRarerTheMoreWorkersThereAre) {
  const SteadyTime now{Milliseconds(1'000)};
  const auto wait_of = [&](std::size_t workers, LeaseSettings settings) {
    WorkerSession session({.id = WorkerId("w")}, settings, now);
    session.NoteClock(WorkerTime(1), now);
    session.NoteAnswer(now);
    return session.NextRenewal(LeaderEpoch(1), workers, now);
  };
  EXPECT_EQ(wait_of(50, {}).wait, Milliseconds(1'000));
  EXPECT_EQ(wait_of(1'100, {}).wait, Milliseconds(1'833));
  EXPECT_EQ(wait_of(6'400, {}).wait, Milliseconds(2'000));
  // A lease outlasts two lost renewals.
  EXPECT_EQ(wait_of(6'400, {.length = Milliseconds(4'500)}).wait,
            Milliseconds(1'500));
  // Without a connection for each the leader waits itself.
  const RenewOrder crowded = wait_of(1'100, {.most_waiting = 1'000});
  EXPECT_EQ(crowded.wait, Milliseconds(0));
  EXPECT_EQ(crowded.pause, Milliseconds(1'833));
}

// Rare renewals leave old reports, and by those no task may be taken away. Who
// wants to asks, and does not wait for the next renewal.
TEST(CrowdedLeaderTest, AnEvacuationAsksWhoIsAtWork) {
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
  ASSERT_FALSE(fleet.scheduler->MayTakeAway(task, fleet.now));
  fleet.scheduler->SetCordoned({fleet.scheduler->sessions()
                                    .at(WorkerId(fleet.WorkersOf("job")[0]))
                                    .worker()
                                    .instance});
  const SchedulerOutput output = fleet.scheduler->Plan(fleet.now, kWallNow);
  EXPECT_EQ(output.report_requests.size(), 2U);
  // Not in each turn.
  EXPECT_TRUE(
      fleet.scheduler->Plan(fleet.now, kWallNow).report_requests.empty());
}

// A step that found no room says so for those that need as much; one that needs
// less, and one in the next turn, look again.
TEST(CrowdedLeaderTest, AFullPoolIsRememberedForOneTurnOnly) {
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

// A job that can't be in time waits while the leader has no time to spare, and
// starts as soon as it has.
TEST(CrowdedLeaderTest, ALateJobWaitsForALeaderWithTimeToSpare) {
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
