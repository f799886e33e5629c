// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/maintenance_planner.h"

#include <gtest/gtest.h>

namespace sumac::maintenance {
namespace {

using jobs::MaintenanceState;

const WaveId kWave("1");

class MaintenancePlannerTest : public testing::Test {
 protected:
  MaintenancePlannerTest()
      : state([](std::string_view) { return jobs::JobsDeclaration(); }) {}

  void AddInstance(const std::string& name, std::int64_t load = 0) {
    this->facts[InstanceName(name)] =
        InstanceFacts{.worker = WorkerId("w-" + name), .load_permille = load};
  }
  void StartWave(std::vector<InstanceName> instances,
                 std::uint32_t most_at_once,
                 Milliseconds ramp = Milliseconds(1'000)) {
    this->Commit(
        jobs::StartWave{kWave, std::move(instances), ramp, most_at_once});
  }
  void Commit(jobs::Command command) {
    this->state.Apply({this->wall(), std::move(command)});
  }
  WallTime wall() const { return WallTime(this->now.time_since_epoch()); }

  // One pass; what it wants committed is committed.
  std::vector<InstanceOrder> PlanOnce() {
    this->now += Milliseconds(100);
    MaintenanceOutput output = this->planner.Plan(
        this->state, this->facts, this->listing, this->wall(), this->now);
    this->cordoned = output.cordoned;
    for (jobs::Command& command : output.commands) {
      this->Commit(std::move(command));
    }
    return output.orders;
  }
  // Looks until there are orders, a few times at most.
  std::vector<InstanceOrder> PlanUntilOrders() {
    for (int pass = 0; pass < 5; ++pass) {
      std::vector<InstanceOrder> orders = this->PlanOnce();
      if (!orders.empty()) {
        return orders;
      }
    }
    return {};
  }
  void Answer(const InstanceOrder& order, InstanceResult result) {
    for (jobs::Command& command : this->planner.HandleOrderResult(
             this->state, order, result, this->now)) {
      this->Commit(std::move(command));
    }
  }
  MaintenanceState StateOf(const std::string& name) const {
    return this->state.waves().at(kWave).instances.at(InstanceName(name)).state;
  }
  // A whole list that was asked for at `requested_at` and comes now.
  void DeliverList(const std::vector<std::string>& names,
                   SteadyTime requested_at) {
    std::vector<ListedInstance> rows;
    rows.reserve(names.size());
    for (const std::string& name : names) {
      rows.push_back({.name = InstanceName(name), .state = InstanceState::kUp});
    }
    this->listing.RecordList(rows, requested_at);
  }
  // Lists that are asked for from now on and answered at once, with a pass
  // after each.
  void PlanWithLists(const std::vector<std::string>& names, int lists) {
    for (int list = 0; list < lists; ++list) {
      this->now += Milliseconds(1);
      this->DeliverList(names, this->now);
      this->PlanOnce();
    }
  }
  void LetTheInstanceComeBack(const std::string& name) {
    this->facts[InstanceName(name)] =
        InstanceFacts{.worker = WorkerId("next-" + name)};
  }

  jobs::JobsState state;
  SteadyTime now{Milliseconds(10'000)};
  MaintenancePlanner planner{MaintenanceSettings(), ProcessName("c1"),
                             LeaderEpoch(1), SteadyTime(Milliseconds(1'000))};
  std::map<InstanceName, InstanceFacts> facts;
  InstanceListing listing;
  std::set<InstanceName> cordoned;
};

TEST_F(MaintenancePlannerTest, AWaveGoesThroughAllItsInstances) {
  this->AddInstance("m1");
  this->AddInstance("m2", 500);
  this->StartWave({InstanceName("m1"), InstanceName("m2")}, 1);
  for (const char* name : {"m1", "m2"}) {
    const auto orders = this->PlanUntilOrders();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].instance.value(), name);
    this->Answer(orders[0], InstanceResult::kDone);
    EXPECT_EQ(this->StateOf(name), MaintenanceState::kBegun);
    this->now += Milliseconds(2'000);
    this->LetTheInstanceComeBack(name);
    this->PlanOnce();
    EXPECT_EQ(this->StateOf(name), MaintenanceState::kOver);
  }
  EXPECT_TRUE(this->state.waves().at(kWave).is_done());
}

TEST_F(MaintenancePlannerTest, NoMoreThanAllowedAreDownAtOnce) {
  for (const char* name : {"m1", "m2", "m3", "m4"}) {
    this->AddInstance(name);
  }
  this->StartWave({InstanceName("m1"), InstanceName("m2"), InstanceName("m3"),
                   InstanceName("m4")},
                  2);
  const auto orders = this->PlanUntilOrders();
  EXPECT_EQ(orders.size(), 2U);
  for (const InstanceOrder& order : orders) {
    this->Answer(order, InstanceResult::kDone);
  }
  EXPECT_TRUE(this->PlanUntilOrders().empty());
}

TEST_F(MaintenancePlannerTest, AnInstanceIsEmptiedFirst) {
  this->AddInstance("m1");
  this->facts[InstanceName("m1")].budgeted_runs = 1;
  this->StartWave({InstanceName("m1")}, 1);
  EXPECT_TRUE(this->PlanUntilOrders().empty());
  EXPECT_TRUE(this->cordoned.contains(InstanceName("m1")));
  this->facts[InstanceName("m1")].budgeted_runs = 0;
  EXPECT_EQ(this->PlanUntilOrders().size(), 1U);
}

TEST_F(MaintenancePlannerTest, ALateAnnouncementIsNotTakenForTheReturn) {
  this->AddInstance("m1");
  this->AddInstance("m2");
  this->StartWave({InstanceName("m1"), InstanceName("m2")}, 1);
  const auto orders = this->PlanUntilOrders();
  ASSERT_EQ(orders.size(), 1U);
  this->Answer(orders[0], InstanceResult::kDone);
  // A life that began just before the order is heard of only now.
  this->LetTheInstanceComeBack("m1");
  EXPECT_TRUE(this->PlanUntilOrders().empty());
  EXPECT_EQ(this->StateOf("m1"), MaintenanceState::kBegun);
}

// A cut held an announcement of an earlier life up for longer than the
// maintenance takes. It was taken for the return, and the next instance went
// down while this one still was.
TEST_F(MaintenancePlannerTest, AnAnnouncementWithoutAnAnswerIsNoReturn) {
  this->AddInstance("m1");
  this->AddInstance("m2");
  this->StartWave({InstanceName("m1"), InstanceName("m2")}, 1);
  const auto orders = this->PlanUntilOrders();
  ASSERT_EQ(orders.size(), 1U);
  this->Answer(orders[0], InstanceResult::kDone);
  this->now += Milliseconds(10'000);
  this->facts[InstanceName("m1")] =
      InstanceFacts{.worker = WorkerId("before-m1"), .is_only_announced = true};
  EXPECT_TRUE(this->PlanUntilOrders().empty());
  EXPECT_EQ(this->StateOf("m1"), MaintenanceState::kBegun);
  this->LetTheInstanceComeBack("m1");
  EXPECT_EQ(this->PlanUntilOrders().size(), 1U);
  EXPECT_EQ(this->StateOf("m1"), MaintenanceState::kOver);
}

TEST_F(MaintenancePlannerTest, AnInstanceThatMayBeDownUnansweredStaysCounted) {
  this->AddInstance("m1");
  this->AddInstance("m2");
  this->StartWave({InstanceName("m1"), InstanceName("m2")}, 1);
  const auto first = this->PlanUntilOrders();
  ASSERT_EQ(first.size(), 1U);
  this->Answer(first[0], InstanceResult::kUnknown);
  this->now += Milliseconds(500);
  const auto again = this->PlanUntilOrders();
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].instance, first[0].instance);
  this->Answer(again[0], InstanceResult::kBusy);
  EXPECT_EQ(this->StateOf("m1"), MaintenanceState::kOrdered);
  this->now += Milliseconds(500);
  for (const InstanceOrder& order : this->PlanUntilOrders()) {
    EXPECT_EQ(order.instance, first[0].instance);
  }
}

TEST_F(MaintenancePlannerTest, ABusyInstanceIsTriedAgainLater) {
  this->AddInstance("m1");
  this->StartWave({InstanceName("m1")}, 1);
  const auto orders = this->PlanUntilOrders();
  ASSERT_EQ(orders.size(), 1U);
  this->Answer(orders[0], InstanceResult::kBusy);
  EXPECT_EQ(this->StateOf("m1"), MaintenanceState::kWaiting);
  this->now += Milliseconds(1'000);
  EXPECT_EQ(this->PlanUntilOrders().size(), 1U);
}

TEST_F(MaintenancePlannerTest, AnInstanceThatIsGoneIsDone) {
  this->StartWave({InstanceName("m1")}, 1);
  this->PlanOnce();
  this->PlanWithLists({}, 2);
  EXPECT_EQ(this->StateOf("m1"), MaintenanceState::kOver);
}

// A wave was told to be done while one of its instances had never been ordered
// down. The instance was the fiftieth and appeared 0.4 to 0.9 s before the wave
// was declared: the last list of instances before that, at 3.391 s, has 49
// rows, the next one, at 4.270 s, has 50.
TEST_F(MaintenancePlannerTest, AnInstanceThatAppearedAfterTheListIsMaintained) {
  this->AddInstance("m2", 500);
  this->DeliverList({"m2"}, this->now);
  this->StartWave({InstanceName("m1"), InstanceName("m2")}, 2);
  this->PlanOnce();
  EXPECT_EQ(this->StateOf("m1"), MaintenanceState::kWaiting);
  this->PlanWithLists({"m1", "m2"}, 2);
  const auto orders = this->PlanUntilOrders();
  ASSERT_FALSE(orders.empty());
  EXPECT_EQ(orders[0].instance.value(), "m1");
}

TEST_F(MaintenancePlannerTest, AListAskedForBeforeTheWaveShowsNobodyAsGone) {
  const SteadyTime before = this->now;
  this->StartWave({InstanceName("m1")}, 1);
  this->PlanOnce();
  this->DeliverList({}, before);
  this->PlanOnce();
  this->DeliverList({}, before);
  this->PlanOnce();
  EXPECT_EQ(this->StateOf("m1"), MaintenanceState::kWaiting);
}

// A list is read page by page, and a row that moves to a page that was read
// before is in none of them.
TEST_F(MaintenancePlannerTest, AnInstanceThatOneListLacksIsNotGone) {
  // No orders yet.
  this->now = SteadyTime(Milliseconds(1'500));
  this->StartWave({InstanceName("m1")}, 1);
  this->PlanOnce();
  for (int round = 0; round < 2; ++round) {
    this->PlanWithLists({"m1"}, 1);
    this->PlanWithLists({}, 1);
    EXPECT_NE(this->StateOf("m1"), MaintenanceState::kOver);
  }
}

TEST_F(MaintenancePlannerTest, AnInstanceUnderWayThatOneListLacksIsNotBack) {
  this->AddInstance("m1");
  this->StartWave({InstanceName("m1")}, 1);
  const auto orders = this->PlanUntilOrders();
  ASSERT_EQ(orders.size(), 1U);
  this->Answer(orders[0], InstanceResult::kDone);
  this->facts.clear();
  this->now += Milliseconds(3'000);
  this->PlanWithLists({"m1"}, 1);
  this->PlanWithLists({}, 1);
  EXPECT_EQ(this->StateOf("m1"), MaintenanceState::kBegun);
  this->PlanWithLists({}, 1);
  EXPECT_EQ(this->StateOf("m1"), MaintenanceState::kOver);
}

TEST_F(MaintenancePlannerTest, AWaveIsSpreadOverItsTime) {
  std::vector<InstanceName> names;
  for (int number = 0; number < 10; ++number) {
    names.emplace_back("m" + std::to_string(number));
    this->AddInstance(names.back().value());
  }
  this->StartWave(names, 9, Milliseconds(60'000));
  EXPECT_LE(this->PlanUntilOrders().size(), 3U);
}

// It costs no capacity, so only the wave's bound holds it back.
TEST_F(MaintenancePlannerTest, InstancesThatAreOffDoNotWaitForTheRamp) {
  std::vector<ListedInstance> list;
  std::vector<InstanceName> names;
  for (const char* name : {"a", "b", "c", "d"}) {
    names.emplace_back(name);
    list.push_back({.name = InstanceName(name), .state = InstanceState::kUp});
  }
  this->AddInstance("a");
  this->AddInstance("b");
  this->listing.RecordList(list, this->now);
  this->StartWave(names, 3, Milliseconds(60'000));
  std::set<InstanceName> ordered;
  for (int pass = 0; pass < 5; ++pass) {
    for (const InstanceOrder& order : this->PlanOnce()) {
      ordered.insert(order.instance);
    }
  }
  EXPECT_TRUE(ordered.contains(InstanceName("c")));
  EXPECT_TRUE(ordered.contains(InstanceName("d")));
  EXPECT_LE(ordered.size(), 3U);
}

TEST_F(MaintenancePlannerTest, ANewLeaderWaitsBeforeItsFirstOrder) {
  this->AddInstance("m1");
  this->StartWave({InstanceName("m1")}, 1);
  this->now = SteadyTime(Milliseconds(1'500));
  EXPECT_TRUE(this->PlanUntilOrders().empty());
}

}  // namespace
}  // namespace sumac::maintenance
