// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include "tests/libraries/fleet/fleet_harness.h"

namespace sumac::fleet {
namespace {

JobSpec MakeJob(const std::string& id, bool repeatable = true) {
  return JobSpec{.id = JobId(id),
                 .pool = PoolName("batch"),
                 .millicores = 4'000,
                 .repeatable = repeatable};
}

class JobsTest : public testing::Test, protected FleetHarness {
 protected:
  void SetUp() override {
    this->Declare({.pools = {MakePool("batch", 3, 1)},
                   .teams = {Team{TeamName("small"), 4'000, 0}},
                   .job_lease = Milliseconds(2'000)});
    this->AddWorker("w1", "batch");
    this->AddWorker("w2", "batch");
    this->AddWorker("w3", "batch", 16'000, 8);
    this->PassTime(Milliseconds(1'000));
  }

  // Submits a job and lets it be placed; the worker's name.
  std::string Place(const JobSpec& spec) {
    EXPECT_TRUE(this->Submit(spec).is_ok());
    this->PassTime(Milliseconds(200));
    EXPECT_EQ(this->JobOf(spec.id.value()).state, JobState::kPlaced);
    return this->JobOf(spec.id.value()).worker.value();
  }
};

TEST_F(JobsTest, AJobIsPlacedRunsAndFinishes) {
  const std::string worker = this->Place(MakeJob("j"));
  this->ReportTask(worker, "j", TaskState::kRunning);
  this->PassTime(Milliseconds(200));
  EXPECT_EQ(this->JobOf("j").state, JobState::kRunning);
  this->ReportTask(worker, "j", TaskState::kFinished);
  this->PassTime(Milliseconds(200));
  EXPECT_EQ(this->JobOf("j").state, JobState::kFinished);
  EXPECT_TRUE(OrdersFor(this->state(), InstanceName(worker)).tasks.empty());
  EXPECT_EQ(this->CheckIndexes(), "");
}

TEST_F(JobsTest, PlacedAgainOnlyAfterLeaseAndMarginAndUnderAHigherToken) {
  const std::string worker = this->Place(MakeJob("j"));
  this->Silence(worker);
  this->PassTime(Milliseconds(2'700));
  EXPECT_EQ(this->JobOf("j").worker.value(), worker);
  this->PassTime(Milliseconds(1'000));
  EXPECT_EQ(this->JobOf("j").token, FencingToken(2));
  EXPECT_NE(this->JobOf("j").worker.value(), worker);
}

TEST_F(JobsTest, ANewLeaderAssumesEveryLeaseWasJustRenewed) {
  const std::string worker = this->Place(MakeJob("j"));
  this->Silence(worker);
  this->PassTime(Milliseconds(2'500));
  this->ChangeLeader();
  this->PassTime(Milliseconds(2'500));
  EXPECT_EQ(this->JobOf("j").token, FencingToken(1));
  this->PassTime(Milliseconds(1'200));
  EXPECT_EQ(this->JobOf("j").token, FencingToken(2));
}

TEST_F(JobsTest, ANonRepeatableJobIsNeverPlacedTwiceAutomatically) {
  const std::string worker = this->Place(MakeJob("j", false));
  this->Silence(worker);
  this->PassTime(Milliseconds(10'000));
  EXPECT_EQ(this->JobOf("j").state, JobState::kUnknown);
  EXPECT_EQ(this->JobOf("j").token, FencingToken(1));
}

TEST_F(JobsTest, ReportsUnderAnOldTokenChangeNothing) {
  const std::string worker = this->Place(MakeJob("j"));
  this->Silence(worker);
  this->PassTime(Milliseconds(4'000));
  ASSERT_EQ(this->JobOf("j").token, FencingToken(2));
  const JobState before = this->JobOf("j").state;
  this->Apply(RecordTasks{
      InstanceName(worker),
      {TaskReport{JobId("j"), FencingToken(1), TaskState::kFinished}}});
  EXPECT_EQ(this->JobOf("j").state, before);
}

TEST_F(JobsTest, AJobThatFitsNoWorkerIsRefusedWithTheNearestMiss) {
  JobSpec spec = MakeJob("j");
  spec.accelerators = 9;
  const Answer answer = this->Submit(spec);
  EXPECT_EQ(answer.code, ResultCode::kNeverRunnable);
  EXPECT_NE(
      answer.message.find("needs 9 accelerators, the nearest worker has 8"),
      std::string::npos)
      << answer.message;
  EXPECT_EQ(this->state().FindJob(JobId("j")), nullptr);
}

TEST_F(JobsTest, AQueuedJobIsRefusedWhenTheLastWorkerThatCouldRunItGoes) {
  ASSERT_TRUE(this->Operate(InstanceRequest::kDrain, "w3").is_ok());
  JobSpec spec = MakeJob("j");
  spec.accelerators = 8;
  ASSERT_TRUE(this->Submit(spec).is_ok());
  ASSERT_TRUE(this->Submit(MakeJob("small")).is_ok());
  this->PassTime(Milliseconds(500));
  EXPECT_EQ(this->JobOf("j").state, JobState::kQueued);
  this->Silence("w3");
  this->Apply(RecordInstanceEvents{
      {{InstanceName("w3"), Incarnation(1), InstanceEvent::kLeave}}});
  EXPECT_EQ(this->JobOf("j").state, JobState::kRefused);
  EXPECT_NE(this->JobOf("j").detail.find("needs 8 accelerators"),
            std::string::npos);
  EXPECT_NE(this->JobOf("small").state, JobState::kRefused);
}

TEST_F(JobsTest, UrgentGoesFirstAndTheTightestWorkerIsTaken) {
  for (int number = 0; number < 12; ++number) {
    ASSERT_TRUE(this->Submit(MakeJob("fill" + std::to_string(number))).is_ok());
  }
  this->PassTime(Milliseconds(1'000));
  ASSERT_TRUE(this->Submit(MakeJob("background")).is_ok());
  JobSpec urgent = MakeJob("urgent");
  urgent.priority = JobPriority::kUrgent;
  ASSERT_TRUE(this->Submit(urgent).is_ok());
  this->PassTime(Milliseconds(300));
  ASSERT_EQ(this->JobOf("urgent").state, JobState::kQueued);
  const std::string worker = this->JobOf("fill0").worker.value();
  this->ReportTask(worker, "fill0", TaskState::kFinished);
  this->PassTime(Milliseconds(300));
  EXPECT_EQ(this->JobOf("urgent").state, JobState::kPlaced);
  EXPECT_EQ(this->JobOf("background").state, JobState::kQueued);
}

TEST_F(JobsTest, TeamsStayWithinTheirQuota) {
  JobSpec first = MakeJob("first");
  first.team = TeamName("small");
  JobSpec second = MakeJob("second");
  second.team = TeamName("small");
  ASSERT_TRUE(this->Submit(first).is_ok());
  ASSERT_TRUE(this->Submit(second).is_ok());
  this->PassTime(Milliseconds(500));
  EXPECT_EQ(this->JobOf("first").state, JobState::kPlaced);
  EXPECT_EQ(this->JobOf("second").state, JobState::kQueued);
}

TEST_F(JobsTest,
       AWorkerThatFailsEverythingIsQuarantinedAndItsJobsAreNotBlamed) {
  // All the jobs fit only the worker with accelerators.
  for (int number = 0; number < 3; ++number) {
    JobSpec spec = MakeJob("j" + std::to_string(number));
    spec.accelerators = 1;
    const std::string worker = this->Place(spec);
    ASSERT_EQ(worker, "w3");
    this->ReportTask("w3", spec.id.value(), TaskState::kFailed);
    this->PassTime(Milliseconds(100));
  }
  EXPECT_EQ(this->StateOf("w3"), InstanceState::kQuarantined);
  for (int number = 0; number < 3; ++number) {
    const Job& job = this->JobOf("j" + std::to_string(number));
    EXPECT_EQ(job.state, JobState::kQueued);
    EXPECT_TRUE(job.failed_on.empty());
  }
}

TEST_F(JobsTest, AJobThatFailsEverywhereIsStoppedAndNoWorkerIsBlamed) {
  ASSERT_TRUE(this->Submit(MakeJob("bad")).is_ok());
  for (int number = 0; number < 3; ++number) {
    this->PassTime(Milliseconds(300));
    const std::string worker = this->JobOf("bad").worker.value();
    this->ReportTask(worker, "bad", TaskState::kFailed);
    this->PassTime(Milliseconds(100));
  }
  EXPECT_EQ(this->JobOf("bad").state, JobState::kFailed);
  EXPECT_EQ(this->AvailableIn("batch"), 3U);
}

TEST_F(JobsTest, CancelsStopQueuedAndRunningJobs) {
  const std::string worker = this->Place(MakeJob("j"));
  this->ReportTask(worker, "j", TaskState::kRunning);
  this->PassTime(Milliseconds(200));
  const auto cancel = [&](const char* id) {
    return this->Apply(CancelJob{{"test", OperatorRequestId(id)}, JobId("j")});
  };
  EXPECT_TRUE(cancel("c1").is_ok());
  EXPECT_EQ(this->JobOf("j").state, JobState::kCancelling);
  EXPECT_TRUE(OrdersFor(this->state(), InstanceName(worker)).tasks.empty());
  this->ReportTask(worker, "j", TaskState::kStopped);
  this->PassTime(Milliseconds(200));
  EXPECT_EQ(this->JobOf("j").state, JobState::kCancelled);
  EXPECT_EQ(cancel("c2").code, ResultCode::kWrongState);
}

TEST_F(JobsTest, DrainingWorkersGetNoJobsAndKeepTheirsUntilTheyEnd) {
  const std::string worker = this->Place(MakeJob("j"));
  this->ReportTask(worker, "j", TaskState::kRunning);
  ASSERT_TRUE(this->Operate(InstanceRequest::kReboot, worker).is_ok());
  this->PassTime(Milliseconds(6'000));
  EXPECT_EQ(this->StateOf(worker), InstanceState::kDraining);
  for (int number = 0; number < 8; ++number) {
    ASSERT_TRUE(this->Submit(MakeJob("k" + std::to_string(number))).is_ok());
  }
  this->PassTime(Milliseconds(1'000));
  EXPECT_EQ(this->state().JobsOn(InstanceName(worker)).size(), 1U);
  this->ReportTask(worker, "j", TaskState::kFinished);
  this->PassTime(Milliseconds(500));
  EXPECT_EQ(this->StateOf(worker), InstanceState::kDrained);
}

TEST_F(JobsTest, AnOutdatedPlacementIsIgnored) {
  ASSERT_TRUE(this->Submit(MakeJob("j")).is_ok());
  ASSERT_TRUE(this->Operate(InstanceRequest::kDrain, "w1").is_ok());
  this->Apply(PlaceJobs{{Placement{JobId("j"), InstanceName("w1"), "stale"}}});
  EXPECT_EQ(this->JobOf("j").state, JobState::kQueued);
}

}  // namespace
}  // namespace sumac::fleet
