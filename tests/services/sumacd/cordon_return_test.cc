// SPDX-License-Identifier: Apache-2.0
// Guards against an instance that stays cordoned for good, so that an accepted
// job that has no other place is never started, because its maintenance waits
// for something that need not come: for a task that may not be away or has no
// place either, or for a platform that does not take the order.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "libraries/base/text.h"
#include "tests/services/sumacd/planned_fleet.h"

namespace sumac::daemon {
namespace {

using maintenance::InstanceOrder;
using maintenance::InstanceResult;

const WaveId kWave("1");
// The only instance with the label that the jobs require.
const InstanceName kInstance("m-b");
const std::string kLabel("b");
// By the platform's rules, the time for which a job may have nothing running
// while there is capacity for it.
constexpr Milliseconds kMaxWait{3'000};

// A fleet with one instance that some jobs can't do without, which is due for
// maintenance.
class OnlyPlaceFleet : public PlannedFleet {
 public:
  explicit OnlyPlaceFleet(std::uint64_t seed = 1) : PlannedFleet(3, seed) {
    this->fleet.long_running_work = Milliseconds(3'600'000);
    this->fleet.work = Milliseconds(500);
    this->fleet.AddWorker("w-b", kInstance.value(), kLabel);
    this->observe = [this] { this->Observe(); };
    this->PassTime(Milliseconds(500));
  }

  void SubmitLasting(std::uint32_t count, std::uint32_t budget) {
    this->lasting = count;
    this->budget = budget;
    this->fleet.Submit("lasting", {.count = count,
                                   .need = {.millicores = 1'000},
                                   .required_label = kLabel,
                                   .is_long_running = true,
                                   .has_disruption_budget = true,
                                   .disruption_budget = budget});
    this->PassTime(Milliseconds(1'500));
    ASSERT_EQ(this->fleet.CountRunning("lasting"), count);
  }
  // Submits a job that has no other place, and waits for it from now on.
  void SubmitShort() {
    const std::string job = StrCat("short", ++this->short_jobs);
    this->waits_since[job] = this->fleet.now;
    this->fleet.Submit(
        job, {.need = {.millicores = 1'000}, .required_label = kLabel});
  }
  void StartWave() {
    this->fleet.Commit(jobs::StartWave{
        kWave, {kInstance, InstanceName("m0")}, Milliseconds(26'000), 1});
  }
  bool IsWaveDone() const {
    return this->fleet.state.waves().at(kWave).is_done();
  }
  // Plays a wave with a short job every three seconds.
  void PlayWave(Milliseconds time) {
    this->StartWave();
    for (Milliseconds passed{0}; passed < time; passed += kMaxWait) {
      this->SubmitShort();
      this->PassTime(kMaxWait);
    }
  }

  // The longest time for which a short job waited although its instance was up
  // and no order about it could be carried out.
  Milliseconds longest_wait{0};
  // The number of starts on the instance while an order about it could be
  // carried out.
  int starts_in_doubt = 0;
  // The smallest number of lasting tasks that ran while the instance was up.
  std::uint32_t fewest_lasting = 1'000;
  std::size_t runs_before = 0;

 private:
  // Returns true if the job runs or is over.
  bool HasStarted(const std::string& id) const {
    const jobs::Job* job = this->fleet.state.FindJob(JobId(id));
    return job == nullptr || !job->is_active() ||
           this->fleet.CountRunning(id) > 0;
  }
  void ObserveWaits(bool may_start) {
    std::erase_if(this->waits_since, [this](const auto& wait) {
      return this->HasStarted(wait.first);
    });
    for (auto& [job, since] : this->waits_since) {
      if (!may_start) {
        since = this->fleet.now;
      }
      this->longest_wait =
          std::max(this->longest_wait, this->fleet.now - since);
    }
  }
  void Observe() {
    const scheduler::FakeWorker* worker = this->FindWorkerOf(kInstance);
    this->ObserveWaits(worker != nullptr && !this->MayOrderBeOpen(kInstance));
    const std::size_t runs = worker == nullptr ? 0 : worker->running().size();
    if (this->MayOrderBeOpen(kInstance) && runs > this->runs_before) {
      ++this->starts_in_doubt;
    }
    this->runs_before = runs;
    if (worker != nullptr && this->lasting > 0) {
      this->fewest_lasting = std::min(
          this->fewest_lasting,
          static_cast<std::uint32_t>(this->fleet.CountRunning("lasting")));
    }
  }

  std::uint32_t lasting = 0;
  std::uint32_t budget = 0;
  int short_jobs = 0;
  // The short jobs that wait for a start that is safe, and since when.
  std::map<std::string, SteadyTime> waits_since;
};

PlannedFleet::Reaction Done(const InstanceOrder& /*order*/) {
  return {.result = InstanceResult::kDone, .delay = Milliseconds(20)};
}

TEST(CordonReturnTest, ALastingTaskThatMayBeAwayWaitsForTheMaintenance) {
  OnlyPlaceFleet fleet;
  fleet.react = Done;
  fleet.SubmitLasting(1, 1);
  fleet.PlayWave(Milliseconds(18'000));
  EXPECT_TRUE(fleet.IsWaveDone());
  EXPECT_EQ(fleet.ended_tasks, 0U);
  EXPECT_LE(fleet.longest_wait, kMaxWait);
  EXPECT_EQ(fleet.fleet.CountRunning("lasting"), 1U);
  EXPECT_EQ(fleet.fleet.problem, "");
}

TEST(CordonReturnTest, AnInstanceWhoseTaskMayNeverBeAwayServesMeanwhile) {
  OnlyPlaceFleet fleet;
  fleet.react = Done;
  fleet.SubmitLasting(1, 0);
  fleet.PlayWave(Milliseconds(40'000));
  EXPECT_FALSE(fleet.IsWaveDone());
  EXPECT_EQ(fleet.fewest_lasting, 1U);
  EXPECT_LE(fleet.longest_wait, kMaxWait);
  EXPECT_FALSE(fleet.cordon_returns.empty());
  // The other instance doesn't wait for it.
  EXPECT_EQ(fleet.fleet.state.waves()
                .at(kWave)
                .instances.at(InstanceName("m0"))
                .state,
            jobs::MaintenanceState::kOver);
}

TEST(CordonReturnTest, SeveralTasksBeyondTheirBudgetStayTogether) {
  for (const std::uint32_t count : {2U, 3U}) {
    OnlyPlaceFleet fleet;
    fleet.react = Done;
    fleet.SubmitLasting(count, 1);
    fleet.PlayWave(Milliseconds(40'000));
    // While the second one has to stay, the first one is not stopped for
    // nothing.
    EXPECT_EQ(fleet.fewest_lasting, count);
    EXPECT_LE(fleet.longest_wait, kMaxWait);
  }
}

TEST(CordonReturnTest, SeveralTasksWithinTheirBudgetWaitTogether) {
  OnlyPlaceFleet fleet;
  fleet.react = Done;
  fleet.SubmitLasting(3, 3);
  fleet.PlayWave(Milliseconds(18'000));
  EXPECT_TRUE(fleet.IsWaveDone());
  EXPECT_EQ(fleet.ended_tasks, 0U);
  EXPECT_EQ(fleet.fleet.CountRunning("lasting"), 3U);
}

TEST(CordonReturnTest, AnInstanceWhoseOrderIsRefusedServesMeanwhile) {
  for (const Milliseconds delay : {Milliseconds(20), Milliseconds(1'400)}) {
    OnlyPlaceFleet fleet;
    bool is_refusing = true;
    fleet.react = [&](const InstanceOrder& order) {
      return is_refusing
                 ? PlannedFleet::Reaction{InstanceResult::kRefused, delay}
                 : Done(order);
    };
    fleet.PlayWave(Milliseconds(30'000));
    EXPECT_LE(fleet.longest_wait, kMaxWait);
    EXPECT_FALSE(fleet.IsWaveDone());
    // The wave goes on once the platform takes orders again.
    is_refusing = false;
    fleet.PassTime(Milliseconds(24'000));
    EXPECT_TRUE(fleet.IsWaveDone());
    EXPECT_EQ(fleet.ended_tasks, 0U);
  }
}

TEST(CordonReturnTest, AnInstanceWhoseOrderGetsNoAnswerServesOnceItIsSafe) {
  OnlyPlaceFleet fleet;
  fleet.react = [](const InstanceOrder& /*order*/) {
    return PlannedFleet::Reaction{InstanceResult::kUnknown,
                                  Milliseconds(1'500)};
  };
  fleet.PlayWave(Milliseconds(60'000));
  EXPECT_LE(fleet.longest_wait, kMaxWait);
  EXPECT_EQ(fleet.starts_in_doubt, 0);
  EXPECT_FALSE(fleet.cordon_returns.empty());
}

TEST(CordonReturnTest, ANewLeaderGivesAnInheritedCordonBack) {
  OnlyPlaceFleet fleet;
  fleet.react = Done;
  fleet.SubmitLasting(1, 0);
  fleet.StartWave();
  fleet.fleet.Commit(jobs::RecordMaintenance{
      kWave, kInstance, jobs::MaintenanceState::kOrdered, WorkerId("w-b")});
  fleet.ChangeLeader();
  fleet.SubmitShort();
  // The order of the leader before may be carried out for this long.
  fleet.PassTime(maintenance::MaintenanceSettings().max_order_delay + kMaxWait);
  EXPECT_FALSE(fleet.fleet.state.FindJob(JobId("short1"))->is_active());
  EXPECT_EQ(fleet.fewest_lasting, 1U);
  EXPECT_EQ(fleet.ended_tasks, 0U);
}

// Whatever runs on the only instance that jobs can use, however the platform
// answers and whenever the leader changes: no job waits longer than the rules
// allow while its start is safe, and nothing is started or ended that may not
// be.
RC_GTEST_PROP(CordonReturnProperty, NoCordonOutlastsWhatItIsFor, ()) {
  const auto seed = *rc::gen::noShrink(rc::gen::resize(
      rc::kNominalSize, rc::gen::inRange<std::uint64_t>(1, 1'000'000)));
  std::mt19937_64 random(seed);
  const auto below = [&](std::uint32_t end) {
    return std::uniform_int_distribution<std::uint32_t>(0, end - 1)(random);
  };
  OnlyPlaceFleet fleet(seed);
  std::uint32_t mood = below(5);
  fleet.react = [&](const InstanceOrder& order) -> PlannedFleet::Reaction {
    switch (mood) {
      case 0:
        return {InstanceResult::kRefused, Milliseconds(below(1'500))};
      case 1:
        return {InstanceResult::kUnknown, Milliseconds(1'500)};
      case 2:
        return {InstanceResult::kBusy, Milliseconds(below(300))};
      default:
        return Done(order);
    }
  };
  const std::uint32_t count = below(4);
  const std::uint32_t budget = below(4);
  if (count > 0) {
    fleet.SubmitLasting(count, budget);
  }
  fleet.StartWave();
  for (int turn = 0; turn < 14; ++turn) {
    fleet.SubmitShort();
    fleet.PassTime(Milliseconds(2'000 + below(2'000)));
    mood = below(3) == 0 ? below(5) : mood;
    if (below(8) == 0) {
      fleet.ChangeLeader();
    }
  }
  RC_ASSERT(fleet.fleet.problem == "");
  RC_ASSERT(fleet.starts_in_doubt == 0);
  RC_ASSERT(fleet.ended_tasks == 0U);
  RC_ASSERT(fleet.longest_wait <= kMaxWait);
  RC_ASSERT(count == 0 || fleet.fewest_lasting + budget >= count);
}

}  // namespace
}  // namespace sumac::daemon
