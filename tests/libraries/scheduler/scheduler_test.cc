// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <variant>

#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {
namespace {

using jobs::JobState;

TEST(SchedulerTest, AllTasksOfAJobRunOnce) {
  FakeFleet fleet(2);
  fleet.Submit("job", {.count = 5});
  fleet.PassTime(Milliseconds(300));
  EXPECT_EQ(fleet.CountRunning("job"), 5U);
  fleet.PassTime(Milliseconds(1'000));
  EXPECT_EQ(fleet.job("job").state, JobState::kDone);
  EXPECT_EQ(fleet.starts, 5U);
  EXPECT_EQ(fleet.problem, "");
}

TEST(SchedulerTest, AStepWaitsForItsPredecessors) {
  FakeFleet fleet(2);
  jobs::JobSpec spec{
      .text = "t",
      .steps = {{.count = 2, .need = {.millicores = 100}},
                {.count = 1, .need = {.millicores = 100}, .after = {0}}}};
  fleet.Commit(jobs::SubmitJob{JobId("job"), QueueName("clips"), spec});
  fleet.PassTime(Milliseconds(500));
  EXPECT_EQ(fleet.CountRunning("job"), 2U);
  fleet.PassTime(Milliseconds(800));
  EXPECT_EQ(fleet.CountRunning("job"), 1U);
  EXPECT_EQ(fleet.job("job").state, JobState::kActive);
  fleet.PassTime(Milliseconds(1'000));
  EXPECT_EQ(fleet.job("job").state, JobState::kDone);
  EXPECT_EQ(fleet.problem, "");
}

TEST(SchedulerTest, ACancelledJobIsStoppedAndStartsNothing) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 4});
  fleet.PassTime(Milliseconds(300));
  fleet.Commit(jobs::CancelJob{JobId("job")});
  fleet.PassTime(Milliseconds(300));
  EXPECT_EQ(fleet.CountRunning("job"), 0U);
  fleet.PassTime(Milliseconds(5'000));
  EXPECT_EQ(fleet.starts, 4U);
}

// A start order gets no answer and is carried out seconds later. Its job has
// been cancelled by then, and the stops sent meanwhile were lost.
TEST(SchedulerTest, AStartThatIsCarriedOutAfterItsJobWasCancelledIsStopped) {
  constexpr Milliseconds kLate{2'000};
  FakeFleet fleet(1);
  fleet.work = Milliseconds(60'000);
  fleet.PassTime(Milliseconds(100));
  fleet.late_permille = 1'000;
  fleet.late_by = kLate;
  fleet.Submit("job", {.count = 1});
  fleet.PassTime(Milliseconds(100));
  fleet.late_permille = 0;
  fleet.worker("w0").is_cut = true;
  fleet.Commit(jobs::CancelJob{JobId("job")});
  while (fleet.starts == 0 && fleet.now < SteadyTime(Milliseconds(9'000))) {
    // Orders get through again just before the start does.
    fleet.worker("w0").is_cut =
        fleet.now < SteadyTime(Milliseconds(1'100)) + kLate;
    fleet.PassTime(Milliseconds(10));
  }
  ASSERT_EQ(fleet.CountRunning("job"), 1U);
  fleet.PassTime(fleet.settings.stop_retry + Milliseconds(200));
  EXPECT_EQ(fleet.CountRunning("job"), 0U);
  fleet.PassTime(Milliseconds(5'000));
  EXPECT_EQ(fleet.starts, 1U);
  EXPECT_EQ(fleet.problem, "");
}

// A start order of an earlier leader is carried out late, and the present
// leader does not know of the order. The first report shows the run, whose job
// is cancelled or is not in the jobs state any more.
TEST(SchedulerTest, ALateStartOfAnEarlierLeaderIsStoppedFromTheFirstReportOn) {
  constexpr Milliseconds kLate{2'000};
  for (const bool is_job_dropped : {false, true}) {
    FakeFleet fleet(1);
    fleet.work = Milliseconds(60'000);
    fleet.PassTime(Milliseconds(100));
    fleet.late_permille = 1'000;
    fleet.late_by = kLate;
    fleet.Submit("job", {.count = 1});
    fleet.PassTime(Milliseconds(100));
    fleet.late_permille = 0;
    fleet.worker("w0").is_cut = true;
    fleet.ChangeLeader();
    fleet.Commit(jobs::CancelJob{JobId("job")});
    while (fleet.starts == 0 && fleet.now < SteadyTime(Milliseconds(9'000))) {
      fleet.worker("w0").is_cut =
          fleet.now < SteadyTime(Milliseconds(1'100)) + kLate;
      fleet.PassTime(Milliseconds(10));
    }
    ASSERT_EQ(fleet.CountRunning("job"), 1U);
    if (is_job_dropped) {
      fleet.state.Apply(
          {WallTime(fleet.now.time_since_epoch()) + Milliseconds(600'000),
           jobs::RecordMoves{{}}});
      ASSERT_EQ(fleet.state.FindJob(JobId("job")), nullptr);
    }
    const auto& session = fleet.scheduler->sessions().at(WorkerId("w0"));
    while (!session.is_adopted() &&
           fleet.now < SteadyTime(Milliseconds(9'000))) {
      fleet.PassTime(Milliseconds(10));
    }
    fleet.PassTime(Milliseconds(100));
    EXPECT_EQ(fleet.CountRunning("job"), 0U);
    fleet.PassTime(Milliseconds(5'000));
    EXPECT_EQ(fleet.starts, 1U);
    EXPECT_EQ(fleet.problem, "");
  }
}

// Orders of an earlier leader are rejected once the worker has received one
// from the next leader.
TEST(SchedulerTest, ALateStartOfAnEarlierLeaderIsRejectedByItsFencingToken) {
  FakeFleet fleet(1);
  fleet.work = Milliseconds(60'000);
  fleet.PassTime(Milliseconds(100));
  fleet.late_permille = 1'000;
  fleet.late_by = Milliseconds(2'000);
  fleet.Submit("job", {.count = 1});
  fleet.PassTime(Milliseconds(100));
  fleet.late_permille = 0;
  fleet.ChangeLeader();
  fleet.Commit(jobs::CancelJob{JobId("job")});
  fleet.PassTime(Milliseconds(5'000));
  EXPECT_EQ(fleet.starts, 0U);
}

TEST(SchedulerTest, ANewLeaderAdoptsRunningTasks) {
  FakeFleet fleet(3);
  fleet.work = Milliseconds(3'000);
  fleet.Submit("job", {.count = 6});
  fleet.PassTime(Milliseconds(500));
  fleet.ChangeLeader();
  fleet.PassTime(Milliseconds(3'500));
  EXPECT_EQ(fleet.starts, 6U);
  EXPECT_EQ(fleet.job("job").state, JobState::kDone);
  EXPECT_EQ(fleet.problem, "");
}

// A task on a worker that is cut off during a change of leader is started
// elsewhere only after the worker's lease is over.
TEST(SchedulerTest, ATaskOnASilentWorkerRestartsOnlyAfterTheLease) {
  FakeFleet fleet(1);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 1});
  fleet.PassTime(Milliseconds(500));
  ASSERT_EQ(fleet.CountRunning("job"), 1U);
  fleet.worker("w0").is_cut = true;
  fleet.AddWorker("w1", "m1");
  fleet.ChangeLeader();
  fleet.PassTime(fleet.settings.lease.length - Milliseconds(700));
  EXPECT_EQ(fleet.starts, 1U);
  fleet.PassTime(Milliseconds(1'500));
  EXPECT_EQ(fleet.starts, 2U);
  EXPECT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"w1"});
  EXPECT_EQ(fleet.problem, "");
}

TEST(SchedulerTest, ACrashedWorkersTasksAreStartedAgainAtOnce) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(5'000);
  fleet.Submit("job", {.count = 2, .most_per_worker = 1});
  fleet.PassTime(Milliseconds(300));
  fleet.worker("w0").Crash();
  fleet.AddWorker("w9", "m9");
  fleet.PassTime(Milliseconds(1'000));
  EXPECT_EQ(fleet.CountRunning("job"), 2U);
  EXPECT_EQ(fleet.problem, "");
}

// A network partition may refuse connections to a worker that is still running.
TEST(SchedulerTest, ARefusedConnectionDoesNotEndRuns) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 2, .most_per_worker = 1});
  fleet.PassTime(Milliseconds(300));
  ASSERT_EQ(fleet.CountRunning("job"), 2U);
  fleet.AddWorker("w9", "m9");
  fleet.worker("w0").is_cut = true;
  fleet.worker("w0").is_cut_with_resets = true;
  fleet.PassTime(fleet.settings.lease.length - Milliseconds(1'000));
  EXPECT_EQ(fleet.problem, "");
  EXPECT_EQ(fleet.starts, 2U);
  fleet.PassTime(Milliseconds(2'000));
  EXPECT_EQ(fleet.problem, "");
  EXPECT_EQ(fleet.starts, 3U);
}

TEST(SchedulerTest, TasksOnAnInstanceListedAsDownRestartAtOnce) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 1});
  fleet.PassTime(Milliseconds(300));
  ASSERT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"w0"});
  fleet.worker("w0").is_cut = true;
  fleet.worker("w0").Crash();
  fleet.PassTime(Milliseconds(1'500));
  EXPECT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"w1"});
  EXPECT_EQ(fleet.state.FindWorker(WorkerId("w0")), nullptr);
}

TEST(SchedulerTest, ACrashCostsALeaseWithoutAPlatformList) {
  FakeFleet fleet(2);
  fleet.lists_instances = false;
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 1});
  fleet.PassTime(Milliseconds(300));
  fleet.worker("w0").Crash();
  fleet.PassTime(fleet.settings.lease.length - Milliseconds(1'000));
  EXPECT_EQ(fleet.starts, 1U);
  fleet.PassTime(Milliseconds(2'000));
  EXPECT_EQ(fleet.starts, 2U);
}

// Guards against long outages of long-running tasks while a pool grows: each
// new worker that had not answered yet was counted as possibly running the
// tasks of jobs of the previous leader. These waited, with the reason
// "may-run-unseen", for up to 16 s, and tasks of newer jobs took the free room.
// A worker that was first recorded under this leader has had no orders from an
// earlier one.
TEST(SchedulerTest, JobsOfEarlierLeadersDoNotWaitForNewWorkers) {
  FakeFleet fleet(1);
  fleet.long_running_work = Milliseconds(3'600'000);
  fleet.PassTime(Milliseconds(300));
  fleet.Submit("lasting", {.count = 1, .is_long_running = true});
  fleet.PassTime(Milliseconds(300));
  fleet.ChangeLeader();
  fleet.PassTime(Milliseconds(500));
  fleet.AddWorker("w9", "m9").is_cut = true;
  const jobs::TaskId task{{JobId("lasting"), 0, 0}, 0};
  fleet.worker("w0").Stop(
      {.epoch = fleet.state.epoch(), .task = task, .run = RunNumber(1)},
      fleet.now);
  fleet.PassTime(Milliseconds(1'000));
  EXPECT_EQ(fleet.CountRunning("lasting"), 1U);
}

// A platform list that was requested before a worker became known is no
// evidence about that worker.
TEST(SchedulerTest, AnOlderPlatformListEndsNoNewIncarnation) {
  FakeFleet fleet(1);
  fleet.lists_instances = false;
  fleet.PassTime(Milliseconds(300));
  const SteadyTime asked_at = fleet.now;
  fleet.PassTime(Milliseconds(300));
  fleet.AddWorker("w9", "m9");
  fleet.PassTime(Milliseconds(300));
  fleet.worker("w9").is_cut = true;
  fleet.PassTime(Milliseconds(1'000));
  ASSERT_TRUE(fleet.scheduler->NeedsInstanceCheck());
  fleet.scheduler->HandleInstanceStatus(
      {{InstanceName("m0"), {true, WorkerName("w0")}},
       {InstanceName("m9"), {false, WorkerName()}}},
      asked_at);
  EXPECT_TRUE(fleet.scheduler->sessions().contains(WorkerId("w9")));
}

TEST(SchedulerTest, AStalledRunIsGivenUpAndStartedElsewhere) {
  FakeFleet fleet(2);
  fleet.worker("w0").stalls_runs = true;
  fleet.Submit("job", {.count = 1, .estimate = Milliseconds(800)});
  fleet.PassTime(Milliseconds(1'000));
  EXPECT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"w0"});
  fleet.PassTime(Milliseconds(1'500));
  EXPECT_EQ(fleet.job("job").state, JobState::kDone);
  EXPECT_EQ(fleet.starts, 2U);
  EXPECT_EQ(fleet.problem, "");
  // The worker gets no tasks for a while.
  fleet.Submit("next", {.count = 2, .estimate = Milliseconds(800)});
  fleet.PassTime(Milliseconds(300));
  EXPECT_EQ(fleet.WorkersOf("next"), (std::vector<std::string>{"w1", "w1"}));
}

// A task whose runs had been given up `max_moves` times stood still for ever on
// the next worker.
TEST(SchedulerTest, ATaskThatWasMovedOftenDoesNotStandStillForEver) {
  FakeFleet fleet(3);
  for (const char* worker : {"w0", "w1", "w2"}) {
    fleet.worker(worker).stalls_runs = true;
  }
  fleet.Submit("job", {.count = 1, .estimate = Milliseconds(800)});
  fleet.PassTime(Milliseconds(15'000));
  ASSERT_GT(fleet.starts, fleet.settings.max_moves);
  ASSERT_EQ(fleet.job("job").state, JobState::kActive);
  fleet.AddWorker("w3", "m3");
  fleet.PassTime(Milliseconds(25'000));
  EXPECT_EQ(fleet.job("job").state, JobState::kDone);
  EXPECT_EQ(fleet.problem, "");
}

TEST(SchedulerTest, ARunOnASlowWorkerIsGivenUpOnceTheQueueIsKnown) {
  FakeFleet fleet(2);
  for (int number = 0; number < 3; ++number) {
    fleet.Submit("before" + std::to_string(number),
                 {.count = 4, .estimate = Milliseconds(800)});
    fleet.PassTime(Milliseconds(1'500));
  }
  fleet.worker("w0").slowness = 7;
  fleet.Submit("job", {.count = 1, .estimate = Milliseconds(800)});
  fleet.PassTime(Milliseconds(4'000));
  EXPECT_EQ(fleet.job("job").state, JobState::kDone);
  EXPECT_EQ(fleet.starts, 14U);
  EXPECT_EQ(fleet.problem, "");
}

// A run that looks stalled may be in operation by the time the stop arrives.
TEST(SchedulerTest, ALongRunningTaskIsGivenUpOnlyWithinItsBudget) {
  for (const std::uint32_t budget : {0U, 1U}) {
    FakeFleet fleet(2);
    fleet.work = Milliseconds(60'000);
    fleet.worker("w0").stalls_runs = true;
    fleet.Submit("job", {.count = 1,
                         .is_long_running = true,
                         .has_disruption_budget = true,
                         .disruption_budget = budget});
    fleet.PassTime(Milliseconds(4'000));
    EXPECT_EQ(fleet.starts, 1U + budget);
  }
}

// Tasks of one queue differ in length. A run that takes three times as long as
// the others is no sign of a slow worker.
TEST(SchedulerTest, ALongTaskIsNotGivenUp) {
  FakeFleet fleet(2);
  for (int number = 0; number < 3; ++number) {
    fleet.Submit("before" + std::to_string(number),
                 {.count = 4, .estimate = Milliseconds(800)});
    fleet.PassTime(Milliseconds(1'500));
  }
  fleet.work = Milliseconds(4'000);
  fleet.Submit("long", {.count = 3, .estimate = Milliseconds(800)});
  fleet.PassTime(Milliseconds(5'000));
  EXPECT_EQ(fleet.job("long").state, JobState::kDone);
  EXPECT_EQ(fleet.starts, 15U);
}

TEST(SchedulerTest, AWorkerThatFailsTasksOfSeveralJobsGetsNoMoreForAWhile) {
  FakeFleet fleet(2);
  fleet.fails = [](const StartOrder& order) {
    return order.worker == WorkerId("w0");
  };
  for (int number = 0; number < 6; ++number) {
    fleet.Submit("job" + std::to_string(number), {.count = 1});
    fleet.PassTime(Milliseconds(1'000));
  }
  fleet.PassTime(Milliseconds(1'000));
  for (int number = 0; number < 6; ++number) {
    EXPECT_EQ(fleet.job("job" + std::to_string(number)).state, JobState::kDone);
  }
  // The tasks of two jobs, and perhaps of one more after the first quarantine,
  // failed there; each was started again on the other worker.
  EXPECT_LE(fleet.starts, 9U);
}

TEST(SchedulerTest, AJobThatFailsEverywhereQuarantinesNoWorker) {
  FakeFleet fleet(2);
  fleet.fails = [](const StartOrder& order) {
    return order.task.step.job.value().starts_with("bad");
  };
  for (int number = 0; number < 3; ++number) {
    fleet.Submit("bad" + std::to_string(number), {.count = 2});
  }
  fleet.PassTime(Milliseconds(9'000));
  fleet.Submit("good", {.count = 10});
  fleet.PassTime(Milliseconds(300));
  const std::vector<std::string> workers = fleet.WorkersOf("good");
  EXPECT_EQ(std::count(workers.begin(), workers.end(), "w0"), 8);
  EXPECT_EQ(std::count(workers.begin(), workers.end(), "w1"), 2);
}

TEST(SchedulerTest, ANewIncarnationOnAnInstanceEndsThePreviousOne) {
  FakeFleet fleet(1);
  fleet.work = Milliseconds(5'000);
  fleet.Submit("job", {.count = 1});
  fleet.PassTime(Milliseconds(300));
  fleet.worker("w0").Crash();
  fleet.worker("w0").is_cut = true;
  fleet.AddWorker("w9", "m0");
  fleet.PassTime(Milliseconds(300));
  EXPECT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"w9"});
  EXPECT_EQ(fleet.state.FindWorker(WorkerId("w0")), nullptr);
}

// Holds for any order of the names, for any commit before the record of the old
// incarnation is removed, and whether a leader that knows both takes over
// immediately or after the new incarnation has answered. The announcement of
// the new incarnation alone proves nothing; its first answer arrives within
// milliseconds.
TEST(SchedulerTest, AnOldIncarnationNeverReplacesTheNewOne) {
  for (const char* next : {"a-life", "z-life"}) {
    for (const Milliseconds heard : {Milliseconds(0), Milliseconds(40)}) {
      FakeFleet fleet(1);
      fleet.lists_instances = false;
      fleet.worker("w0").Crash();
      fleet.AddWorker(next, "m0");
      fleet.AddWorker("other", "m1");
      fleet.PassTime(heard);
      const auto& sessions = fleet.scheduler->sessions();
      EXPECT_TRUE(sessions.contains(WorkerId(next)));
      EXPECT_EQ(sessions.contains(WorkerId("w0")), heard == Milliseconds(0));
      fleet.ChangeLeader();
      fleet.PassTime(Milliseconds(40));
      EXPECT_TRUE(fleet.scheduler->sessions().contains(WorkerId(next)));
      EXPECT_FALSE(fleet.scheduler->sessions().contains(WorkerId("w0")));
      EXPECT_EQ(fleet.state.FindWorker(WorkerId("w0")), nullptr);
    }
  }
}

// A first announcement arrives late, when its sender has crashed and the next
// incarnation on the instance is running. It must not be treated as the present
// incarnation just because it arrived last: then the tasks running there were
// started a second time elsewhere.
TEST(SchedulerTest, ALateAnnouncementOfAnEndedWorkerEndsNoOtherIncarnation) {
  for (const char* late : {"a-late", "z-late"}) {
    for (const bool is_silent : {false, true}) {
      FakeFleet fleet(2);
      fleet.work = Milliseconds(20'000);
      fleet.lists_instances = !is_silent;
      fleet.Submit("job", {.count = 1});
      fleet.PassTime(Milliseconds(300));
      ASSERT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"w0"});
      fleet.AddWorker(late, "m0").Crash();
      fleet.worker(late).is_cut = is_silent;
      fleet.PassTime(Milliseconds(3'000));
      EXPECT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"w0"});
      EXPECT_TRUE(fleet.scheduler->sessions().contains(WorkerId("w0")));
      fleet.ChangeLeader();
      fleet.PassTime(Milliseconds(3'000));
      EXPECT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"w0"});
      EXPECT_FALSE(fleet.scheduler->sessions().contains(WorkerId(late)));
      EXPECT_EQ(fleet.starts, 1U);
      EXPECT_EQ(fleet.problem, "");
    }
  }
}

// The record of a silent worker was removed, and its instance was given to the
// next incarnation. Then the old worker's last announcement arrives, is
// recorded with the highest sequence number of all, and must not replace the
// next incarnation.
TEST(SchedulerTest, ALateAnnouncementOfARemovedWorkerEndsNoOtherIncarnation) {
  FakeFleet fleet(2);
  fleet.lists_instances = false;
  jobs::Worker forgotten = fleet.worker("w0").description;
  fleet.worker("w0").is_cut = true;
  fleet.PassTime(fleet.settings.lease.length + fleet.settings.removal_delay +
                 Milliseconds(2'000));
  ASSERT_EQ(fleet.state.FindWorker(WorkerId("w0")), nullptr);
  fleet.worker("w0").Crash();
  fleet.AddWorker("next", "m0");
  fleet.work = Milliseconds(20'000);
  fleet.Submit("job", {.count = 2, .most_per_worker = 1});
  fleet.PassTime(Milliseconds(300));
  const std::vector<std::string> placed{"next", "w1"};
  ASSERT_EQ(fleet.WorkersOf("job"), placed);
  forgotten.sequence = 9;
  fleet.Commit(jobs::RecordWorker{forgotten});
  fleet.PassTime(Milliseconds(3'000));
  EXPECT_EQ(fleet.WorkersOf("job"), placed);
  EXPECT_TRUE(fleet.scheduler->sessions().contains(WorkerId("next")));
  EXPECT_EQ(fleet.starts, 2U);
  EXPECT_EQ(fleet.problem, "");
}

// An address was given to a worker of another service, and an announcement of
// the previous incarnation arrives later. Orders to the previous incarnation
// are answered there by the other worker.
TEST(SchedulerTest, AReusedAddressEndsOnlyThePreviousIncarnation) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(20'000);
  fleet.Submit("job", {.count = 1});
  fleet.PassTime(Milliseconds(300));
  ASSERT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"w0"});
  const jobs::Worker before{.id = WorkerId("before"),
                            .instance = InstanceName("m8"),
                            .service = ServiceName("thumbs"),
                            .address = "w0",
                            .capacity = {.millicores = 8'000},
                            .sequence = 3};
  fleet.Commit(jobs::RecordWorker{before});
  fleet.scheduler->HandleRenewalFailure(
      before.id, OrderResult::kOtherIncarnation, fleet.now);
  fleet.PassTime(Milliseconds(500));
  EXPECT_EQ(fleet.state.FindWorker(before.id), nullptr);
  fleet.Commit(jobs::RecordWorker{before});
  EXPECT_EQ(fleet.state.FindWorker(before.id), nullptr);
  fleet.PassTime(Milliseconds(3'000));
  EXPECT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"w0"});
  EXPECT_EQ(fleet.starts, 1U);
  EXPECT_EQ(fleet.problem, "");
}

TEST(SchedulerTest, ADrainingWorkerGetsNothingNew) {
  FakeFleet fleet(2);
  jobs::Worker leaving = fleet.worker("w0").description;
  leaving.is_draining = true;
  leaving.sequence = 2;
  fleet.Commit(jobs::RecordWorker{leaving});
  fleet.Submit("job", {.count = 4});
  fleet.PassTime(Milliseconds(400));
  EXPECT_EQ(fleet.WorkersOf("job"),
            (std::vector<std::string>{"w1", "w1", "w1", "w1"}));
}

TEST(SchedulerTest, ALongRunningTaskIsStartedAgainHoweverItEnds) {
  FakeFleet fleet(2);
  fleet.fails = [](const StartOrder&) { return true; };
  fleet.Submit("job", {.count = 2, .is_long_running = true});
  fleet.PassTime(Milliseconds(9'000));
  EXPECT_EQ(fleet.job("job").state, JobState::kActive);
  EXPECT_GT(fleet.starts, 12U);
  EXPECT_EQ(fleet.problem, "");
}

TEST(SchedulerTest, AJobFailsOnceATaskFailedAsOftenAsItMay) {
  FakeFleet fleet(2);
  fleet.fails = [](const StartOrder&) { return true; };
  fleet.Submit("job", {.count = 1});
  fleet.PassTime(Milliseconds(9'000));
  EXPECT_EQ(fleet.job("job").state, JobState::kFailed);
  EXPECT_EQ(fleet.starts, 3U);
  EXPECT_EQ(fleet.problem, "");
}

TEST(SchedulerTest, TasksKeepApartAsAsked) {
  FakeFleet fleet(3);
  fleet.work = Milliseconds(5'000);
  fleet.Submit("job", {.count = 4, .most_per_worker = 1});
  fleet.PassTime(Milliseconds(400));
  EXPECT_EQ(fleet.WorkersOf("job"),
            (std::vector<std::string>{"w0", "w1", "w2"}));
}

TEST(SchedulerTest, AGangStartsWholeOrNotAtAll) {
  FakeFleet fleet(1);
  fleet.work = Milliseconds(5'000);
  fleet.Submit("gang",
               {.count = 9, .need = {.millicores = 1'000}, .is_gang = true});
  fleet.PassTime(Milliseconds(400));
  EXPECT_EQ(fleet.CountRunning("gang"), 0U);
  fleet.AddWorker("w9", "m9");
  fleet.PassTime(Milliseconds(400));
  EXPECT_EQ(fleet.CountRunning("gang"), 9U);
}

TEST(SchedulerTest, AGangThatWantsOneRackGetsItWhereOneHasRoom) {
  FakeFleet fleet(1);
  for (const char* name : {"x1", "x2", "x3"}) {
    fleet.AddWorker(name, name, "r2");
  }
  fleet.work = Milliseconds(5'000);
  fleet.Submit("gang", {.count = 16, .is_gang = true, .wants_same_rack = true});
  fleet.PassTime(Milliseconds(400));
  EXPECT_EQ(fleet.CountRunning("gang"), 16U);
  const std::vector<std::string> workers = fleet.WorkersOf("gang");
  EXPECT_EQ(std::count(workers.begin(), workers.end(), "w0"), 0);
  // The gang needs more than the rack has, so it is spread over racks.
  fleet.Submit("wide", {.count = 16, .is_gang = true, .wants_same_rack = true});
  fleet.PassTime(Milliseconds(400));
  EXPECT_EQ(fleet.CountRunning("wide"), 16U);
}

// Members that wait for a member whose start was refused would hold their room
// in vain.
TEST(SchedulerTest, AGangWithoutOneMemberIsStoppedAndStartsAnew) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(2'000);
  fleet.Submit("gang", {.count = 2, .is_gang = true, .most_per_worker = 1});
  fleet.PassTime(Milliseconds(300));
  ASSERT_EQ(fleet.CountRunning("gang"), 2U);
  const jobs::TaskId member{{JobId("gang"), 0, 0}, 0};
  const RunNumber run = fleet.worker("w0").running().contains(member)
                            ? fleet.worker("w0").running().at(member).run
                            : fleet.worker("w1").running().at(member).run;
  fleet.worker("w0").Crash();
  fleet.AddWorker("w9", "m9");
  fleet.PassTime(Milliseconds(500));
  EXPECT_EQ(fleet.CountRunning("gang"), 2U);
  const std::vector<std::string> workers = fleet.WorkersOf("gang");
  EXPECT_EQ(workers, (std::vector<std::string>{"w1", "w9"}));
  for (const char* name : {"w1", "w9"}) {
    for (const auto& [task, running] : fleet.worker(name).running()) {
      EXPECT_GT(running.run, run);
    }
  }
  EXPECT_EQ(fleet.problem, "");
}

// The checkpoint of any member is valid for the gang, and all members must
// start from the same one.
TEST(SchedulerTest, AGangContinuesFromOneCheckpoint) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(60'000);
  std::vector<std::string> brought;
  fleet.fails = [&](const StartOrder& order) {
    brought.push_back(order.checkpoint);
    return false;
  };
  fleet.Submit("gang", {.count = 2, .is_gang = true, .most_per_worker = 1});
  fleet.PassTime(Milliseconds(300));
  fleet.worker("w0").checkpoint = "saved-0";
  fleet.worker("w1").checkpoint = "saved-1";
  fleet.PassTime(Milliseconds(300));
  fleet.worker("w0").Crash();
  fleet.AddWorker("w9", "m9");
  fleet.PassTime(Milliseconds(500));
  ASSERT_EQ(brought.size(), 4U);
  EXPECT_FALSE(brought[2].empty());
  EXPECT_EQ(brought[2], brought[3]);
}

TEST(SchedulerTest, ACordonedInstanceIsEvacuatedWithinTheBudget) {
  FakeFleet fleet(4);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 2,
                       .most_per_worker = 1,
                       .is_long_running = true,
                       .has_disruption_budget = true,
                       .disruption_budget = 1});
  fleet.PassTime(Milliseconds(400));
  const std::vector<std::string> before = fleet.WorkersOf("job");
  ASSERT_EQ(before.size(), 2U);
  // Both tasks have to leave at the same time; the budget allows one.
  std::set<InstanceName> instances;
  for (const std::string& worker : before) {
    instances.insert(fleet.worker(worker).description.instance);
  }
  fleet.scheduler->SetCordoned(instances);
  fleet.PassTime(Milliseconds(30));
  EXPECT_EQ(fleet.CountRunning("job"), 1U);
  fleet.PassTime(Milliseconds(600));
  EXPECT_EQ(fleet.CountRunning("job"), 2U);
}

// Until a stop takes effect, its run is reported as running. A leader that
// takes over meanwhile can't tell such a run from one that continues, and must
// not stop another task of the step at the same time.
TEST(SchedulerTest, TheBudgetCountsStopsOfThePreviousLeader) {
  FakeFleet fleet(4);
  fleet.work = Milliseconds(60'000);
  fleet.settings.max_stop_time = Milliseconds(900);
  fleet.Submit("job", {.count = 2,
                       .most_per_worker = 1,
                       .is_long_running = true,
                       .has_disruption_budget = true,
                       .disruption_budget = 1});
  fleet.PassTime(Milliseconds(400));
  const std::vector<std::string> before = fleet.WorkersOf("job");
  ASSERT_EQ(before.size(), 2U);
  const auto instance_of = [&](const std::string& worker) {
    return fleet.worker(worker).description.instance;
  };
  const auto runs_on = [&](const std::string& worker) {
    const std::vector<std::string> workers = fleet.WorkersOf("job");
    return std::count(workers.begin(), workers.end(), worker) > 0;
  };
  FakeWorker& first = fleet.worker(before[0]);
  first.stop_time = Milliseconds(800);
  const RunNumber first_run = first.running().begin()->second.run;
  const auto is_first_leaving = [&] {
    return std::any_of(
        first.running().begin(), first.running().end(),
        [&](const auto& task) { return task.second.run == first_run; });
  };
  fleet.scheduler->SetCordoned({instance_of(before[0])});
  fleet.PassTime(Milliseconds(50));
  fleet.ChangeLeader();
  fleet.scheduler->SetCordoned({instance_of(before[1])});
  for (int step = 0; step < 400; ++step) {
    fleet.PassTime(Milliseconds(10));
    ASSERT_TRUE(runs_on(before[1]) || !is_first_leaving()) << step;
  }
  // Once the first task is in operation again, the second leaves its instance.
  EXPECT_EQ(fleet.CountRunning("job"), 2U);
  EXPECT_FALSE(runs_on(before[1]));
  EXPECT_EQ(fleet.problem, "");
}

TEST(SchedulerTest, ATaskWithoutAnotherPlaceStaysOnItsCordonedInstance) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job",
               {.count = 2, .most_per_worker = 1, .is_long_running = true});
  fleet.PassTime(Milliseconds(400));
  fleet.scheduler->SetCordoned({InstanceName("m0")});
  fleet.PassTime(Milliseconds(1'000));
  EXPECT_EQ(fleet.CountRunning("job"), 2U);
  EXPECT_EQ(fleet.starts, 2U);
}

TEST(SchedulerTest, ATaskOutsideItsBudgetMayNotBeTakenAway) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 2,
                       .is_long_running = true,
                       .has_disruption_budget = true,
                       .disruption_budget = 0});
  fleet.PassTime(Milliseconds(400));
  EXPECT_FALSE(fleet.scheduler->MayDisrupt(
      jobs::TaskId{{JobId("job"), 0, 0}, 0}, fleet.now));
}

TEST(SchedulerTest, APendingJobIsOneOfWhichNothingHasBegun) {
  FakeFleet fleet(1);
  fleet.work = Milliseconds(5'000);
  fleet.Submit("runs", {.count = 8});
  fleet.Submit("waits", {.count = 8});
  fleet.PassTime(Milliseconds(400));
  EXPECT_EQ(fleet.scheduler->CountPending(QueueName("clips")), 1U);
}

// The stop of a run that has ended is acknowledged like any other; only a
// report shows that the run ended as done.
TEST(SchedulerTest, AStoppedRunIsNotStartedAgainBeforeAReportShowsItsEnd) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(400);
  fleet.PassTime(Milliseconds(300));
  fleet.late_permille = 1'000;
  fleet.late_by = Milliseconds(100);
  fleet.Submit("job", {.count = 1});
  fleet.PassTime(Milliseconds(20));
  fleet.late_permille = 0;
  fleet.lost_report_permille = 1'000;
  fleet.PassTime(Milliseconds(4'500));
  EXPECT_EQ(fleet.starts, 1U);
  fleet.lost_report_permille = 0;
  fleet.PassTime(Milliseconds(2'000));
  EXPECT_EQ(fleet.starts, 1U);
  EXPECT_EQ(fleet.job("job").state, JobState::kDone);
}

TEST(SchedulerTest, OnlyAdmittedWorkersRunAnAdvisedQueue) {
  FakeFleet fleet(3);
  fleet.work = Milliseconds(5'000);
  fleet.admitted = {{WorkerId("w1"), "ticket-1"}};
  fleet.worker("w1").tickets = {"ticket-1"};
  fleet.Submit("job", {.count = 3}, "advised");
  fleet.PassTime(Milliseconds(600));
  EXPECT_EQ(fleet.WorkersOf("job"),
            (std::vector<std::string>{"w1", "w1", "w1"}));
  // The policy's answers do not change, so no worker is asked about twice.
  EXPECT_EQ(fleet.questions, 1U);
  EXPECT_EQ(fleet.problem, "");
}

TEST(SchedulerTest, AnExpiredTicketIsRequestedAgain) {
  FakeFleet fleet(1);
  fleet.work = Milliseconds(3'000);
  fleet.admitted = {{WorkerId("w0"), "ticket"}};
  // There is not enough room for all tasks at once: the second half starts
  // after the ticket has expired.
  fleet.Submit("job", {.count = 16}, "advised");
  fleet.PassTime(Milliseconds(600));
  EXPECT_EQ(fleet.CountRunning("job"), 8U);
  fleet.PassTime(Milliseconds(4'000));
  EXPECT_EQ(fleet.CountRunning("job"), 8U);
  EXPECT_EQ(fleet.starts, 16U);
  EXPECT_GE(fleet.questions, 2U);
}

TEST(SchedulerTest, ATicketHasTheDeclaredValidityByDefault) {
  FakeFleet fleet(1);
  fleet.work = Milliseconds(5'000);
  fleet.admitted = {{WorkerId("w0"), "ticket"}};
  fleet.answered_validity = std::nullopt;
  fleet.Submit("job", {.count = 1}, "advised");
  fleet.PassTime(Milliseconds(600));
  EXPECT_EQ(fleet.CountRunning("job"), 1U);
  EXPECT_EQ(fleet.questions, 1U);
}

TEST(SchedulerTest, ARefusedTicketIsDroppedAndRequestedAgain) {
  FakeFleet fleet(1);
  fleet.work = Milliseconds(5'000);
  fleet.admitted = {{WorkerId("w0"), "stale"}};
  fleet.worker("w0").tickets = {"fresh"};
  fleet.Submit("job", {.count = 1}, "advised");
  fleet.PassTime(Milliseconds(500));
  EXPECT_EQ(fleet.CountRunning("job"), 0U);
  fleet.admitted = {{WorkerId("w0"), "fresh"}};
  fleet.PassTime(Milliseconds(800));
  EXPECT_EQ(fleet.CountRunning("job"), 1U);
}

TEST(SchedulerTest, ASilentPolicyIsAskedAgainAndOtherQueuesContinue) {
  FakeFleet fleet(1);
  fleet.admitted = {{WorkerId("w0"), "ticket"}};
  fleet.is_policy_silent = true;
  fleet.Submit("job", {.count = 1}, "advised");
  fleet.Submit("other", {.count = 1});
  fleet.PassTime(Milliseconds(2'000));
  EXPECT_EQ(fleet.job("other").state, JobState::kDone);
  EXPECT_EQ(fleet.job("job").state, JobState::kActive);
  fleet.is_policy_silent = false;
  fleet.PassTime(Milliseconds(2'000));
  EXPECT_EQ(fleet.job("job").state, JobState::kDone);
}

// Starts a filler next to a run that serves users with a tail latency of 60 ms
// and a target of 100 ms. At full speed the filler adds `tail_per_filler`.
void StartFillerNextToServingRun(FakeFleet& fleet,
                                 std::int64_t tail_per_filler) {
  fleet.work = Milliseconds(600'000);
  fleet.worker("w0").tail = 60;
  fleet.worker("w0").tail_per_filler = tail_per_filler;
  fleet.Submit("serves", {.count = 1,
                          .is_long_running = true,
                          .image = "site",
                          .latency_target = Milliseconds(100)});
  fleet.Submit("fills", {.count = 1, .image = "batch", .is_filler = true});
}

TEST(SchedulerTest, AFillerIsPacedUntilTheServingRunMeetsItsTarget) {
  FakeFleet fleet(1);
  StartFillerNextToServingRun(fleet, 100);
  fleet.PassTime(Milliseconds(400));
  ASSERT_EQ(fleet.worker("w0").running().size(), 2U);
  const jobs::TaskId filler{{JobId("fills"), 0, 0}, 0};
  // The serving run exceeds its target for less than 4 s.
  fleet.PassTime(Milliseconds(3'000));
  EXPECT_LE(fleet.worker("w0").running().at(filler).pace, 40U);
  for (int second = 0; second < 60; ++second) {
    fleet.PassTime(Milliseconds(1'000));
    EXPECT_LE(fleet.worker("w0").running().at(filler).pace, 40U);
  }
  // Alone on the worker, the filler may use everything again.
  fleet.Commit(jobs::CancelJob{JobId("serves")});
  fleet.PassTime(Milliseconds(1'000));
  EXPECT_EQ(fleet.worker("w0").running().at(filler).pace, 100U);
}

TEST(SchedulerTest, AnAdoptedFillerGetsItsPaceAgain) {
  FakeFleet fleet(1);
  StartFillerNextToServingRun(fleet, 300);
  fleet.PassTime(Milliseconds(3'000));
  const jobs::TaskId filler{{JobId("fills"), 0, 0}, 0};
  ASSERT_EQ(fleet.worker("w0").running().at(filler).pace, 0U);
  fleet.ChangeLeader();
  fleet.Commit(jobs::CancelJob{JobId("serves")});
  fleet.PassTime(Milliseconds(2'000));
  EXPECT_EQ(fleet.worker("w0").running().at(filler).pace, 100U);
}

// The ends of two reports may be being committed at the same time. A worker may
// drop an end only when it and all earlier ends are committed.
TEST(SchedulerTest, EndsAreAcknowledgedInOrder) {
  FakeFleet fleet(1);
  fleet.PassTime(Milliseconds(100));
  const WorkerId worker("w0");
  const auto report = [](std::int64_t clock, std::uint64_t last) {
    RenewReport report{.clock = WorkerTime(clock)};
    for (std::uint64_t number = 1; number <= last; ++number) {
      report.ended.push_back(
          {.number = number, .task = {{JobId("gone"), 0, 0}, 0}});
    }
    return report;
  };
  constexpr std::int64_t kLater = 100'000'000;
  const EndsToRecord first =
      fleet.scheduler->HandleReport(worker, report(kLater, 1), fleet.now);
  const EndsToRecord second =
      fleet.scheduler->HandleReport(worker, report(kLater + 1, 3), fleet.now);
  EXPECT_EQ(second.after, 1U);
  fleet.scheduler->HandleEndsCommitted(worker, second);
  EXPECT_EQ(fleet.scheduler->NextRenewal(worker, fleet.now)->acknowledged_ends,
            0U);
  fleet.scheduler->HandleEndsCommitted(worker, first);
  EXPECT_EQ(fleet.scheduler->NextRenewal(worker, fleet.now)->acknowledged_ends,
            3U);
}

// The leader submits the removal of a silent worker's record, and the commit is
// slow. If the worker answers before it and gets tasks, the commit must not end
// its session: the tasks would be started elsewhere while they are still
// running there.
TEST(SchedulerTest,
     AReturningWorkerKeepsItsTasksWhenItsRemovalIsCommittedLate) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(6'000);
  fleet.commit_time = Milliseconds(3'000);
  fleet.announce_interval = Milliseconds(500);
  fleet.PassTime(Milliseconds(500));
  fleet.worker("w0").is_cut = true;
  // Longer than the lease and the time after which a silent worker's record is
  // removed.
  fleet.PassTime(fleet.settings.removal_delay + Milliseconds(1'000));
  ASSERT_NE(fleet.state.FindWorker(WorkerId("w0")), nullptr);
  fleet.worker("w0").is_cut = false;
  // A worker whose record is being removed gets no orders until the removal is
  // committed and the worker has announced itself again.
  EXPECT_FALSE(fleet.scheduler->NextRenewal(WorkerId("w0"), fleet.now));
  fleet.Submit("job", {.count = 16});
  fleet.PassTime(Milliseconds(500));
  EXPECT_TRUE(fleet.worker("w0").running().empty());
  fleet.PassTime(Milliseconds(3'500));
  ASSERT_EQ(fleet.worker("w0").running().size(), 8U);
  fleet.AddWorker("w2", "m2");
  fleet.PassTime(Milliseconds(20'000));
  EXPECT_EQ(fleet.problem, "");
  EXPECT_EQ(fleet.starts, 16U);
  EXPECT_EQ(fleet.job("job").state, JobState::kDone);
}

TEST(SchedulerTest, AnOvertakenReportChangesNothing) {
  FakeFleet fleet(1);
  fleet.work = Milliseconds(5'000);
  fleet.Submit("job", {.count = 1});
  fleet.PassTime(Milliseconds(300));
  const RenewReport old{.clock = WorkerTime(1)};
  fleet.scheduler->HandleReport(WorkerId("w0"), old, fleet.now);
  fleet.PassTime(Milliseconds(300));
  EXPECT_EQ(fleet.starts, 1U);
  EXPECT_EQ(fleet.CountRunning("job"), 1U);
}

TEST(SchedulerTest, AnUnansweredStartIsStoppedBeforeTheTaskGoesElsewhere) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(2'000);
  fleet.late_permille = 500;
  for (int number = 0; number < 20; ++number) {
    fleet.Submit("job" + std::to_string(number), {.count = 2});
  }
  fleet.PassTime(Milliseconds(60'000));
  EXPECT_EQ(fleet.problem, "");
  for (int number = 0; number < 20; ++number) {
    EXPECT_EQ(fleet.job("job" + std::to_string(number)).state, JobState::kDone);
  }
}

// A leader is stalled for longer than a lease, and then one worker's answer
// arrives before another's. Runs that ended meanwhile are listed in an answer
// that is still outstanding.
TEST(SchedulerTest, AStalledLeaderCallsWorkersBeforeItReleasesTheirRuns) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FakeFleet fleet(3, seed);
    fleet.work = Milliseconds(800);
    fleet.Submit("job", {.count = 1});
    fleet.PassTime(Milliseconds(300));
    ASSERT_EQ(fleet.CountRunning("job"), 1U);
    fleet.renews = false;
    fleet.PassTime(fleet.settings.lease.length + Milliseconds(2'000));
    fleet.late_report_permille = 1'000;
    fleet.renews = true;
    fleet.PassTime(Milliseconds(1'000));
    EXPECT_EQ(fleet.starts, 1U) << seed;
    EXPECT_EQ(fleet.job("job").state, JobState::kDone);
    EXPECT_EQ(fleet.problem, "");
  }
}

// Starts of a step with a disruption budget are carried out and their answers
// are lost. The stop of such a run arrives when its task is in operation, so a
// stop that only settles a start must respect the budget like any other.
TEST(SchedulerTest, UnansweredStartsAreNotStoppedBeyondTheBudget) {
  FakeFleet fleet(3);
  fleet.work = Milliseconds(60'000);
  fleet.PassTime(Milliseconds(300));
  fleet.late_permille = 1'000;
  fleet.late_by = Milliseconds(0);
  fleet.Submit("job", {.count = 3,
                       .most_per_worker = 1,
                       .is_long_running = true,
                       .has_disruption_budget = true,
                       .disruption_budget = 1});
  fleet.PassTime(Milliseconds(100));
  ASSERT_EQ(fleet.CountRunning("job"), 3U);
  fleet.late_permille = 0;
  for (Milliseconds passed{0}; passed < Milliseconds(4'000);
       passed += Milliseconds(10)) {
    fleet.PassTime(Milliseconds(10));
    ASSERT_GE(fleet.CountRunning("job"), 2U);
  }
  EXPECT_EQ(fleet.CountRunning("job"), 3U);
}

// An evacuation must not count tasks as running by old reports: in one case the
// reports were 2.3 s old, and the leases of the workers had ended 0.9 s before.
TEST(SchedulerTest, AnOldReportDoesNotConfirmThatATaskIsRunning) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 2,
                       .most_per_worker = 1,
                       .is_long_running = true,
                       .has_disruption_budget = true,
                       .disruption_budget = 1});
  fleet.PassTime(Milliseconds(3'000));
  const jobs::TaskId task{{JobId("job"), 0, 0}, 0};
  ASSERT_TRUE(fleet.scheduler->MayDisrupt(task, fleet.now));
  fleet.renews = false;
  fleet.PassTime(Milliseconds(2'000));
  EXPECT_FALSE(fleet.scheduler->MayDisrupt(task, fleet.now));
  fleet.renews = true;
  fleet.PassTime(Milliseconds(500));
  EXPECT_TRUE(fleet.scheduler->MayDisrupt(task, fleet.now));
}

// A report that waited in its relay or for the leader's event loop may describe
// the state before another task's stop.
TEST(SchedulerTest, AReportReadLateDoesNotConfirmThatATaskIsRunning) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 2,
                       .most_per_worker = 1,
                       .is_long_running = true,
                       .has_disruption_budget = true,
                       .disruption_budget = 1});
  fleet.PassTime(Milliseconds(3'000));
  const jobs::TaskId task{{JobId("job"), 0, 0}, 0};
  ASSERT_TRUE(fleet.scheduler->MayDisrupt(task, fleet.now));
  fleet.renews = false;
  std::map<WorkerId, RenewReport> reports;
  for (const auto& [id, session] : fleet.scheduler->sessions()) {
    const auto report =
        fleet.worker(id.value())
            .Renew(session.NextReportRequest(fleet.state.epoch()), fleet.now);
    ASSERT_TRUE(report);
    reports.emplace(id, *report);
  }
  fleet.PassTime(Milliseconds(2'000));
  for (const auto& [id, report] : reports) {
    fleet.scheduler->HandleReport(id, report, fleet.now);
  }
  EXPECT_FALSE(fleet.scheduler->MayDisrupt(task, fleet.now));
}

// The leader changes while the worker of a job's only tasks is silent. Whether
// the job has begun must be committed: otherwise callers that have been shown
// "running" are shown "queued" until the worker answers.
TEST(SchedulerTest, AJobThatWasShownAsRunningIsNeverQueuedAgain) {
  FakeFleet fleet(1);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 1, .is_long_running = true});
  EXPECT_FALSE(fleet.scheduler->HasBegun(fleet.job("job")));
  fleet.PassTime(Milliseconds(300));
  ASSERT_TRUE(fleet.scheduler->HasBegun(fleet.job("job")));
  fleet.worker("w0").is_cut = true;
  fleet.ChangeLeader();
  EXPECT_TRUE(fleet.scheduler->HasBegun(fleet.job("job")));
  fleet.PassTime(Milliseconds(2'000));
  EXPECT_TRUE(fleet.scheduler->HasBegun(fleet.job("job")));
}

// A leader that reads an answer 3 s late must not use the worker's clock in it
// as the present one: then the next lease of 6 s was over after 3 s.
TEST(SchedulerTest, AnAnswerThatIsReadLateShortensNoLease) {
  constexpr WorkerTime kReading{100'000};
  constexpr Milliseconds kLate{3'000};
  const LeaseSettings lease;
  SteadyTime now{Milliseconds(50'000)};
  WorkerSession session(jobs::Worker{.id = WorkerId("w")}, lease, now);
  session.RecordClock(kReading, now);
  // The worker answered 10 ms later, and the answer is read 3 s later.
  now += kLate;
  session.RecordClock(WorkerTime(kReading.value() + 10), now);
  const std::int64_t there = kReading.value() + kLate.count();
  const WorkerTime granted = session.GrantLease(now);
  EXPECT_GE(granted.value() - there, lease.length.count() * 98 / 100);
  EXPECT_LE(granted.value() - there, lease.length.count());
}

// A leader that was late itself, and therefore has received nothing from a
// worker, must not release the worker's runs once their lease is over (1,590
// runs in one case). The clock shows that a run must have ended, but not how;
// the worker may still report that, unless it fails to answer a later call.
TEST(SchedulerTest, RunsAreReleasedOnlyAfterAnUnansweredCall) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 1});
  fleet.PassTime(Milliseconds(300));
  ASSERT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"w0"});
  const auto& session = fleet.scheduler->sessions().at(WorkerId("w0"));
  fleet.renews = false;
  fleet.PassTime(fleet.settings.lease.length + Milliseconds(2'000));
  EXPECT_EQ(session.runs().size(), 1U);
  fleet.worker("w0").is_cut = true;
  fleet.renews = true;
  fleet.PassTime(Milliseconds(1'500));
  EXPECT_TRUE(session.runs().empty());
  EXPECT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"w1"});
  EXPECT_EQ(fleet.problem, "");
}

// The loss of a relay, however often it happens, does not count as silence of
// its workers.
TEST(SchedulerTest, ARenewalLostWithItsRelayIsNotCountedAsSilence) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 1});
  fleet.PassTime(Milliseconds(300));
  ASSERT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"w0"});
  const WorkerId worker("w0");
  const auto& session = fleet.scheduler->sessions().at(worker);
  fleet.renews = false;
  fleet.PassTime(fleet.settings.lease.length + Milliseconds(2'000));
  for (int lost = 0; lost < 3; ++lost) {
    fleet.scheduler->HandleRenewalFailure(worker, OrderResult::kRelayLost,
                                          fleet.now);
    fleet.PassTime(Milliseconds(500));
  }
  EXPECT_TRUE(session.is_answering());
  EXPECT_FALSE(session.is_possibly_down());
  EXPECT_FALSE(session.IsExpired(fleet.now));
  EXPECT_EQ(session.runs().size(), 1U);
  EXPECT_EQ(fleet.starts, 1U);
  fleet.scheduler->HandleRenewalFailure(worker, OrderResult::kUnknown,
                                        fleet.now);
  EXPECT_FALSE(session.is_answering());
}

// The relay may have sent the start before it was lost, so the start may still
// be carried out.
TEST(SchedulerTest, AStartLostWithItsRelayIsStoppedBeforeItsTaskGoesElsewhere) {
  FakeFleet fleet(2);
  fleet.PassTime(Milliseconds(500));
  fleet.Submit("job", {.count = 1});
  const auto plan = [&] {
    return fleet.scheduler->Plan(fleet.now,
                                 WallTime(fleet.now.time_since_epoch()));
  };
  const SchedulerOutput first = plan();
  ASSERT_EQ(first.orders.size(), 1U);
  const auto* start = std::get_if<StartOrder>(&first.orders[0]);
  ASSERT_NE(start, nullptr);
  fleet.scheduler->HandleOrderAnswer(
      first.orders[0], {.result = OrderResult::kRelayLost}, fleet.now);
  const SchedulerOutput next = plan();
  ASSERT_EQ(next.orders.size(), 1U);
  const auto* stop = std::get_if<StopOrder>(&next.orders[0]);
  ASSERT_NE(stop, nullptr);
  EXPECT_EQ(stop->run, start->run);
  EXPECT_EQ(stop->worker, start->worker);
  EXPECT_TRUE(fleet.scheduler->sessions().at(start->worker).is_answering());
}

}  // namespace
}  // namespace sumac::scheduler
