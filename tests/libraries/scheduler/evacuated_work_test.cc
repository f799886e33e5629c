// SPDX-License-Identifier: Apache-2.0
// What work waits, moves and is refused while a data centre is evacuated.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {
namespace {

constexpr const char* kFirst = "dc-a";
constexpr const char* kSecond = "dc-b";
constexpr std::int64_t kWholeWorker = 8'000;
constexpr std::int64_t kHalfWorker = 4'000;
constexpr Milliseconds kReviews{2'500};
constexpr Milliseconds kLongTime{600'000};

// A fleet with workers in two data centres: a in rack r1, b in rack r2.
class EvacuatedWorkTest : public testing::Test {
 protected:
  EvacuatedWorkTest() : fleet(0) {
    this->fleet.work = kLongTime;
    this->fleet.AddWorker("a", "m-a", "r1", "previews", kFirst);
    this->fleet.AddWorker("b", "m-b", "r2", "previews", kSecond);
    this->fleet.PassTime(Milliseconds(100));
  }
  void Evacuate(const char* data_centre = kFirst) {
    this->fleet.ChangeDataCentre(data_centre, jobs::DataCentreUse::kEvacuated);
  }
  void Return() {
    this->fleet.ChangeDataCentre(kFirst, jobs::DataCentreUse::kInUse);
  }
  // Returns the cause that the last review found for a job; the default one if
  // it does not wait.
  WaitingCause CauseOf(const std::string& job) {
    this->fleet.PassTime(kReviews);
    for (const auto& [step, waiting] :
         this->fleet.scheduler->waiting_table().steps()) {
      if (step.job == JobId(job)) {
        return waiting.cause;
      }
    }
    ADD_FAILURE() << job << " does not wait";
    return {};
  }
  std::size_t CountRunsOn(const std::string& job, const std::string& worker) {
    std::size_t count = 0;
    for (const std::string& name : this->fleet.WorkersOf(job)) {
      count += static_cast<std::size_t>(name == worker);
    }
    return count;
  }
  // Replaces the leader by one with the present settings.
  void ApplySettings() {
    this->fleet.ChangeLeader();
    this->fleet.PassTime(Milliseconds(3'000));
  }

  FakeFleet fleet;
};

TEST_F(EvacuatedWorkTest, AStepThatHasRoomOnlyThereWaitsForTheEvacuation) {
  this->fleet.Submit("before",
                     {.count = 1, .need = {.millicores = kWholeWorker}});
  this->fleet.PassTime(Milliseconds(300));
  const bool is_first_used = this->CountRunsOn("before", "a") == 1;
  this->Evacuate(is_first_used ? kSecond : kFirst);
  this->fleet.Submit("job", {.count = 1, .need = {.millicores = kHalfWorker}});
  const WaitingCause cause = this->CauseOf("job");
  EXPECT_EQ(cause.reason, WaitingReason::kEvacuated);
  EXPECT_EQ(NameOf(cause.reason), "evacuated");
  EXPECT_EQ(cause.evacuated, 1U);
  EXPECT_EQ(cause.evacuated_places, 1U);
  EXPECT_EQ(cause.without_room, 1U);
  EXPECT_NE(cause.ToText().find("in evacuated data centres: 1"),
            std::string::npos);
}

TEST_F(EvacuatedWorkTest, AStepWithoutAnyOtherWorkerWaitsForTheEvacuation) {
  this->Evacuate(kFirst);
  this->Evacuate(kSecond);
  this->fleet.Submit("job", {.count = 1});
  const WaitingCause cause = this->CauseOf("job");
  EXPECT_EQ(cause.reason, WaitingReason::kEvacuated);
  EXPECT_EQ(cause.workers, 0U);
  EXPECT_EQ(cause.evacuated, 2U);
  EXPECT_FALSE(cause.is_feasible);
}

// The worker there is full as well, but no other has the label.
TEST_F(EvacuatedWorkTest, AStepWhoseLabelIsOnlyThereWaitsForTheEvacuation) {
  this->fleet.Submit("before", {.count = 1,
                                .need = {.millicores = kWholeWorker},
                                .required_label = "r1"});
  this->fleet.PassTime(Milliseconds(300));
  ASSERT_EQ(this->CountRunsOn("before", "a"), 1U);
  this->Evacuate();
  this->fleet.Submit("job", {.count = 1, .required_label = "r1"});
  const WaitingCause cause = this->CauseOf("job");
  EXPECT_EQ(cause.reason, WaitingReason::kEvacuated);
  EXPECT_EQ(cause.evacuated_places, 0U);
}

// Without the evacuation the step would wait just the same.
TEST_F(EvacuatedWorkTest, AStepWithoutRoomThereWaitsForRoom) {
  this->fleet.Submit("before",
                     {.count = 2, .need = {.millicores = kWholeWorker}});
  this->fleet.PassTime(Milliseconds(300));
  this->Evacuate();
  this->fleet.Submit("job", {.count = 1});
  EXPECT_EQ(this->CauseOf("job").reason, WaitingReason::kRoom);
}

TEST_F(EvacuatedWorkTest, AGangThatNeedsTheWorkersThereWaitsForTheEvacuation) {
  this->Evacuate();
  this->fleet.Submit(
      "job",
      {.count = 2, .need = {.millicores = kWholeWorker}, .is_gang = true});
  EXPECT_EQ(this->CauseOf("job").reason, WaitingReason::kEvacuated);
  this->fleet.Submit(
      "large",
      {.count = 3, .need = {.millicores = kWholeWorker}, .is_gang = true});
  EXPECT_EQ(this->CauseOf("large").reason, WaitingReason::kGang);
}

TEST_F(EvacuatedWorkTest, WithoutAnEvacuationCausesAreAsBefore) {
  this->fleet.Submit("job", {.count = 1, .required_label = "none"});
  const WaitingCause cause = this->CauseOf("job");
  EXPECT_EQ(cause.reason, WaitingReason::kLabel);
  EXPECT_EQ(cause.evacuated, 0U);
  EXPECT_EQ(cause.ToText(),
            "2 workers: 2 without the label, 0 too small, 0 at the limit, 0 "
            "without room, 0 not admitted; room for 0");
}

// A step waits for room near its data only where it may get some.
TEST_F(EvacuatedWorkTest, AStepWhoseDataIsThereStartsElsewhereAtOnce) {
  this->fleet.work = Milliseconds(5'000);
  this->fleet.Submit("before", {.count = 1,
                                .need = {.millicores = kWholeWorker},
                                .estimate = Milliseconds(5'000),
                                .data_rack = Rack("r1")});
  this->fleet.PassTime(Milliseconds(300));
  ASSERT_EQ(this->CountRunsOn("before", "a"), 1U);
  const auto submit = [this](const std::string& id) {
    this->fleet.Submit(
        id,
        {.count = 1, .estimate = Milliseconds(5'000), .data_rack = Rack("r1")});
    this->fleet.PassTime(Milliseconds(300));
    return this->CountRunsOn(id, "b");
  };
  EXPECT_EQ(submit("waits"), 0U);
  this->Evacuate();
  this->fleet.PassTime(Milliseconds(300));
  EXPECT_EQ(this->CountRunsOn("waits", "b"), 1U);
  EXPECT_EQ(submit("starts"), 1U);
}

TEST_F(EvacuatedWorkTest, LongRunningTasksStay) {
  this->fleet.Submit("job", {.count = 2,
                             .most_per_worker = 1,
                             .is_long_running = true,
                             .has_disruption_budget = true,
                             .disruption_budget = 2});
  this->fleet.PassTime(Milliseconds(3'000));
  ASSERT_EQ(this->fleet.CountRunning("job"), 2U);
  this->fleet.AddWorker("c", "m-c", "r2", "previews", kSecond);
  this->Evacuate();
  this->fleet.PassTime(Milliseconds(10'000));
  EXPECT_EQ(this->CountRunsOn("job", "a"), 1U);
  EXPECT_EQ(this->fleet.starts, 2U);
}

TEST_F(EvacuatedWorkTest, LongRunningTasksMoveIfTheSettingsSaySo) {
  this->fleet.settings.moves_evacuated_tasks = true;
  this->ApplySettings();
  this->fleet.Submit("job", {.count = 6,
                             .is_long_running = true,
                             .has_disruption_budget = true,
                             .disruption_budget = 6});
  this->fleet.PassTime(Milliseconds(3'000));
  const char* from = this->CountRunsOn("job", "a") > 0 ? kFirst : kSecond;
  const std::string left = from == kFirst ? "a" : "b";
  const std::size_t there = this->CountRunsOn("job", left);
  ASSERT_GT(there, 0U);
  this->Evacuate(from);
  // One after the other.
  this->fleet.PassTime(this->fleet.settings.evacuation_move_interval * 2);
  EXPECT_GE(this->CountRunsOn("job", left) + 3, there);
  EXPECT_LT(this->CountRunsOn("job", left), there);
  this->fleet.PassTime(Milliseconds(10'000));
  EXPECT_EQ(this->CountRunsOn("job", left), 0U);
  EXPECT_EQ(this->fleet.CountRunning("job"), 6U);
  EXPECT_EQ(this->fleet.starts, 6U + there);
  EXPECT_EQ(this->fleet.problem, "");
}

// A maintenance elsewhere and the evacuation draw on the same budget.
TEST_F(EvacuatedWorkTest, OneBudgetHoldsOverMovesAndMaintenance) {
  this->fleet.settings.moves_evacuated_tasks = true;
  this->fleet.settings.evacuation_move_interval = Milliseconds(1);
  this->ApplySettings();
  this->fleet.AddWorker("c", "m-c", "r2", "previews", kSecond);
  this->fleet.AddWorker("d", "m-d", "r2", "previews", kSecond);
  this->fleet.PassTime(Milliseconds(1'000));
  this->fleet.Submit("job", {.count = 4,
                             .need = {.millicores = 2'000},
                             .most_per_worker = 1,
                             .is_long_running = true,
                             .has_disruption_budget = true,
                             .disruption_budget = 1});
  this->fleet.PassTime(Milliseconds(3'000));
  ASSERT_EQ(this->fleet.CountRunning("job"), 4U);
  this->fleet.AddWorker("e", "m-e", "r2", "previews", kSecond);
  this->fleet.AddWorker("f", "m-f", "r2", "previews", kSecond);
  this->fleet.PassTime(Milliseconds(1'000));
  this->Evacuate();
  this->fleet.scheduler->SetCordoned({InstanceName("m-c")});
  std::size_t fewest = 4;
  for (int step = 0; step < 1'000; ++step) {
    this->fleet.PassTime(Milliseconds(10));
    fewest = std::min(fewest, this->fleet.CountRunning("job"));
  }
  EXPECT_EQ(fewest, 3U);
  EXPECT_EQ(this->fleet.CountRunning("job"), 4U);
  EXPECT_EQ(this->CountRunsOn("job", "a") + this->CountRunsOn("job", "c"), 0U);
  EXPECT_EQ(this->fleet.problem, "");
}

TEST_F(EvacuatedWorkTest, LongRunningTasksStayWhereThereIsNoOtherRoom) {
  this->fleet.settings.moves_evacuated_tasks = true;
  this->ApplySettings();
  this->fleet.Submit("job", {.count = 2,
                             .need = {.millicores = kWholeWorker},
                             .is_long_running = true});
  this->fleet.PassTime(Milliseconds(3'000));
  ASSERT_EQ(this->fleet.CountRunning("job"), 2U);
  this->Evacuate();
  this->fleet.PassTime(Milliseconds(5'000));
  EXPECT_EQ(this->fleet.CountRunning("job"), 2U);
  EXPECT_EQ(this->fleet.starts, 2U);
}

// Moving one member would end them all.
TEST_F(EvacuatedWorkTest, AGangStays) {
  this->fleet.settings.moves_evacuated_tasks = true;
  this->ApplySettings();
  this->fleet.Submit("job", {.count = 2,
                             .need = {.millicores = kHalfWorker},
                             .is_gang = true,
                             .most_per_worker = 1,
                             .is_long_running = true});
  this->fleet.PassTime(Milliseconds(3'000));
  ASSERT_EQ(this->fleet.CountRunning("job"), 2U);
  this->fleet.AddWorker("c", "m-c", "r2", "previews", kSecond);
  this->Evacuate();
  this->fleet.PassTime(Milliseconds(5'000));
  EXPECT_EQ(this->fleet.CountRunning("job"), 2U);
  EXPECT_EQ(this->fleet.starts, 2U);
}

// Refusals follow the capacity that is left, and no measured rate changes where
// nothing is evacuated or data centres are returned to use.
TEST_F(EvacuatedWorkTest, AnEvacuationLowersTheRatesOfAdmission) {
  Scheduler& scheduler = *this->fleet.scheduler;
  const QueueName queue("clips");
  const auto is_too_late = [&] {
    return scheduler.start_forecast().IsTooLate(queue, Milliseconds(10'000),
                                                this->fleet.now);
  };
  EXPECT_EQ(scheduler.TakeCapacityLeft(), 1);
  for (int job = 0; job < 20; ++job) {
    scheduler.start_forecast().RecordFirstStart(queue, this->fleet.now);
  }
  scheduler.start_forecast().UpdateWaiting({{queue, {.new_in_time = 80}}});
  EXPECT_FALSE(is_too_late());
  this->Evacuate();
  scheduler.Plan(this->fleet.now, WallTime());
  scheduler.start_forecast().UpdateWaiting({{queue, {.new_in_time = 80}}});
  EXPECT_TRUE(is_too_late());
  EXPECT_DOUBLE_EQ(scheduler.TakeCapacityLeft(), 0.5);
  EXPECT_EQ(scheduler.TakeCapacityLeft(), 1);
  this->Return();
  scheduler.Plan(this->fleet.now, WallTime());
  EXPECT_EQ(scheduler.TakeCapacityLeft(), 1);
}

// No job arrives between the two changes.
TEST_F(EvacuatedWorkTest,
       ARateThatWasNotUsedMeanwhileIsAsBeforeAfterTheReturn) {
  Scheduler& scheduler = *this->fleet.scheduler;
  for (const char* data_centre : {kFirst, kSecond}) {
    this->Evacuate(data_centre);
    scheduler.Plan(this->fleet.now, WallTime());
  }
  for (const char* data_centre : {kFirst, kSecond}) {
    this->fleet.ChangeDataCentre(data_centre, jobs::DataCentreUse::kInUse);
    scheduler.Plan(this->fleet.now, WallTime());
  }
  EXPECT_EQ(scheduler.TakeCapacityLeft(), 1);
}

// A new leader measures its rates with the capacity that is left.
TEST_F(EvacuatedWorkTest, ANewLeaderLosesNoCapacity) {
  this->Evacuate();
  this->fleet.PassTime(Milliseconds(100));
  this->fleet.ChangeLeader();
  this->fleet.PassTime(Milliseconds(3'000));
  EXPECT_EQ(this->fleet.scheduler->TakeCapacityLeft(), 1);
}

}  // namespace
}  // namespace sumac::scheduler
