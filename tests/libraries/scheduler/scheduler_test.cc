// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {
namespace {

using jobs::JobState;

TEST(SchedulerTest, AJobOfTasksIsRunAndDone) {
  FakeFleet fleet(2);
  fleet.Submit("job", {.count = 5});
  fleet.PassTime(Milliseconds(300));
  EXPECT_EQ(fleet.CountRunning("job"), 5U);
  fleet.PassTime(Milliseconds(1'000));
  EXPECT_EQ(fleet.job("job").state, JobState::kDone);
  EXPECT_EQ(fleet.starts, 5U);
  EXPECT_EQ(fleet.problem, "");
}

TEST(SchedulerTest, AStepWaitsForThoseBeforeIt) {
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

TEST(SchedulerTest, AnotherLeaderTakesOverWhatRuns) {
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

// What runs on a worker that is cut off while leadership changes is started
// elsewhere only once its lease is over.
TEST(SchedulerTest, ATaskOnASilentWorkerWaitsForTheLease) {
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

// A partition may refuse connections to a worker that runs on.
TEST(SchedulerTest, ARefusedConnectionDoesNotProveThatNothingRuns) {
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

TEST(SchedulerTest, ADarkInstanceThatIsListedAsDownIsNotWaitedFor) {
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

TEST(SchedulerTest, ACrashIsWaitedOutWhileThePlatformSaysNothing) {
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

// A list that was asked for before a worker was heard of says nothing about
// it.
TEST(SchedulerTest, AnOlderListDoesNotEndANewLife) {
  FakeFleet fleet(1);
  fleet.lists_instances = false;
  fleet.PassTime(Milliseconds(300));
  const SteadyTime asked_at = fleet.now;
  fleet.PassTime(Milliseconds(300));
  fleet.AddWorker("w9", "m9");
  fleet.PassTime(Milliseconds(300));
  fleet.worker("w9").is_cut = true;
  fleet.PassTime(Milliseconds(1'000));
  ASSERT_TRUE(fleet.scheduler->NeedsLifeCheck());
  fleet.scheduler->TakeInstanceLives(
      {{InstanceName("m0"), {true, WorkerId("w0")}},
       {InstanceName("m9"), {false, WorkerId()}}},
      asked_at);
  EXPECT_TRUE(fleet.scheduler->sessions().contains(WorkerId("w9")));
}

TEST(SchedulerTest, ARunThatStandsStillIsGivenUpAndStartedElsewhere) {
  FakeFleet fleet(2);
  fleet.worker("w0").stands_still = true;
  fleet.Submit("job", {.count = 1, .estimate = Milliseconds(800)});
  fleet.PassTime(Milliseconds(1'000));
  EXPECT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"w0"});
  fleet.PassTime(Milliseconds(1'500));
  EXPECT_EQ(fleet.job("job").state, JobState::kDone);
  EXPECT_EQ(fleet.starts, 2U);
  EXPECT_EQ(fleet.problem, "");
  // The worker gets nothing for a while.
  fleet.Submit("next", {.count = 2, .estimate = Milliseconds(800)});
  fleet.PassTime(Milliseconds(300));
  EXPECT_EQ(fleet.WorkersOf("next"), (std::vector<std::string>{"w1", "w1"}));
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

// By the time the stop arrives it may be at work.
TEST(SchedulerTest, ALongRunningTaskIsGivenUpOnlyWithinItsBudget) {
  for (const std::uint32_t budget : {0U, 1U}) {
    FakeFleet fleet(2);
    fleet.work = Milliseconds(60'000);
    fleet.worker("w0").stands_still = true;
    fleet.Submit("job", {.count = 1,
                         .is_long_running = true,
                         .has_disruption_budget = true,
                         .disruption_budget = budget});
    fleet.PassTime(Milliseconds(4'000));
    EXPECT_EQ(fleet.starts, 1U + budget);
  }
}

// Tasks of one queue differ; one that is three times as long as the others is
// no sign of a slow worker.
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
  // Two jobs and perhaps one more after the first quarantine failed there; each
  // was started again on the other worker.
  EXPECT_LE(fleet.starts, 9U);
}

TEST(SchedulerTest, AJobThatFailsEverywhereSpeaksAgainstNoWorker) {
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

TEST(SchedulerTest, ANewLifeOnAnInstanceEndsTheOneBefore) {
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

// Whatever the lives are called, and whatever is committed before the old one
// is forgotten.
TEST(SchedulerTest, TheOldLifeOnAnInstanceNeverReplacesTheNewOne) {
  for (const char* next : {"a-life", "z-life"}) {
    FakeFleet fleet(1);
    fleet.worker("w0").Crash();
    fleet.AddWorker(next, "m0");
    fleet.AddWorker("other", "m1");
    const auto& sessions = fleet.scheduler->sessions();
    EXPECT_TRUE(sessions.contains(WorkerId(next)));
    EXPECT_FALSE(sessions.contains(WorkerId("w0")));
    fleet.ChangeLeader();
    EXPECT_TRUE(fleet.scheduler->sessions().contains(WorkerId(next)));
    EXPECT_FALSE(fleet.scheduler->sessions().contains(WorkerId("w0")));
  }
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
  // More than the rack holds: it is spread.
  fleet.Submit("wide", {.count = 16, .is_gang = true, .wants_same_rack = true});
  fleet.PassTime(Milliseconds(400));
  EXPECT_EQ(fleet.CountRunning("wide"), 16U);
}

// Members that wait for one that was refused would hold their room in vain.
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

// Any member's checkpoint is good for the gang, and all must bring the same.
TEST(SchedulerTest, AGangGoesOnFromOneCheckpoint) {
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

TEST(SchedulerTest, ACordonedInstanceIsLeftWithinTheBudget) {
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
  // Both would have to go at once; the budget lets one.
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

// A stop takes its time, and until it is over the run is listed as running. A
// leader that takes over meanwhile can't tell it from one that goes on, and
// must not take another task of the step away beside it.
TEST(SchedulerTest, TheBudgetCountsStopsOfTheLeaderBefore) {
  FakeFleet fleet(4);
  fleet.work = Milliseconds(60'000);
  fleet.settings.longest_stop = Milliseconds(900);
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
  // Once the first task is at work again, the second leaves its instance.
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
  EXPECT_FALSE(
      fleet.scheduler->MayTakeAway(jobs::TaskId{{JobId("job"), 0, 0}, 0}));
}

TEST(SchedulerTest, APendingJobIsOneOfWhichNothingHasBegun) {
  FakeFleet fleet(1);
  fleet.work = Milliseconds(5'000);
  fleet.Submit("runs", {.count = 8});
  fleet.Submit("waits", {.count = 8});
  fleet.PassTime(Milliseconds(400));
  EXPECT_EQ(fleet.scheduler->CountPending(QueueName("clips")), 1U);
}

// The stop of a run that has ended is answered like any other; only a report
// tells that the run was done.
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
  // What the policy said does not change: nobody is asked about twice.
  EXPECT_EQ(fleet.questions, 1U);
  EXPECT_EQ(fleet.problem, "");
}

TEST(SchedulerTest, ATicketThatEndedIsAskedForAgain) {
  FakeFleet fleet(1);
  fleet.work = Milliseconds(3'000);
  fleet.admitted = {{WorkerId("w0"), "ticket"}};
  // More than fits at once: the second half starts after the ticket's end.
  fleet.Submit("job", {.count = 16}, "advised");
  fleet.PassTime(Milliseconds(600));
  EXPECT_EQ(fleet.CountRunning("job"), 8U);
  fleet.PassTime(Milliseconds(4'000));
  EXPECT_EQ(fleet.CountRunning("job"), 8U);
  EXPECT_EQ(fleet.starts, 16U);
  EXPECT_GE(fleet.questions, 2U);
}

TEST(SchedulerTest, ATicketHoldsAsDeclaredWhereTheAnswerDoesNotSay) {
  FakeFleet fleet(1);
  fleet.work = Milliseconds(5'000);
  fleet.admitted = {{WorkerId("w0"), "ticket"}};
  fleet.answered_validity = std::nullopt;
  fleet.Submit("job", {.count = 1}, "advised");
  fleet.PassTime(Milliseconds(600));
  EXPECT_EQ(fleet.CountRunning("job"), 1U);
  EXPECT_EQ(fleet.questions, 1U);
}

TEST(SchedulerTest, ARefusedTicketIsDroppedAndAskedForAgain) {
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

TEST(SchedulerTest, ASilentPolicyIsAskedAgainAndOthersGoOn) {
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

// Starts a filler beside a run that serves with a tail of 60 ms, of 100 that it
// may have; the filler adds `tail_per_filler` at full speed.
void FillBesideWhatServes(FakeFleet& fleet, std::int64_t tail_per_filler) {
  fleet.work = Milliseconds(600'000);
  fleet.worker("w0").tail = 60;
  fleet.worker("w0").tail_per_filler = tail_per_filler;
  fleet.Submit("serves", {.count = 1,
                          .is_long_running = true,
                          .image = "site",
                          .latency_target = Milliseconds(100)});
  fleet.Submit("fills", {.count = 1, .image = "batch", .is_filler = true});
}

TEST(SchedulerTest, AFillerIsPacedUntilWhatServesKeepsItsTarget) {
  FakeFleet fleet(1);
  FillBesideWhatServes(fleet, 100);
  fleet.PassTime(Milliseconds(400));
  ASSERT_EQ(fleet.worker("w0").running().size(), 2U);
  const jobs::TaskId filler{{JobId("fills"), 0, 0}, 0};
  // Over its target for less than 4 s.
  fleet.PassTime(Milliseconds(3'000));
  EXPECT_LE(fleet.worker("w0").running().at(filler).pace, 40U);
  for (int second = 0; second < 60; ++second) {
    fleet.PassTime(Milliseconds(1'000));
    EXPECT_LE(fleet.worker("w0").running().at(filler).pace, 40U);
  }
  // Alone it may use all again.
  fleet.Commit(jobs::CancelJob{JobId("serves")});
  fleet.PassTime(Milliseconds(1'000));
  EXPECT_EQ(fleet.worker("w0").running().at(filler).pace, 100U);
}

TEST(SchedulerTest, AnAdoptedFillerIsToldItsPaceAnew) {
  FakeFleet fleet(1);
  FillBesideWhatServes(fleet, 300);
  fleet.PassTime(Milliseconds(3'000));
  const jobs::TaskId filler{{JobId("fills"), 0, 0}, 0};
  ASSERT_EQ(fleet.worker("w0").running().at(filler).pace, 0U);
  fleet.ChangeLeader();
  fleet.Commit(jobs::CancelJob{JobId("serves")});
  fleet.PassTime(Milliseconds(2'000));
  EXPECT_EQ(fleet.worker("w0").running().at(filler).pace, 100U);
}

// Two reports may be on their way to the record at once; a worker may forget an
// end only when all before it are on record.
TEST(SchedulerTest, EndsAreAcknowledgedInTheirOrder) {
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
      fleet.scheduler->TakeReport(worker, report(kLater, 1), fleet.now);
  const EndsToRecord second =
      fleet.scheduler->TakeReport(worker, report(kLater + 1, 3), fleet.now);
  EXPECT_EQ(second.after, 1U);
  fleet.scheduler->NoteRecorded(worker, second);
  EXPECT_EQ(fleet.scheduler->NextRenewal(worker, fleet.now)->acknowledged_ends,
            0U);
  fleet.scheduler->NoteRecorded(worker, first);
  EXPECT_EQ(fleet.scheduler->NextRenewal(worker, fleet.now)->acknowledged_ends,
            3U);
}

// A worker was silent for so long that the leader asked for the record that it
// is forgotten. The group was slow, and the record came only after the worker
// had answered again and had been given tasks: run-ordered at 37.4292 s,
// run-gone "its life is over" at 37.6291 s, and run-ordered elsewhere at
// 37.6292 s while the first run went on until 38.842 s.
TEST(SchedulerTest, AWorkerThatIsBackKeepsItsTasksWhenARecordToForgetItIsLate) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(6'000);
  fleet.forget_delay = Milliseconds(3'000);
  fleet.PassTime(Milliseconds(500));
  fleet.worker("w0").is_cut = true;
  // Beyond the lease and the time after which a silent worker is forgotten.
  fleet.PassTime(fleet.settings.forget_after + Milliseconds(1'000));
  fleet.worker("w0").is_cut = false;
  // It answers, and the next renewal, which goes out at once, gives it a lease.
  for (int renewal = 0; renewal < 2; ++renewal) {
    const auto order = fleet.scheduler->NextRenewal(WorkerId("w0"), fleet.now);
    ASSERT_TRUE(order.has_value());
    const auto report = fleet.worker("w0").Renew(*order, fleet.now);
    ASSERT_TRUE(report.has_value());
    fleet.scheduler->TakeReport(WorkerId("w0"), *report, fleet.now);
  }
  // Fills both workers; a third has room for what is taken from the first.
  fleet.Submit("job", {.count = 16});
  fleet.PassTime(Milliseconds(500));
  ASSERT_EQ(fleet.worker("w0").running().size(), 8U);
  fleet.AddWorker("w2", "m2");
  fleet.PassTime(Milliseconds(20'000));
  EXPECT_EQ(fleet.problem, "");
  EXPECT_EQ(fleet.job("job").state, JobState::kDone);
}

TEST(SchedulerTest, AReportThatWasOvertakenChangesNothing) {
  FakeFleet fleet(1);
  fleet.work = Milliseconds(5'000);
  fleet.Submit("job", {.count = 1});
  fleet.PassTime(Milliseconds(300));
  const RenewReport old{.clock = WorkerTime(1)};
  fleet.scheduler->TakeReport(WorkerId("w0"), old, fleet.now);
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

}  // namespace
}  // namespace sumac::scheduler
