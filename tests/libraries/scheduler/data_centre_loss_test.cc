// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/text.h"
#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {
namespace {

constexpr std::size_t kWorkersEach = 5;
const std::vector<std::string> kDataCentres = {"dc-a", "dc-b", "dc-c"};

// A fleet with five workers in each of three data centres, of which one may be
// lost.
class DataCentreLossTest : public testing::Test {
 protected:
  DataCentreLossTest() { this->Begin(this->fleet, 1); }

  static void Begin(FakeFleet& fleet, std::uint32_t tolerated) {
    fleet.settings.tolerated_data_centres = tolerated;
    fleet.settings.data_centres = {DataCentre("dc-a"), DataCentre("dc-b"),
                                   DataCentre("dc-c")};
    for (std::size_t number = 0; number < kWorkersEach; ++number) {
      for (const std::string& name : kDataCentres) {
        const std::string id = StrCat(name, "-", number);
        fleet.AddWorker(id, StrCat("m-", id), "r1", "previews", name);
      }
    }
    fleet.ChangeLeader();
    fleet.PassTime(Milliseconds(500));
  }
  // Kills all workers of a data centre. Calls to them get no answer at all if
  // `is_silent`.
  static void Lose(FakeFleet& fleet, const std::string& name, bool is_silent) {
    for (std::size_t number = 0; number < kWorkersEach; ++number) {
      FakeWorker& worker = fleet.worker(StrCat(name, "-", number));
      worker.Crash();
      worker.is_up = false;
      worker.is_cut = is_silent;
    }
  }
  // Returns how many tasks of the job run in each data centre.
  static std::map<std::string, std::size_t> CountByDataCentre(
      FakeFleet& fleet,
      const std::string& job) {
    std::map<std::string, std::size_t> counts;
    for (const std::string& id : fleet.WorkersOf(job)) {
      ++counts[fleet.worker(id).description.data_centre.value()];
    }
    return counts;
  }
  // Returns how many tasks the worst loss of one data centre leaves running.
  static std::size_t CountLeft(FakeFleet& fleet, const std::string& job) {
    std::size_t most = 0;
    for (const auto& [name, count] : CountByDataCentre(fleet, job)) {
      most = std::max(most, count);
    }
    return fleet.CountRunning(job) - most;
  }
  static bool HasRecordedCrash(FakeFleet& fleet,
                               const std::string& job,
                               std::uint32_t tasks) {
    for (std::uint32_t index = 0; index < tasks; ++index) {
      if (fleet.job(job).FindCrashes({{JobId(job), 0, 0}, index}) != nullptr) {
        return true;
      }
    }
    return false;
  }

  FakeFleet fleet{0};
};

TEST_F(DataCentreLossTest, CopiesThatLastSurviveALossOfAnyDataCentre) {
  FakeFleet packed{0};
  Begin(packed, 0);
  for (FakeFleet* each : {&this->fleet, &packed}) {
    each->long_running_work = Milliseconds(3'600'000);
    each->Submit("copies", {.count = 6, .is_long_running = true});
    each->PassTime(Milliseconds(500));
    EXPECT_EQ(each->CountRunning("copies"), 6U);
  }
  EXPECT_EQ(CountLeft(this->fleet, "copies"), 4U);
  EXPECT_EQ(CountLeft(packed, "copies"), 0U);
}

TEST_F(DataCentreLossTest, TasksThatTakeAMomentStayPacked) {
  this->fleet.work = Milliseconds(5'000);
  this->fleet.Submit("short", {.count = 6});
  this->fleet.PassTime(Milliseconds(500));
  EXPECT_EQ(CountByDataCentre(this->fleet, "short").size(), 1U);
}

// The loss of one member ends all of a gang, so a gang that is spread over all
// data centres is ended by the loss of any.
TEST_F(DataCentreLossTest, AGangIsKeptInOneDataCentre) {
  this->fleet.work = Milliseconds(60'000);
  // Leaves less room on the workers of two data centres, which are therefore
  // chosen first.
  this->fleet.Submit("before", {.count = 6, .is_long_running = true});
  this->fleet.PassTime(Milliseconds(500));
  this->fleet.Submit("gang", {.count = 12, .is_gang = true});
  this->fleet.PassTime(Milliseconds(500));
  EXPECT_EQ(this->fleet.CountRunning("gang"), 12U);
  EXPECT_EQ(CountByDataCentre(this->fleet, "gang").size(), 1U);
}

TEST_F(DataCentreLossTest, NoTaskIsBlamedForTheLossOfItsDataCentre) {
  for (const bool is_silent : {false, true}) {
    FakeFleet lossy{0};
    Begin(lossy, 1);
    lossy.work = Milliseconds(3'000);
    lossy.Submit("job", {.count = 120});
    lossy.PassTime(Milliseconds(300));
    ASSERT_EQ(lossy.CountRunning("job"), 120U);
    Lose(lossy, "dc-b", is_silent);
    lossy.PassTime(Milliseconds(1'500));
    EXPECT_FALSE(HasRecordedCrash(lossy, "job", 120));
    lossy.PassTime(Milliseconds(8'000));
    EXPECT_EQ(lossy.job("job").state, jobs::JobState::kDone);
    EXPECT_EQ(lossy.problem, "");
  }
}

// The workers of a lost data centre may come back before any call to them has
// failed.
TEST_F(DataCentreLossTest, NoTaskIsBlamedWhenAllWorkersRestartAtOnce) {
  this->fleet.work = Milliseconds(3'000);
  this->fleet.Submit("job", {.count = 120});
  this->fleet.PassTime(Milliseconds(300));
  Lose(this->fleet, "dc-b", false);
  this->fleet.PassTime(Milliseconds(400));
  for (std::size_t number = 0; number < kWorkersEach; ++number) {
    this->fleet.RestartUnderName(StrCat("dc-b-", number));
  }
  this->fleet.PassTime(Milliseconds(10'000));
  EXPECT_FALSE(HasRecordedCrash(this->fleet, "job", 120));
  EXPECT_EQ(this->fleet.job("job").state, jobs::JobState::kDone);
  EXPECT_EQ(this->fleet.problem, "");
}

// Without a common cause nothing changes.
TEST_F(DataCentreLossTest, ATaskThatCrashesItsWorkersIsStillGivenUp) {
  this->fleet.crashes = [](const StartOrder& order) {
    return order.task.step.job == JobId("bad") && order.task.index == 0;
  };
  this->fleet.Submit("bad", {.count = 2});
  this->fleet.PassTime(Milliseconds(10'000));
  EXPECT_EQ(this->fleet.CountCrashes({{JobId("bad"), 0, 0}, 0}), 2U);
  EXPECT_EQ(this->fleet.job("bad").state, jobs::JobState::kFailed);
  EXPECT_EQ(this->fleet.problem, "");
}

// A new leader kept all older jobs of a service waiting until each call to a
// worker that no longer existed had timed out.
TEST_F(DataCentreLossTest, ANewLeaderDoesNotWaitForWorkersListedAsDown) {
  for (const std::uint32_t tolerated : {1U, 0U}) {
    FakeFleet lossy{0};
    Begin(lossy, tolerated);
    lossy.work = Milliseconds(20'000);
    lossy.Submit("job", {.count = 60});
    lossy.PassTime(Milliseconds(300));
    const std::uint64_t starts = lossy.starts;
    std::size_t lost = 0;
    for (const auto& [name, count] : CountByDataCentre(lossy, "job")) {
      lost = name == "dc-b" ? count : lost;
    }
    ASSERT_GT(lost, 0U);
    Lose(lossy, "dc-b", true);
    lossy.ChangeLeader();
    lossy.PassTime(Milliseconds(200));
    // A call to a silent worker takes 600 ms to fail.
    EXPECT_EQ(lossy.starts - starts, tolerated > 0 ? lost : 0U);
    lossy.PassTime(Milliseconds(3'000));
    EXPECT_EQ(lossy.CountRunning("job"), 60U);
    EXPECT_EQ(lossy.problem, "");
  }
}

// The call to each worker of a lost data centre had to time out before its
// tasks started elsewhere, although the list that the first failure led to
// named them all.
TEST_F(DataCentreLossTest, TheFirstFailedCallEndsAllWorkersListedAsDown) {
  for (const std::uint32_t tolerated : {1U, 0U}) {
    FakeFleet lossy{0};
    Begin(lossy, tolerated);
    lossy.work = Milliseconds(20'000);
    lossy.Submit("job", {.count = 60});
    lossy.PassTime(Milliseconds(1'000));
    const std::uint64_t starts = lossy.starts;
    const std::size_t lost = CountByDataCentre(lossy, "job")["dc-b"];
    ASSERT_GT(lost, 0U);
    Lose(lossy, "dc-b", true);
    lossy.worker("dc-b-0").is_cut_with_resets = true;
    lossy.PassTime(Milliseconds(300));
    // A call to a silent worker takes 600 ms to fail. Tasks that are blamed for
    // the end of the worker that failed first wait for a trial.
    EXPECT_EQ(lossy.starts - starts, tolerated > 0 ? lost : 0U);
    lossy.PassTime(Milliseconds(3'000));
    EXPECT_EQ(lossy.CountRunning("job"), 60U);
    EXPECT_EQ(lossy.problem, "");
  }
}

TEST_F(DataCentreLossTest, AnInstanceThatIsMovingMayStillRunItsWorker) {
  this->fleet.lists_instances = false;
  this->fleet.worker("dc-b-0").is_cut = true;
  this->fleet.ChangeLeader();
  this->fleet.PassTime(Milliseconds(100));
  ASSERT_TRUE(this->fleet.scheduler->NeedsInstanceCheck());
  std::map<InstanceName, InstanceStatus> statuses;
  for (const auto& [id, worker] : this->fleet.all_workers()) {
    statuses[worker.description.instance] = {.is_up = true};
  }
  statuses[InstanceName("m-dc-b-0")] = {.is_up = false};
  this->fleet.scheduler->HandleInstanceStatus(statuses, this->fleet.now);
  EXPECT_TRUE(this->fleet.scheduler->sessions().contains(WorkerId("dc-b-0")));
  statuses[InstanceName("m-dc-b-0")] = {.is_up = false, .is_down = true};
  this->fleet.scheduler->HandleInstanceStatus(statuses, this->fleet.now);
  EXPECT_FALSE(this->fleet.scheduler->sessions().contains(WorkerId("dc-b-0")));
}

TEST_F(DataCentreLossTest, AWorkerOfAnUnknownDataCentreIsUsed) {
  for (std::size_t number = 0; number < kWorkersEach; ++number) {
    const std::string id = StrCat("x-", number);
    this->fleet.AddWorker(id, StrCat("m-", id), "r1", "previews", "dc-x");
  }
  this->fleet.PassTime(Milliseconds(300));
  this->fleet.work = Milliseconds(60'000);
  this->fleet.Submit("job", {.count = 160});
  this->fleet.PassTime(Milliseconds(500));
  EXPECT_EQ(CountByDataCentre(this->fleet, "job")["dc-x"], 40U);
  EXPECT_EQ(this->fleet.problem, "");
}

}  // namespace
}  // namespace sumac::scheduler
