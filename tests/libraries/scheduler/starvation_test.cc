// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/starvation.h"

#include <gtest/gtest.h>

#include <string>

#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {
namespace {

const std::string kLabel("b");
// By the platform's rules, the time for which a job may have nothing running
// while there is capacity for it.
constexpr Milliseconds kMaxWait{3'000};

// A fleet with one worker that some jobs can't do without.
class StarvationTest : public testing::Test {
 protected:
  StarvationTest() : fleet(3) {
    this->fleet.work = Milliseconds(300);
    this->fleet.AddWorker("w-b", "m-b", kLabel);
    this->fleet.PassTime(Milliseconds(300));
  }
  void SubmitLabelled(const std::string& job) {
    this->fleet.Submit(
        job, {.need = {.millicores = 1'000}, .required_label = kLabel});
  }
  bool IsQuarantined() const {
    return this->fleet.scheduler->IsWorkerQuarantined(WorkerId("w-b"),
                                                      this->fleet.now);
  }
  // Lets jobs that can never be done fail on the worker until it is quarantined
  // for the longest time.
  void Poison() {
    this->fleet.fails = [](const StartOrder& order) {
      return order.task.step.job.value().starts_with("poison");
    };
    int runs = 0;
    this->fleet.work = Milliseconds(20);
    for (int job = 0; job < 8; ++job) {
      this->SubmitLabelled("poison" + std::to_string(++runs));
      this->fleet.PassTime(Milliseconds(60));
    }
    ASSERT_TRUE(this->IsQuarantined());
  }

  FakeFleet fleet;
};

// Guards against a sound job that has nothing running for eight seconds: jobs
// that can never be done have quarantined the only worker that it can use.
TEST_F(StarvationTest, AQuarantineGivesWayToAJobWithoutAnotherPlace) {
  this->Poison();
  this->SubmitLabelled("sound");
  this->fleet.PassTime(kMaxWait);
  EXPECT_FALSE(this->fleet.job("sound").is_active());
  EXPECT_EQ(this->fleet.problem, "");
}

// Guards against a quarantine that is of no use: a job that has other places
// goes there.
TEST_F(StarvationTest, AQuarantineGivesNoWayToAJobWithAnotherPlace) {
  this->Poison();
  this->fleet.work = Milliseconds(60'000);
  this->fleet.Submit("sound", {.count = 6, .need = {.millicores = 4'000}});
  this->fleet.PassTime(Milliseconds(100));
  // The other workers are full now, by tasks that end by themselves.
  this->fleet.Submit("more", {.need = {.millicores = 4'000}});
  this->fleet.PassTime(Milliseconds(1'500));
  ASSERT_TRUE(this->IsQuarantined());
  EXPECT_TRUE(this->fleet.WorkersOf("more").empty());
}

TEST_F(StarvationTest, ACordonedWorkerIsNeededOnlyByAJobWithoutAnotherPlace) {
  this->fleet.scheduler->SetCordoned({InstanceName("m-b")});
  this->fleet.Submit("anywhere", {.need = {.millicores = 1'000}});
  this->fleet.PassTime(kMaxWait);
  EXPECT_TRUE(this->fleet.scheduler->NeededInstances().empty());
  this->SubmitLabelled("only-there");
  this->fleet.PassTime(Starvation::kPatience / 2);
  EXPECT_TRUE(this->fleet.scheduler->NeededInstances().empty());
  this->fleet.PassTime(Starvation::kPatience);
  EXPECT_EQ(this->fleet.scheduler->NeededInstances(),
            std::set<InstanceName>{InstanceName("m-b")});
  // Nothing is needed any more once the job has run.
  this->fleet.scheduler->SetCordoned({});
  this->fleet.PassTime(Milliseconds(1'000));
  EXPECT_TRUE(this->fleet.scheduler->NeededInstances().empty());
  EXPECT_FALSE(this->fleet.job("only-there").is_active());
}

// Guards against planned work that gives way to a job for which there is a
// place as soon as ordinary tasks end.
TEST_F(StarvationTest, RoomThatComesByItselfIsAnotherPlace) {
  this->fleet.work = Milliseconds(60'000);
  this->fleet.scheduler->SetCordoned({InstanceName("m-b")});
  this->fleet.Submit(
      "full",
      {.count = 3, .need = {.millicores = 8'000}, .most_per_worker = 1});
  this->fleet.PassTime(Milliseconds(200));
  this->fleet.Submit("waits", {.need = {.millicores = 1'000}});
  this->fleet.PassTime(kMaxWait);
  EXPECT_TRUE(this->fleet.scheduler->NeededInstances().empty());
}

TEST_F(StarvationTest, RoomThatLongRunningTasksTakeIsNoOtherPlace) {
  this->fleet.work = Milliseconds(60'000);
  this->fleet.scheduler->SetCordoned({InstanceName("m-b")});
  this->fleet.Submit("full", {.count = 3,
                              .need = {.millicores = 8'000},
                              .most_per_worker = 1,
                              .is_long_running = true});
  this->fleet.PassTime(Milliseconds(200));
  this->fleet.Submit("waits", {.need = {.millicores = 1'000}});
  this->fleet.PassTime(kMaxWait);
  EXPECT_EQ(this->fleet.scheduler->NeededInstances(),
            std::set<InstanceName>{InstanceName("m-b")});
}

// Guards against a long-running task that is interrupted for as long as its
// instance is maintained, although it could move a moment later.
TEST_F(StarvationTest, ATaskIsInterruptedOnlyIfNoOtherPlaceWillCome) {
  for (const bool will_come : {true, false}) {
    FakeFleet busy(2);
    busy.work = Milliseconds(60'000);
    busy.long_running_work = Milliseconds(60'000);
    busy.AddWorker("w-b", "m-b", kLabel);
    busy.PassTime(Milliseconds(300));
    busy.Submit("full", {.count = 2,
                         .need = {.millicores = 8'000},
                         .required_label = "r1",
                         .is_long_running = !will_come});
    busy.PassTime(Milliseconds(300));
    busy.Submit("lasting", {.need = {.millicores = 1'000},
                            .is_long_running = true,
                            .has_disruption_budget = true,
                            .disruption_budget = 1});
    busy.PassTime(Milliseconds(1'500));
    ASSERT_EQ(busy.WorkersOf("lasting"), std::vector<std::string>{"w-b"});
    busy.scheduler->SetCordoned({InstanceName("m-b")}, {InstanceName("m-b")});
    busy.PassTime(Milliseconds(1'500));
    EXPECT_EQ(busy.CountRunning("lasting"), will_come ? 1U : 0U);
  }
}

}  // namespace
}  // namespace sumac::scheduler
