// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include <string>

#include "tests/libraries/scheduler/fake_fleet.h"
#include "tests/libraries/scheduler/run_ledger.h"

// Tests that there is at most one run of a task at a time, and none after its
// recorded end, for each way in which a leader may come to assume that no run
// is in progress.
namespace sumac::scheduler {
namespace {

constexpr Milliseconds kStep{10};
// Longer than any stop and any commit in these tests.
constexpr Milliseconds kLongWork{60'000};

// Lets time pass and updates the ledger at each step.
void PassTime(FakeFleet& fleet, RunLedger& ledger, Milliseconds time) {
  for (Milliseconds passed{0}; passed < time; passed += kStep) {
    fleet.PassTime(kStep);
    ledger.Observe(fleet);
  }
}

// Lets time pass until this many runs have begun.
void AwaitStarts(FakeFleet& fleet, RunLedger& ledger, std::uint64_t starts) {
  constexpr int kMostSteps = 200;
  for (int step = 0; step < kMostSteps && fleet.starts < starts; ++step) {
    PassTime(fleet, ledger, kStep);
  }
  ASSERT_EQ(fleet.starts, starts);
}

// Runs a job of one task. Its first run fails immediately, and the next one is
// started on another worker before the end of the first is acknowledged to its
// worker. Then the leader changes.
void ChangeLeaderAfterARetry(FakeFleet& fleet,
                             RunLedger& ledger,
                             Milliseconds second_work) {
  const RunNumber first(1);
  PassTime(fleet, ledger, Milliseconds(100));
  fleet.work = Milliseconds(50);
  fleet.fails = [first](const StartOrder& order) { return order.run == first; };
  fleet.Submit("job", {.count = 1});
  AwaitStarts(fleet, ledger, 1);
  fleet.work = second_work;
  AwaitStarts(fleet, ledger, 2);
  fleet.ChangeLeader();
}

// A worker reports a failed run to a new leader, which begins to commit the
// end. Another worker reports the next run, which the previous leader started.
// If the leader rejects it as superfluous, the task counts as having no run
// once the end is committed, and is started again while that run continues.
TEST(RunUniquenessTest, ARetryOfThePreviousLeaderContinuesAlone) {
  FakeFleet fleet(3);
  RunLedger ledger;
  for (const char* worker : {"w0", "w1", "w2"}) {
    fleet.worker(worker).stop_time = Milliseconds(400);
  }
  ChangeLeaderAfterARetry(fleet, ledger, Milliseconds(2'000));
  fleet.commit_time = Milliseconds(50);
  PassTime(fleet, ledger, Milliseconds(5'000));
  EXPECT_EQ(ledger.problem, "");
  EXPECT_EQ(fleet.job("job").state, jobs::JobState::kDone);
}

// The same where the worker of the failed run also has the next one: one report
// lists the end and the run.
TEST(RunUniquenessTest, ARetryOnTheSameWorkerContinuesAlone) {
  FakeFleet fleet(1);
  RunLedger ledger;
  fleet.worker("w0").stop_time = Milliseconds(400);
  ChangeLeaderAfterARetry(fleet, ledger, Milliseconds(2'000));
  fleet.AddWorker("w1", "m1");
  fleet.commit_time = Milliseconds(50);
  PassTime(fleet, ledger, Milliseconds(5'000));
  EXPECT_EQ(ledger.problem, "");
  EXPECT_EQ(fleet.job("job").state, jobs::JobState::kDone);
}

// Two ends of one task may be in two commits in progress: a failed run,
// reported to a new leader first, and a later run that ended as done. The
// commit of the failure must not start the task again while its end as done is
// known but not committed.
TEST(RunUniquenessTest, ATaskWaitsForTheCommitOfAllItsEnds) {
  FakeFleet fleet(3);
  RunLedger ledger;
  ChangeLeaderAfterARetry(fleet, ledger, Milliseconds(300));
  // The first batch is being committed while the second run ends.
  fleet.commit_time = Milliseconds(1'000);
  const std::string second = fleet.WorkersOf("job").front();
  fleet.worker(second).is_cut = true;
  fleet.worker(second).is_cut_with_resets = true;
  PassTime(fleet, ledger, Milliseconds(400));
  fleet.worker(second).is_cut = false;
  PassTime(fleet, ledger, Milliseconds(4'000));
  EXPECT_EQ(ledger.problem, "");
  EXPECT_EQ(fleet.starts, 2U);
  EXPECT_EQ(fleet.job("job").state, jobs::JobState::kDone);
}

// A queue moves to another service while a run of one of its jobs continues on
// a worker of the previous service. A new leader that has not received an
// answer from that worker yet must not consider only the workers of the new
// service, and start the task there.
TEST(RunUniquenessTest, TasksOfAMovedQueueMayStillRunAtThePreviousService) {
  FakeFleet fleet(1);
  RunLedger ledger;
  fleet.AddWorker("t0", "m9", "r1", "thumbs");
  fleet.work = kLongWork;
  PassTime(fleet, ledger, Milliseconds(100));
  fleet.Submit("job", {.count = 1});
  AwaitStarts(fleet, ledger, 1);
  fleet.MoveClipsTo("thumbs");
  fleet.worker("w0").is_cut = true;
  fleet.ChangeLeader();
  PassTime(fleet, ledger, fleet.settings.lease.length - Milliseconds(1'000));
  EXPECT_EQ(ledger.problem, "");
  EXPECT_EQ(fleet.starts, 1U);
  // The task waits no longer than the worker's lease lasts.
  PassTime(fleet, ledger, Milliseconds(2'000));
  EXPECT_EQ(ledger.problem, "");
  EXPECT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"t0"});
}

// The removal of a silent worker's record takes time to commit. If the worker
// answers before and gets runs, these must not be considered ended by the
// commit.
TEST(RunUniquenessTest, ALateRemovalEndsNoRunningTask) {
  FakeFleet fleet(2);
  RunLedger ledger;
  fleet.announce_interval = Milliseconds(500);
  fleet.renews_at_once = true;
  PassTime(fleet, ledger, Milliseconds(300));
  fleet.worker("w0").is_cut = true;
  fleet.worker("w0").is_cut_with_resets = true;
  fleet.commit_time = Milliseconds(1'000);
  PassTime(fleet, ledger, fleet.settings.removal_delay + Milliseconds(100));
  ASSERT_NE(fleet.state.FindWorker(WorkerId("w0")), nullptr);
  fleet.worker("w0").is_cut = false;
  fleet.work = kLongWork;
  PassTime(fleet, ledger, Milliseconds(300));
  fleet.Submit("job", {.count = 2, .most_per_worker = 1});
  AwaitStarts(fleet, ledger, 2);
  fleet.AddWorker("w2", "m2");
  PassTime(fleet, ledger, Milliseconds(2'000));
  EXPECT_EQ(ledger.problem, "");
  EXPECT_EQ(fleet.starts, 2U);
}

// The removal of a silent worker's record takes so long to commit that it is
// submitted twice. After the first commit the worker announces itself again and
// gets runs; the second must not end its session, which would start the tasks
// elsewhere at once.
TEST(RunUniquenessTest, ASecondRemovalEndsNoRunningTask) {
  FakeFleet fleet(2);
  RunLedger ledger;
  fleet.settings.removal_delay = Milliseconds(500);
  fleet.ChangeLeader();
  fleet.announce_interval = Milliseconds(100);
  PassTime(fleet, ledger, Milliseconds(300));
  fleet.worker("w0").is_cut = true;
  fleet.worker("w0").is_cut_with_resets = true;
  fleet.commit_time = Milliseconds(700);
  while (fleet.scheduler->sessions().contains(WorkerId("w0"))) {
    PassTime(fleet, ledger, kStep);
  }
  PassTime(fleet, ledger, Milliseconds(600));
  fleet.worker("w0").is_cut = false;
  fleet.work = kLongWork;
  fleet.Submit("job", {.count = 2, .most_per_worker = 1});
  AwaitStarts(fleet, ledger, 2);
  fleet.AddWorker("w2", "m2");
  PassTime(fleet, ledger, Milliseconds(2'000));
  EXPECT_EQ(ledger.problem, "");
  EXPECT_EQ(fleet.starts, 2U);
}

// A start may reach its worker although its connection broke. The run is done
// before the start is sent again and refused as old: the refusal shows that the
// run has existed, not that it is still to begin.
TEST(RunUniquenessTest, AStartRefusedAsOldMayHaveBeenDone) {
  FakeFleet fleet(2);
  RunLedger ledger;
  PassTime(fleet, ledger, Milliseconds(100));
  fleet.work = Milliseconds(30);
  fleet.resent_permille = 1'000;
  fleet.late_by = Milliseconds(1);
  fleet.resend_after = Milliseconds(100);
  fleet.trusts_second_copies = true;
  fleet.lost_report_permille = 1'000;
  fleet.Submit("job", {.count = 1});
  PassTime(fleet, ledger, Milliseconds(200));
  fleet.resent_permille = 0;
  PassTime(fleet, ledger, Milliseconds(1'000));
  fleet.lost_report_permille = 0;
  PassTime(fleet, ledger, Milliseconds(2'000));
  EXPECT_EQ(ledger.problem, "");
  EXPECT_EQ(fleet.starts, 1U);
  EXPECT_EQ(fleet.job("job").state, jobs::JobState::kDone);
}

// The same with a refusal for lack of room: the copy that was sent first is
// carried out later, when there is room.
TEST(RunUniquenessTest, AStartSentAgainAndRefusedMayStillBegin) {
  FakeFleet fleet(2);
  RunLedger ledger;
  PassTime(fleet, ledger, Milliseconds(100));
  fleet.work = kLongWork;
  fleet.resent_permille = 1'000;
  fleet.late_by = Milliseconds(300);
  fleet.worker("w0").start_refusal = OrderResult::kNoRoom;
  fleet.worker("w1").start_refusal = OrderResult::kNoRoom;
  fleet.Submit("job", {.count = 1});
  PassTime(fleet, ledger, Milliseconds(40));
  fleet.resent_permille = 0;
  fleet.worker("w0").start_refusal.reset();
  fleet.worker("w1").start_refusal.reset();
  PassTime(fleet, ledger, Milliseconds(3'000));
  EXPECT_EQ(ledger.problem, "");
  EXPECT_EQ(fleet.CountRunning("job"), 1U);
}

// A report may show a run that its leader had given up, here because the leader
// relied on the refusal of a second copy. The run must be stopped, and until it
// has ended its task must not start elsewhere.
TEST(RunUniquenessTest, ARunThatIsBeingStoppedBlocksItsTask) {
  FakeFleet fleet(1);
  RunLedger ledger;
  PassTime(fleet, ledger, Milliseconds(100));
  fleet.work = kLongWork;
  fleet.worker("w0").stop_time = Milliseconds(400);
  fleet.worker("w0").start_refusal = OrderResult::kNoRoom;
  fleet.trusts_second_copies = true;
  fleet.resent_permille = 1'000;
  fleet.late_by = Milliseconds(300);
  fleet.Submit("job", {.count = 1});
  PassTime(fleet, ledger, Milliseconds(40));
  fleet.resent_permille = 0;
  PassTime(fleet, ledger, Milliseconds(240));
  fleet.worker("w0").start_refusal.reset();
  PassTime(fleet, ledger, Milliseconds(60));
  ASSERT_EQ(fleet.CountRunning("job"), 1U);
  fleet.AddWorker("w1", "m1");
  PassTime(fleet, ledger, Milliseconds(1'500));
  EXPECT_EQ(ledger.problem, "");
  EXPECT_EQ(fleet.starts, 2U);
}

// A report lists a limited number of ends. A new leader must not treat runs
// whose ends were left out as runs that never existed.
TEST(RunUniquenessTest, AFullListOfEndsMayBeIncomplete) {
  constexpr std::uint32_t kTasks = 520;
  FakeFleet fleet(1);
  RunLedger ledger;
  PassTime(fleet, ledger, Milliseconds(100));
  fleet.work = Milliseconds(300);
  fleet.Submit("job",
               {.count = kTasks, .need = {.millicores = 1, .memory_mb = 1}});
  AwaitStarts(fleet, ledger, kTasks);
  fleet.worker("w0").is_cut = true;
  fleet.worker("w0").is_cut_with_resets = true;
  PassTime(fleet, ledger, Milliseconds(500));
  fleet.ChangeLeader();
  fleet.worker("w0").is_cut = false;
  PassTime(fleet, ledger, Milliseconds(3'000));
  EXPECT_EQ(ledger.problem, "");
  EXPECT_EQ(fleet.starts, kTasks);
  EXPECT_EQ(fleet.job("job").state, jobs::JobState::kDone);
}

// A worker restarts under its name: immediately, while a leader changes, or
// after its lease. The tasks that were running there are started once more,
// also there, and the ends of the new incarnation are acknowledged by its own
// numbers.
class RestartTest : public testing::TestWithParam<Milliseconds> {};

TEST_P(RestartTest, LostTasksRunOnceMore) {
  FakeFleet fleet(1);
  RunLedger ledger;
  PassTime(fleet, ledger, Milliseconds(100));
  fleet.Submit("first", {.count = 3});
  PassTime(fleet, ledger, Milliseconds(2'000));
  ASSERT_EQ(fleet.job("first").state, jobs::JobState::kDone);
  fleet.work = Milliseconds(1'000);
  fleet.Submit("second", {.count = 3});
  AwaitStarts(fleet, ledger, 6);
  fleet.worker("w0").Crash();
  PassTime(fleet, ledger, GetParam());
  const std::string next = fleet.RestartUnderName("w0").description.id.value();
  PassTime(fleet, ledger, Milliseconds(5'000));
  EXPECT_EQ(ledger.problem, "");
  EXPECT_EQ(fleet.starts, 9U);
  EXPECT_EQ(fleet.job("second").state, jobs::JobState::kDone);
  EXPECT_EQ(fleet.worker(next).acknowledged_ends(), 3U);
}

INSTANTIATE_TEST_SUITE_P(All,
                         RestartTest,
                         testing::Values(Milliseconds(0),
                                         Milliseconds(1'000),
                                         Milliseconds(9'000)));

TEST(RunUniquenessTest, ARestartDuringAChangeOfLeaderIsNoticed) {
  FakeFleet fleet(2);
  RunLedger ledger;
  PassTime(fleet, ledger, Milliseconds(100));
  fleet.Submit("job", {.count = 4});
  AwaitStarts(fleet, ledger, 4);
  fleet.ChangeLeader();
  fleet.RestartUnderName("w0");
  PassTime(fleet, ledger, Milliseconds(100));
  fleet.AnnounceAgain("w0");
  PassTime(fleet, ledger, Milliseconds(9'000));
  EXPECT_EQ(ledger.problem, "");
  EXPECT_EQ(fleet.job("job").state, jobs::JobState::kDone);
  EXPECT_EQ(fleet.state.workers().size(), 2U);
}

}  // namespace
}  // namespace sumac::scheduler
