// SPDX-License-Identifier: Apache-2.0
// What the capacity planner does while a data centre is evacuated and after it
// was returned to use.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "libraries/maintenance/capacity_planner.h"

namespace sumac::maintenance {
namespace {

const ServiceName kBusy("busy");
const ServiceName kQuiet("quiet");
const ServiceName kOff("off");
const std::vector<DataCentre> kDataCentres = {
    DataCentre("dc-a"), DataCentre("dc-b"), DataCentre("dc-c")};
const DataCentre kEvacuated("dc-a");
constexpr std::int64_t kCores = 16'000;

// Pools whose instances are spread over three data centres, and a platform that
// carries out each order at once, or after `move_time`.
class EvacuatedPoolsTest : public testing::Test {
 protected:
  EvacuatedPoolsTest() {
    this->state.Apply({this->wall(), jobs::Declare{1, "document"}});
    this->state.Apply({this->wall(), jobs::BeginEpoch{}});
  }

  // Adds `count` instances in each data centre.
  void AddInstances(const ServiceName& service, int count) {
    for (const DataCentre& data_centre : kDataCentres) {
      for (int number = 0; number < count; ++number) {
        const InstanceName name("m" + std::to_string(this->rows.size()));
        this->rows[name] = {.name = name,
                            .service = service,
                            .data_centre = data_centre,
                            .state = InstanceState::kUp,
                            .worker = WorkerName("w-" + name.value())};
      }
    }
  }
  void Evacuate(const DataCentre& data_centre = kEvacuated) {
    this->Change(data_centre, jobs::DataCentreUse::kEvacuated);
  }
  void Return(const DataCentre& data_centre = kEvacuated) {
    this->Change(data_centre, jobs::DataCentreUse::kInUse);
  }
  void Change(const DataCentre& data_centre, jobs::DataCentreUse use) {
    this->state.Apply(
        {this->wall(),
         jobs::ChangeDataCentre{data_centre, use,
                                this->state.FindDataCentre(data_centre).version,
                                "call"}});
  }
  // Runs planning passes for `time` and returns the instances that were moved.
  std::vector<InstanceName> PassTime(Milliseconds time) {
    std::vector<InstanceName> moved;
    const SteadyTime end = this->now + time;
    while (this->now < end) {
      this->now += Milliseconds(100);
      this->DeliverList();
      const CapacityOutput output =
          this->planner.Plan(this->state, this->GatherFacts(), this->demand, {},
                             this->wall(), this->now);
      for (const jobs::Command& command : output.commands) {
        this->state.Apply({this->wall(), command});
      }
      for (const InstanceOrder& order : output.orders) {
        this->CarryOut(order);
        moved.push_back(order.instance);
      }
    }
    return moved;
  }
  std::map<DataCentre, int> CountByDataCentre(
      const std::vector<InstanceName>& instances) const {
    std::map<DataCentre, int> counts;
    for (const InstanceName& name : instances) {
      ++counts[this->rows.at(name).data_centre];
    }
    return counts;
  }
  // Returns the number of instances of a pool that may be used.
  int CountUsable(const ServiceName& service) const {
    int count = 0;
    for (const auto& [name, row] : this->rows) {
      count += static_cast<int>(row.service == service &&
                                this->state.IsInUse(row.data_centre));
    }
    return count;
  }
  void SetDemand(const ServiceName& service, int instances) {
    this->demand[service].short_millicores =
        instances * kCores * 1'000 / (1'000 + this->settings.reserve_permille);
  }

 private:
  WallTime wall() const { return WallTime(this->now.time_since_epoch()); }
  void DeliverList() {
    std::vector<ListedInstance> list;
    list.reserve(this->rows.size());
    for (const auto& [name, row] : this->rows) {
      list.push_back(row);
    }
    this->listing.RecordList(std::move(list), this->now);
    this->planner.UpdateListing(this->listing);
  }
  std::map<InstanceName, InstanceFacts> GatherFacts() const {
    std::map<InstanceName, InstanceFacts> facts;
    for (const auto& [name, row] : this->rows) {
      const auto arrival = this->arrivals.find(name);
      const bool has_worker =
          row.service != kOff &&
          (arrival == this->arrivals.end() || arrival->second <= this->now);
      if (has_worker) {
        facts[name] = {.worker = WorkerId(row.worker.value()),
                       .service = row.service,
                       .capacity = {.millicores = kCores},
                       .is_evacuated = !this->state.IsInUse(row.data_centre)};
      }
    }
    return facts;
  }
  void CarryOut(const InstanceOrder& order) {
    ListedInstance& row = this->rows.at(order.instance);
    row.service = order.pool;
    row.worker =
        WorkerName("w-" + order.instance.value() + "-" +
                   std::to_string(this->now.time_since_epoch().count()));
    this->arrivals[order.instance] = this->now + this->move_time;
    this->planner.HandleOrderResult(order, InstanceResult::kDone, this->now);
  }

 protected:
  jobs::JobsState state{[](std::string_view) {
    return jobs::JobsDeclaration(1, {},
                                 {{.name = kBusy},
                                  {.name = kQuiet},
                                  {.name = kOff, .is_headroom = true}});
  }};
  CapacitySettings settings{.surplus_time = Milliseconds(2'500)};
  SteadyTime now{Milliseconds(100'000)};
  CapacityPlanner planner{this->settings, ProcessName("c1"), LeaderEpoch(1),
                          SteadyTime(Milliseconds(1'000))};
  std::map<InstanceName, ListedInstance> rows;
  Milliseconds move_time{0};
  // When the last move of an instance ends.
  std::map<InstanceName, SteadyTime> arrivals;
  InstanceListing listing;
  std::map<ServiceName, jobs::ServiceDemand> demand;
};

TEST_F(EvacuatedPoolsTest, APoolGrowsFromTheInstancesThatAreLeft) {
  this->AddInstances(kBusy, 4);
  this->AddInstances(kQuiet, 2);
  this->AddInstances(kOff, 3);
  this->SetDemand(kBusy, 12);
  this->SetDemand(kQuiet, 6);
  EXPECT_TRUE(this->PassTime(Milliseconds(1'000)).empty());
  this->Evacuate();
  const auto moved = this->PassTime(Milliseconds(3'000));
  EXPECT_EQ(this->CountUsable(kBusy), 12);
  EXPECT_EQ(this->CountUsable(kQuiet), 6);
  EXPECT_EQ(
      this->CountByDataCentre(moved),
      (std::map<DataCentre, int>{{kDataCentres[1], 3}, {kDataCentres[2], 3}}));
}

TEST_F(EvacuatedPoolsTest, InstancesOfAnEvacuatedDataCentreStayInTheirPools) {
  this->AddInstances(kBusy, 1);
  this->AddInstances(kQuiet, 4);
  this->AddInstances(kOff, 1);
  this->SetDemand(kBusy, 30);
  this->SetDemand(kQuiet, 0);
  this->Evacuate();
  // More than there is: every instance that may be used moves, and no other.
  const auto moved = this->PassTime(Milliseconds(20'000));
  EXPECT_FALSE(moved.empty());
  EXPECT_EQ(this->CountByDataCentre(moved).count(kEvacuated), 0U);
}

TEST_F(EvacuatedPoolsTest, ASurplusInAnEvacuatedDataCentreIsNotSwitchedOff) {
  this->AddInstances(kBusy, 4);
  this->AddInstances(kQuiet, 1);
  this->AddInstances(kOff, 1);
  this->SetDemand(kBusy, 2);
  this->SetDemand(kQuiet, 2);
  this->Evacuate();
  const auto moved = this->PassTime(Milliseconds(20'000));
  EXPECT_EQ(this->CountUsable(kBusy), 2);
  EXPECT_EQ(this->CountByDataCentre(moved).count(kEvacuated), 0U);
}

// A third of every pool is gone at once and back at once. Each instance moves
// at most once into use and once out of it, and none of them moves while the
// returned data centre is warming up.
TEST_F(EvacuatedPoolsTest, NoSecondWaveOfMovesFollowsTheReturn) {
  this->AddInstances(kBusy, 4);
  this->AddInstances(kQuiet, 4);
  this->AddInstances(kOff, 4);
  this->SetDemand(kBusy, 12);
  this->SetDemand(kQuiet, 12);
  EXPECT_TRUE(this->PassTime(Milliseconds(1'000)).empty());
  this->Evacuate();
  EXPECT_EQ(this->PassTime(Milliseconds(5'000)).size(), 8U);
  this->Return();
  EXPECT_TRUE(this->PassTime(this->settings.evacuation_hold).empty());
  EXPECT_EQ(this->PassTime(Milliseconds(10'000)).size(), 8U);
  EXPECT_TRUE(this->PassTime(Milliseconds(10'000)).empty());
  EXPECT_EQ(this->CountUsable(kBusy), 12);
  EXPECT_EQ(this->CountUsable(kQuiet), 12);
}

// The pool has had a surplus for a while when the data centre is returned.
TEST_F(EvacuatedPoolsTest, AnOldSurplusIsHeldAfterTheReturnToo) {
  this->AddInstances(kBusy, 4);
  this->AddInstances(kQuiet, 1);
  this->AddInstances(kOff, 1);
  this->SetDemand(kBusy, 12);
  this->SetDemand(kQuiet, 2);
  this->Evacuate();
  this->PassTime(this->settings.evacuation_hold);
  this->SetDemand(kBusy, 5);
  EXPECT_TRUE(
      this->PassTime(this->settings.surplus_time - Milliseconds(500)).empty());
  this->Return();
  EXPECT_TRUE(this->PassTime(this->settings.evacuation_hold).empty());
}

TEST_F(EvacuatedPoolsTest, AShortageIsMetDuringTheHold) {
  this->AddInstances(kBusy, 2);
  this->AddInstances(kQuiet, 2);
  this->AddInstances(kOff, 2);
  this->SetDemand(kBusy, 4);
  this->SetDemand(kQuiet, 4);
  this->Evacuate();
  this->PassTime(Milliseconds(3'000));
  this->Return();
  this->SetDemand(kBusy, 9);
  this->PassTime(Milliseconds(3'000));
  EXPECT_EQ(this->CountUsable(kBusy), 9);
}

// The order for the move has not been sent when the data centre is evacuated.
TEST_F(EvacuatedPoolsTest, AMoveThatWasNotOrderedEndsWithTheEvacuation) {
  this->AddInstances(kBusy, 1);
  this->AddInstances(kQuiet, 1);
  this->AddInstances(kOff, 1);
  this->SetDemand(kBusy, 6);
  this->SetDemand(kQuiet, 2);
  // The first pass decides the moves, and the next one orders them.
  this->PassTime(Milliseconds(100));
  ASSERT_FALSE(this->planner.MovingInstances().empty());
  this->Evacuate();
  const auto moved = this->PassTime(Milliseconds(3'000));
  EXPECT_EQ(this->CountByDataCentre(moved).count(kEvacuated), 0U);
}

TEST_F(EvacuatedPoolsTest, AnInstanceOnItsWayIsReplaced) {
  this->move_time = Milliseconds(1'500);
  this->AddInstances(kBusy, 1);
  this->AddInstances(kQuiet, 1);
  this->AddInstances(kOff, 1);
  this->SetDemand(kBusy, 4);
  this->SetDemand(kQuiet, 2);
  const auto first = this->PassTime(Milliseconds(300));
  ASSERT_EQ(this->CountByDataCentre(first),
            (std::map<DataCentre, int>{{kEvacuated, 1}}));
  this->SetDemand(kBusy, 3);
  this->Evacuate();
  EXPECT_EQ(this->PassTime(Milliseconds(300)).size(), 1U);
}

// A label that only instances of the evacuated data centre have is no reason to
// give the pool instances without it.
TEST_F(EvacuatedPoolsTest, DemandForAnEvacuatedLabelIsNoDemand) {
  this->AddInstances(kBusy, 2);
  this->AddInstances(kQuiet, 2);
  this->AddInstances(kOff, 4);
  for (auto& [name, row] : this->rows) {
    if (row.data_centre == kEvacuated) {
      row.labels = {"gpu"};
    }
  }
  // Half of the tasks require the label.
  this->SetDemand(kBusy, 8);
  this->SetDemand(kQuiet, 4);
  this->demand[kBusy].by_label["gpu"].millicores =
      this->demand[kBusy].short_millicores / 2;
  this->Evacuate();
  this->PassTime(Milliseconds(3'000));
  EXPECT_EQ(this->CountUsable(kBusy), 4);
}

// Where no data centre is evacuated, its instances' data centres change nothing
// about the moves, and neither does one that was evacuated long ago.
TEST_F(EvacuatedPoolsTest, WithoutAnEvacuationDataCentresChangeNothing) {
  std::vector<std::vector<InstanceName>> runs;
  for (const bool was_evacuated : {false, true}) {
    for (const bool names_data_centres : {false, true}) {
      this->rows.clear();
      this->state.Apply({WallTime(), jobs::BeginEpoch{}});
      this->planner = CapacityPlanner(this->settings, ProcessName("c1"),
                                      this->state.epoch(), this->now);
      this->AddInstances(kBusy, 3);
      this->AddInstances(kQuiet, 3);
      this->AddInstances(kOff, 2);
      if (!names_data_centres) {
        for (auto& [name, row] : this->rows) {
          row.data_centre = DataCentre();
        }
      }
      if (was_evacuated) {
        this->Evacuate();
        this->Return();
      }
      this->now += 10 * this->settings.evacuation_hold;
      this->demand.clear();
      std::vector<InstanceName> moved;
      for (const auto& [busy, quiet] : {std::pair{12, 4}, {3, 13}, {2, 2}}) {
        this->SetDemand(kBusy, busy);
        this->SetDemand(kQuiet, quiet);
        const auto more = this->PassTime(Milliseconds(6'000));
        moved.insert(moved.end(), more.begin(), more.end());
      }
      runs.push_back(std::move(moved));
    }
  }
  EXPECT_GT(runs[0].size(), 5U);
  for (const auto& run : runs) {
    EXPECT_EQ(run, runs[0]);
  }
}

// Whatever the demand and whichever data centres are evacuated, nothing is
// ordered about their instances, and nothing is switched off for a while after
// each change of their use.
RC_GTEST_FIXTURE_PROP(EvacuatedPoolsTest, OrdersFollowWhatMayBeUsed, ()) {
  this->move_time = Milliseconds(*rc::gen::element(0, 300, 1'500));
  this->AddInstances(kBusy, 3);
  this->AddInstances(kQuiet, 3);
  this->AddInstances(kOff, 2);
  SteadyTime held_until{};
  // Moves that were decided before the last change are carried out after it.
  std::set<InstanceName> decided;
  const int steps = *rc::gen::inRange(5, 25);
  for (int step = 0; step < steps; ++step) {
    const DataCentre& data_centre = *rc::gen::elementOf(kDataCentres);
    const std::uint64_t version =
        this->state.FindDataCentre(data_centre).version;
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        this->Evacuate(data_centre);
        break;
      case 1:
        this->Return(data_centre);
        break;
      default:
        this->SetDemand(kBusy, *rc::gen::inRange(0, 20));
        this->SetDemand(kQuiet, *rc::gen::inRange(0, 20));
    }
    if (this->state.FindDataCentre(data_centre).version > version) {
      held_until = this->now + this->settings.evacuation_hold;
      decided = this->planner.MovingInstances();
    }
    for (const InstanceName& name :
         this->PassTime(Milliseconds(*rc::gen::inRange(1, 50) * 100))) {
      const ListedInstance& row = this->rows.at(name);
      RC_ASSERT(this->state.IsInUse(row.data_centre));
      RC_ASSERT(row.service != kOff || this->now > held_until ||
                decided.contains(name));
    }
  }
}

}  // namespace
}  // namespace sumac::maintenance
