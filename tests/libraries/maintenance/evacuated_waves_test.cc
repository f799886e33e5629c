// SPDX-License-Identifier: Apache-2.0
// The order of a maintenance wave while a data centre is evacuated.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "libraries/maintenance/maintenance_planner.h"

namespace sumac::maintenance {
namespace {

const WaveId kWave("1");
// A wave with so much time that it proceeds one instance at a time.
constexpr Milliseconds kLongRamp{600'000};

class EvacuatedWavesTest : public testing::Test {
 protected:
  EvacuatedWavesTest() {
    this->state.Apply({this->wall(), jobs::BeginEpoch{}});
  }
  InstanceFacts& AddInstance(const std::string& name, std::int64_t load = 0) {
    InstanceFacts& instance = this->facts[InstanceName(name)];
    instance = {.worker = WorkerId("w-" + name), .load_permille = load};
    return instance;
  }
  void AddEvacuated(const std::string& name, std::int64_t load = 0) {
    this->AddInstance(name, load).is_evacuated = true;
  }
  // Starts a wave over all instances.
  void StartWave(std::uint32_t most_at_once) {
    jobs::StartWave wave{kWave, {}, kLongRamp, most_at_once};
    for (const auto& [name, instance] : this->facts) {
      wave.instances.push_back(name);
    }
    this->state.Apply({this->wall(), wave});
  }
  // Runs planning passes, carries out their orders at once and returns the
  // instances in the order in which they were ordered down. None of them comes
  // back.
  std::vector<std::string> OrderedDown() {
    std::vector<std::string> names;
    for (int pass = 0; pass < 10; ++pass) {
      this->now += Milliseconds(100);
      const MaintenanceOutput output = this->planner.Plan(
          this->state, this->facts, this->listing, this->wall(), this->now);
      this->Commit(output.commands);
      for (const InstanceOrder& order : output.orders) {
        names.push_back(order.instance.value());
        this->Commit(this->planner.HandleOrderResult(
            this->state, order, InstanceResult::kDone, this->now));
      }
    }
    return names;
  }

 private:
  WallTime wall() const { return WallTime(this->now.time_since_epoch()); }
  void Commit(const std::vector<jobs::Command>& commands) {
    for (const jobs::Command& command : commands) {
      this->state.Apply({this->wall(), command});
    }
  }

 protected:
  jobs::JobsState state{
      [](std::string_view) { return jobs::JobsDeclaration(); }};
  SteadyTime now{Milliseconds(10'000)};
  MaintenancePlanner planner{MaintenanceSettings(), ProcessName("c1"),
                             LeaderEpoch(1), SteadyTime(Milliseconds(1'000))};
  std::map<InstanceName, InstanceFacts> facts;
  InstanceListing listing;
};

TEST_F(EvacuatedWavesTest, TheEvacuatedDataCentreIsMaintainedFirst) {
  this->AddInstance("a");
  this->AddEvacuated("b", 700);
  this->AddEvacuated("c", 300);
  this->StartWave(1);
  EXPECT_EQ(this->OrderedDown(), std::vector<std::string>{"c"});
}

// A ramp of ten minutes would take the instances one by one; those of the
// evacuated data centre cost no capacity.
TEST_F(EvacuatedWavesTest, TheEvacuatedDataCentreDoesNotWaitForTheRamp) {
  for (const char* name : {"a", "b", "c", "d"}) {
    this->AddEvacuated(name);
  }
  this->AddInstance("e");
  this->StartWave(3);
  EXPECT_EQ(this->OrderedDown(), (std::vector<std::string>{"a", "b", "c"}));
}

TEST_F(EvacuatedWavesTest, InstancesElsewhereWaitForTheRamp) {
  this->AddEvacuated("a");
  this->AddEvacuated("b");
  this->AddInstance("c");
  this->AddInstance("d");
  this->StartWave(4);
  EXPECT_EQ(this->OrderedDown(), (std::vector<std::string>{"a", "b"}));
}

// Tasks with a disruption budget may stay in the evacuated data centre for as
// long as there is no room elsewhere.
TEST_F(EvacuatedWavesTest, TasksThatStayDoNotKeepTheWaveWaiting) {
  this->AddEvacuated("a");
  this->facts.at(InstanceName("a")).budgeted_runs = 1;
  this->facts.at(InstanceName("a")).load_permille = 300;
  this->AddInstance("b");
  this->StartWave(1);
  EXPECT_EQ(this->OrderedDown(), std::vector<std::string>{"b"});
}

TEST_F(EvacuatedWavesTest, AnEvacuatedInstanceIsEmptiedFirst) {
  this->AddEvacuated("a");
  this->facts.at(InstanceName("a")).other_runs = 1;
  this->StartWave(1);
  EXPECT_TRUE(this->OrderedDown().empty());
  this->facts.at(InstanceName("a")).other_runs = 0;
  EXPECT_EQ(this->OrderedDown(), std::vector<std::string>{"a"});
}

TEST_F(EvacuatedWavesTest, WithoutAnEvacuationTheLeastLoadedComesFirst) {
  this->AddInstance("a", 700);
  this->AddInstance("b", 300);
  this->facts.at(InstanceName("b")).budgeted_runs = 0;
  this->AddInstance("c", 500);
  this->StartWave(1);
  EXPECT_EQ(this->OrderedDown(), std::vector<std::string>{"b"});
}

}  // namespace
}  // namespace sumac::maintenance
