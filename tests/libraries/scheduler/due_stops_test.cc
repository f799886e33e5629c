// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/due_stops.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {
namespace {

constexpr std::uint32_t kListed = 20'000;
const WorkerId kWorker("w0");

RunningReport RunOf(const std::string& job, std::uint32_t index) {
  return {.task = {{JobId(job), 0, 0}, index}, .run = RunNumber(1)};
}

// A fleet of one worker that reports runs which nobody ordered.
class DueStopsTest : public testing::Test {
 protected:
  DueStopsTest() { this->fleet.PassTime(Milliseconds(100)); }

  // Reports the runs and returns the stops that are ordered then.
  std::vector<StopOrder> Report(const std::vector<RunningReport>& running) {
    this->clock += 1'000;
    this->fleet.scheduler->HandleReport(
        kWorker,
        RenewReport{.clock = WorkerTime(this->clock), .running = running},
        this->fleet.now);
    return this->Plan();
  }
  std::vector<StopOrder> Plan() {
    const SchedulerOutput output = this->fleet.scheduler->Plan(
        this->fleet.now, WallTime(this->fleet.now.time_since_epoch()));
    std::vector<StopOrder> stops;
    for (const Order& order : output.orders) {
      if (const auto* stop = std::get_if<StopOrder>(&order)) {
        stops.push_back(*stop);
      }
    }
    return stops;
  }

  FakeFleet fleet{1};
  std::int64_t clock = 100'000'000;
};

// Each run that a worker listed was stopped every 450 ms, also those that
// nobody had ordered, however many there were.
TEST_F(DueStopsTest, RunsThatNobodyOrderedCostABoundedNumberOfStops) {
  std::vector<RunningReport> running;
  for (std::uint32_t index = 0; index < kListed; ++index) {
    running.push_back(RunOf("nobodys", index));
  }
  std::size_t stops = this->Report(running).size();
  EXPECT_LE(stops, kMaxOpenForeignStops);
  EXPECT_GT(stops, 0U);
  for (int pass = 0; pass < 20; ++pass) {
    stops += this->Plan().size();
  }
  EXPECT_LE(stops, kMaxOpenForeignStops);
}

// All of them are stopped in the end, each in its turn.
TEST_F(DueStopsTest, NoRunIsStoppedTwiceBeforeAllWereStoppedOnce) {
  constexpr std::uint32_t kRuns = 3 * kMaxOpenForeignStops;
  std::vector<RunningReport> running;
  for (std::uint32_t index = 0; index < kRuns; ++index) {
    running.push_back(RunOf("nobodys", index));
  }
  std::set<std::uint32_t> stopped;
  std::size_t stops = 0;
  for (int round = 0; round < 3; ++round) {
    for (const StopOrder& stop : this->Report(running)) {
      stopped.insert(stop.task.index);
      ++stops;
    }
    this->fleet.now += this->fleet.settings.stop_retry;
  }
  EXPECT_EQ(stops, kRuns);
  EXPECT_EQ(stopped.size(), kRuns);
}

// The run of a known task doesn't wait behind runs that nobody ordered.
TEST_F(DueStopsTest, ARunOfAKnownTaskIsStoppedFirst) {
  this->fleet.Submit("zz-known", {.count = 1});
  this->fleet.Commit(jobs::CancelJob{JobId("zz-known")});
  std::vector<RunningReport> running;
  for (std::uint32_t index = 0; index < kListed; ++index) {
    running.push_back(RunOf("nobodys", index));
  }
  running.push_back(RunOf("zz-known", 0));
  const std::vector<StopOrder> stops = this->Report(running);
  ASSERT_FALSE(stops.empty());
  EXPECT_TRUE(std::ranges::any_of(stops, [](const StopOrder& stop) {
    return stop.task.step.job == JobId("zz-known");
  }));
}

// The stop of a run that was started and that no report confirmed left no line
// in the log, so nothing said why the run had ended.
TEST(UnconfirmedStartTest, TheStopOfAnUnconfirmedRunIsLogged) {
  constexpr Milliseconds kLongWork{60'000};
  FakeFleet fleet(1);
  fleet.work = kLongWork;
  std::vector<std::string> logged;
  fleet.on_event = [&](const SchedulerEvent& event) {
    if (event.what == "start-unsettled") {
      logged.push_back(event.reason);
    }
  };
  fleet.PassTime(Milliseconds(500));
  fleet.Submit("job", {.count = 1});
  fleet.lost_report_permille = 1'000;
  fleet.answer_delay = kLongWork;
  fleet.PassTime(Milliseconds(3'000));
  EXPECT_EQ(fleet.starts, 1U);
  EXPECT_EQ(fleet.CountRunning("job"), 0U);
  EXPECT_EQ(logged, std::vector<std::string>{"no report confirms it"});
}

}  // namespace
}  // namespace sumac::scheduler
