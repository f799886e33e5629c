// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include <string>

#include "tests/libraries/scheduler/fake_fleet.h"
#include "tests/libraries/scheduler/run_ledger.h"

// At most one run of a task at a time, and none after its noted end, for each
// way by which a leader may come to believe that no run is under way.
namespace sumac::scheduler {
namespace {

constexpr Milliseconds kStep{10};
// Beyond the time of any worker's stop and of any commit in these tests.
constexpr Milliseconds kLongWork{60'000};

// Lets time pass and keeps the ledger at each step.
void PassTime(FakeFleet& fleet, RunLedger& ledger, Milliseconds time) {
  for (Milliseconds passed{0}; passed < time; passed += kStep) {
    fleet.PassTime(kStep);
    ledger.Observe(fleet);
  }
}

// Lets time pass until so many runs have begun.
void AwaitStarts(FakeFleet& fleet, RunLedger& ledger, std::uint64_t starts) {
  constexpr int kMostSteps = 200;
  for (int step = 0; step < kMostSteps && fleet.starts < starts; ++step) {
    PassTime(fleet, ledger, kStep);
  }
  ASSERT_EQ(fleet.starts, starts);
}

// A job of one task. Its first run fails at once, and the next follows on
// another worker before the first worker was told that its end is on record.
// Then the leader changes.
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

// A worker lists a failed run to a new leader, which begins to put the end on
// record. Another worker lists the run with which the leader before went on,
// and it was taken for one too many: its task counted as without a run as soon
// as the record was there, and the next start came while the run went on.
TEST(RunUniquenessTest, ARetryOfTheLeaderBeforeGoesOnAlone) {
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
TEST(RunUniquenessTest, ARetryOnTheSameWorkerGoesOnAlone) {
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

// Two ends of one task may be on their way to the record in two commits: a
// failed run, listed to a new leader first, and a later one that was done. Once
// the failure was on record the task was started again, though its end as done
// was known and on its way.
TEST(RunUniquenessTest, ATaskWaitsForTheRecordOfAllItsEnds) {
  FakeFleet fleet(3);
  RunLedger ledger;
  ChangeLeaderAfterARetry(fleet, ledger, Milliseconds(300));
  // The first lot is being committed while the second run ends.
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

// A queue goes to another service while a run of one of its jobs goes on at a
// worker of the service before. A new leader that has not heard of that worker
// yet asked only the new service's workers, and started the task there.
TEST(RunUniquenessTest, AMovedQueuesTasksMayStillRunAtItsServiceBefore) {
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
  // No longer than its lease holds.
  PassTime(fleet, ledger, Milliseconds(2'000));
  EXPECT_EQ(ledger.problem, "");
  EXPECT_EQ(fleet.WorkersOf("job"), std::vector<std::string>{"t0"});
}

// A worker that was silent for long is forgotten, but the command takes its
// time to be on record. If the worker answers in between it gets runs, and
// these were taken for ended once it was forgotten.
TEST(RunUniquenessTest, ALateForgettingEndsNothingThatRuns) {
  FakeFleet fleet(2);
  RunLedger ledger;
  fleet.announce_interval = Milliseconds(500);
  fleet.renews_at_once = true;
  PassTime(fleet, ledger, Milliseconds(300));
  fleet.worker("w0").is_cut = true;
  fleet.worker("w0").is_cut_with_resets = true;
  fleet.commit_time = Milliseconds(1'000);
  PassTime(fleet, ledger, fleet.settings.forget_after + Milliseconds(100));
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

// The record that a silent worker is forgotten takes so long that it is asked
// for twice. After the first the worker announces itself anew and gets runs,
// and the second ends its session: "run-gone job0.0.0.0#2097155@w0 its life is
// over" and the next start at once, in a random history.
TEST(RunUniquenessTest, ASecondForgettingEndsNothingThatRuns) {
  FakeFleet fleet(2);
  RunLedger ledger;
  fleet.settings.forget_after = Milliseconds(500);
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

// A start may reach its worker although its connection broke. The run was done
// before the start came again and was refused as old: that says that the run
// has been there, not that it is still to come.
TEST(RunUniquenessTest, AStartRefusedAsOldMayHaveBeenDone) {
  FakeFleet fleet(2);
  RunLedger ledger;
  PassTime(fleet, ledger, Milliseconds(100));
  fleet.work = Milliseconds(30);
  fleet.resent_permille = 1'000;
  fleet.late_by = Milliseconds(1);
  fleet.resend_after = Milliseconds(100);
  fleet.believes_second_copies = true;
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

// The same with a refusal for want of room: the copy that was sent first is
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

// A run may show up that its leader had given up, here since it believed the
// refusal of a second copy. It has to go, and until it has gone its task must
// not start elsewhere.
TEST(RunUniquenessTest, ARunThatHasToGoHoldsItsTask) {
  FakeFleet fleet(1);
  RunLedger ledger;
  PassTime(fleet, ledger, Milliseconds(100));
  fleet.work = kLongWork;
  fleet.worker("w0").stop_time = Milliseconds(400);
  fleet.worker("w0").start_refusal = OrderResult::kNoRoom;
  fleet.believes_second_copies = true;
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

// A report lists only so many ends. A new leader took the ends that were left
// out for runs that had never been.
TEST(RunUniquenessTest, AFullListOfEndsIsNotAllOfThem) {
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

// A worker starts again under its name, at once, while a leader changes, or
// after its lease. What ran there is started once more, also there; the new
// life's ends are acknowledged by its own numbers.
class RestartTest : public testing::TestWithParam<Milliseconds> {};

TEST_P(RestartTest, WhatRanThereRunsOnceMore) {
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
  const std::string next = fleet.StartAgain("w0").description.id.value();
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
  fleet.StartAgain("w0");
  PassTime(fleet, ledger, Milliseconds(100));
  fleet.AnnounceAgain("w0");
  PassTime(fleet, ledger, Milliseconds(9'000));
  EXPECT_EQ(ledger.problem, "");
  EXPECT_EQ(fleet.job("job").state, jobs::JobState::kDone);
  EXPECT_EQ(fleet.state.workers().size(), 2U);
}

}  // namespace
}  // namespace sumac::scheduler
