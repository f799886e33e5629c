// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {
namespace {

constexpr const char* kFirst = "dc-a";
constexpr const char* kSecond = "dc-b";

// A fleet with one worker in each of two data centres.
class EvacuationTest : public testing::Test {
 protected:
  EvacuationTest() : fleet(0) {
    this->fleet.work = Milliseconds(20'000);
    this->fleet.AddWorker("a", "m-a", "r1", "previews", kFirst);
    this->fleet.AddWorker("b", "m-b", "r2", "previews", kSecond);
    this->fleet.PassTime(Milliseconds(100));
  }
  std::size_t CountRunsOn(const std::string& job, const std::string& worker) {
    std::size_t count = 0;
    for (const std::string& name : this->fleet.WorkersOf(job)) {
      count += static_cast<std::size_t>(name == worker);
    }
    return count;
  }

  // Submits a job of one task and waits until it runs on the worker of the
  // second data centre.
  void StartInSecond(const jobs::StepSpec& step) {
    this->fleet.scheduler->SetCordoned({InstanceName("m-a")});
    this->fleet.Submit("j", step);
    this->fleet.PassTime(Milliseconds(300));
    ASSERT_EQ(this->CountRunsOn("j", "b"), 1U);
    this->fleet.scheduler->SetCordoned({});
  }
  void EvacuateFirst() {
    this->fleet.ChangeDataCentre(kFirst, jobs::DataCentreUse::kEvacuated);
  }
  // Expects that nothing ever began on the worker, and that nothing was ordered
  // there while its data centre was evacuated.
  void ExpectNothingBegan(const std::string& worker) {
    EXPECT_TRUE(this->fleet.worker(worker).begun_runs().empty());
    EXPECT_EQ(this->fleet.problem, "");
  }

  FakeFleet fleet;
};

TEST_F(EvacuationTest, NothingStartsInAnEvacuatedDataCentre) {
  this->fleet.ChangeDataCentre(kFirst, jobs::DataCentreUse::kEvacuated);
  this->fleet.Submit("j", {.count = 16});
  this->fleet.PassTime(Milliseconds(2'000));
  EXPECT_EQ(this->CountRunsOn("j", "a"), 0U);
  EXPECT_EQ(this->CountRunsOn("j", "b"), 8U);
  this->fleet.ChangeDataCentre(kFirst, jobs::DataCentreUse::kInUse);
  this->fleet.PassTime(Milliseconds(2'000));
  EXPECT_EQ(this->CountRunsOn("j", "a"), 8U);
  EXPECT_EQ(this->fleet.problem, "");
}

TEST_F(EvacuationTest, WhatRunsInAnEvacuatedDataCentreContinues) {
  this->fleet.Submit("j", {.count = 16});
  this->fleet.PassTime(Milliseconds(500));
  this->fleet.ChangeDataCentre(kFirst, jobs::DataCentreUse::kEvacuated);
  this->fleet.PassTime(Milliseconds(5'000));
  EXPECT_EQ(this->CountRunsOn("j", "a"), 8U);
  EXPECT_EQ(this->fleet.problem, "");
}

TEST_F(EvacuationTest, ANewLeaderStartsNothingInAnEvacuatedDataCentre) {
  this->fleet.ChangeDataCentre(kFirst, jobs::DataCentreUse::kEvacuated);
  this->fleet.PassTime(Milliseconds(100));
  this->fleet.ChangeLeader();
  this->fleet.Submit("j", {.count = 16});
  this->fleet.PassTime(Milliseconds(5'000));
  EXPECT_EQ(this->CountRunsOn("j", "a"), 0U);
  EXPECT_EQ(this->CountRunsOn("j", "b"), 8U);
}

TEST_F(EvacuationTest, AWorkerThatAppearsDuringAnEvacuationGetsNoStart) {
  this->fleet.ChangeDataCentre(kFirst, jobs::DataCentreUse::kEvacuated);
  this->fleet.AddWorker("c", "m-c", "r1", "previews", kFirst);
  this->fleet.PassTime(Milliseconds(100));
  this->fleet.Submit("j", {.count = 24});
  this->fleet.PassTime(Milliseconds(2'000));
  EXPECT_EQ(this->fleet.CountRunning("j"), 8U);
  this->ExpectNothingBegan("c");
}

// The first pass of a leader finds jobs that waited for it.
TEST_F(EvacuationTest, TheFirstPassOfALeaderFollowsTheEvacuation) {
  this->EvacuateFirst();
  this->fleet.Submit("j", {.count = 16});
  this->fleet.ChangeLeader();
  this->fleet.PassTime(Milliseconds(5'000));
  EXPECT_EQ(this->fleet.CountRunning("j"), 8U);
  this->ExpectNothingBegan("a");
}

// One member of a gang has begun and the other was refused when the evacuation
// comes.
TEST_F(EvacuationTest, AGangThatIsHalfPlacedContinuesInWhatIsLeft) {
  this->fleet.worker("a").start_refusal = OrderResult::kNoRoom;
  this->fleet.Submit("j", {.count = 2, .is_gang = true, .most_per_worker = 1});
  this->fleet.PassTime(Milliseconds(30));
  this->EvacuateFirst();
  this->fleet.worker("a").start_refusal.reset();
  this->fleet.PassTime(Milliseconds(3'000));
  EXPECT_EQ(this->fleet.CountRunning("j"), 0U);
  this->fleet.AddWorker("c", "m-c", "r2", "previews", kSecond);
  this->fleet.PassTime(Milliseconds(3'000));
  EXPECT_EQ(this->fleet.WorkersOf("j"), (std::vector<std::string>{"b", "c"}));
  this->ExpectNothingBegan("a");
}

TEST_F(EvacuationTest, AStalledRunIsNotTriedAgainInAnEvacuatedDataCentre) {
  this->fleet.worker("b").stalls_runs = true;
  this->StartInSecond({.count = 1, .estimate = Milliseconds(800)});
  this->EvacuateFirst();
  this->fleet.PassTime(Milliseconds(5'000));
  this->ExpectNothingBegan("a");
  // Without the evacuation it is.
  this->fleet.ChangeDataCentre(kFirst, jobs::DataCentreUse::kInUse);
  this->fleet.PassTime(Milliseconds(5'000));
  EXPECT_EQ(this->CountRunsOn("j", "a"), 1U);
}

// The placement policy is asked before the evacuation and answers after it.
TEST_F(EvacuationTest, ATicketFromBeforeTheEvacuationStartsNothing) {
  this->fleet.admitted = {{WorkerId("a"), "ticket"}};
  this->fleet.worker("a").tickets = {"ticket"};
  this->fleet.answered_validity = Milliseconds(60'000);
  this->fleet.Submit("j", {.count = 1}, "advised");
  this->fleet.PassTime(Milliseconds(10));
  ASSERT_EQ(this->fleet.questions, 1U);
  this->EvacuateFirst();
  this->fleet.PassTime(Milliseconds(3'000));
  this->ExpectNothingBegan("a");
  this->fleet.ChangeDataCentre(kFirst, jobs::DataCentreUse::kInUse);
  this->fleet.PassTime(Milliseconds(3'000));
  EXPECT_EQ(this->CountRunsOn("j", "a"), 1U);
}

TEST_F(EvacuationTest, ATaskIsNotRestoredInAnEvacuatedDataCentre) {
  this->StartInSecond({.count = 1, .is_checkpointing = true});
  this->fleet.worker("b").checkpoint = "half";
  this->fleet.PassTime(Milliseconds(500));
  this->EvacuateFirst();
  this->fleet.RestartUnderName("b");
  this->fleet.PassTime(Milliseconds(3'000));
  EXPECT_EQ(this->fleet.CountRunning("j"), 1U);
  this->ExpectNothingBegan("a");
}

TEST_F(EvacuationTest, ALongRunningTaskIsNotStartedAgainThere) {
  this->fleet.long_running_work = Milliseconds(500);
  this->StartInSecond({.count = 1, .is_long_running = true});
  this->EvacuateFirst();
  const std::uint64_t before = this->fleet.starts;
  this->fleet.PassTime(Milliseconds(5'000));
  EXPECT_GT(this->fleet.starts, before);
  this->ExpectNothingBegan("a");
}

TEST_F(EvacuationTest, AJobThatFallsDueStartsInWhatIsLeft) {
  const WallTime now(this->fleet.now.time_since_epoch());
  this->fleet.Commit(jobs::SubmitJob{
      .job = JobId("j"),
      .queue = QueueName("clips"),
      .spec = {.text = "text",
               .steps = {{.count = 12, .need = {.millicores = 1'000}}},
               .repeats = 1,
               .first_due = now + Milliseconds(1'000),
               .interval = Milliseconds(500)}});
  this->fleet.PassTime(Milliseconds(500));
  this->EvacuateFirst();
  this->fleet.PassTime(Milliseconds(2'000));
  EXPECT_EQ(this->fleet.CountRunning("j"), 8U);
  this->ExpectNothingBegan("a");
}

// Starts that were ordered before the evacuation get no answer. They are
// settled, and not sent there a second time.
TEST_F(EvacuationTest, AStartWithoutAnAnswerIsNotSentThereAgain) {
  this->fleet.late_permille = 1'000;
  this->fleet.late_by = Milliseconds(2'000);
  this->fleet.Submit("j", {.count = 16});
  this->fleet.PassTime(Milliseconds(20));
  this->EvacuateFirst();
  this->fleet.late_permille = 0;
  this->fleet.PassTime(Milliseconds(12'000));
  EXPECT_EQ(this->fleet.CountRunning("j"), 8U);
  EXPECT_EQ(this->CountRunsOn("j", "a"), 0U);
  EXPECT_EQ(this->fleet.problem, "");
}

}  // namespace
}  // namespace sumac::scheduler
