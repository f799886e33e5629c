// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/capacity_planner.h"

#include <gtest/gtest.h>

namespace sumac::maintenance {
namespace {

const ServiceName kBusy("busy");
const ServiceName kQuiet("quiet");
const ServiceName kOff("off");
constexpr std::int64_t kCores = 16'000;

// Three pools, one of which is off; a clock; and instances by number.
class CapacityPlannerTest : public testing::Test {
 protected:
  CapacityPlannerTest()
      : state([](std::string_view) {
          return jobs::JobsDeclaration(1, {},
                                       {{.name = kBusy},
                                        {.name = kQuiet},
                                        {.name = kOff, .is_headroom = true}});
        }) {
    this->state.Apply({WallTime(), jobs::Declare{1, "document"}});
    this->state.Apply({WallTime(), jobs::BeginEpoch{}});
  }

  void AddInstances(const ServiceName& service, int count) {
    for (int number = 0; number < count; ++number) {
      const std::string name =
          service.value() + std::to_string(this->facts.size());
      this->facts[InstanceName(name)] =
          InstanceFacts{.worker = WorkerId("w-" + name),
                        .service = service,
                        .millicores = kCores};
    }
  }
  // Instances that also have a label.
  void AddLabelled(const ServiceName& service,
                   int count,
                   const std::string& label) {
    const std::set<InstanceName> before = this->Names();
    this->AddInstances(service, count);
    for (auto& [name, instance] : this->facts) {
      if (!before.contains(name)) {
        instance.labels.push_back(label);
      }
    }
  }
  std::set<InstanceName> Names() const {
    std::set<InstanceName> names;
    for (const auto& [name, instance] : this->facts) {
      names.insert(name);
    }
    return names;
  }
  // What tasks of a service need that run only where the label is.
  void Demand(const ServiceName& service,
              const std::string& label,
              std::int64_t millicores) {
    this->demand[service].short_millicores += millicores;
    this->demand[service].by_label[label].millicores += millicores;
  }
  void AddIdle(int count) {
    std::vector<ListedInstance> list;
    list.reserve(count);
    for (int number = 0; number < count; ++number) {
      list.push_back({.name = InstanceName("idle" + std::to_string(number)),
                      .service = kOff,
                      .state = InstanceState::kUp});
    }
    this->DeliverList(list);
  }
  // A list that is asked for and comes now.
  void DeliverList(std::vector<ListedInstance> rows) {
    this->listing.RecordList(std::move(rows), this->now);
    this->planner.UpdateListing(this->listing);
  }
  // One pass; what it wants committed is committed, and it looks again for the
  // orders that follow.
  CapacityOutput Plan() {
    CapacityOutput first = this->PlanOnce();
    CapacityOutput second = this->PlanOnce();
    std::move(second.orders.begin(), second.orders.end(),
              std::back_inserter(first.orders));
    return first;
  }
  CapacityOutput PlanOnce() {
    this->now += Milliseconds(100);
    CapacityOutput output =
        this->planner.Plan(this->state, this->facts, this->demand, this->busy,
                           this->wall(), this->now);
    for (const jobs::Command& command : output.commands) {
      this->state.Apply({this->wall(), command});
    }
    return output;
  }
  // Lets a pool have one instance too many, which is ordered off and taken
  // away.
  InstanceName SwitchOneOff() {
    this->AddInstances(kBusy, 2);
    this->AddInstances(kQuiet, 3);
    this->AddIdle(0);
    this->demand[kQuiet] = {};
    this->Plan();
    this->now += CapacitySettings().surplus_time;
    const CapacityOutput output = this->Plan();
    EXPECT_EQ(PoolsOf(output), std::vector<std::string>{"off"});
    if (output.orders.empty()) {
      return InstanceName();
    }
    const InstanceOrder& order = output.orders.front();
    this->planner.HandleOrderResult(order, InstanceResult::kDone, this->now);
    this->facts.erase(order.instance);
    return order.instance;
  }
  WallTime wall() const { return WallTime(this->now.time_since_epoch()); }
  // The pools that the orders of a plan name.
  static std::vector<std::string> PoolsOf(const CapacityOutput& output) {
    std::vector<std::string> pools;
    pools.reserve(output.orders.size());
    for (const InstanceOrder& order : output.orders) {
      pools.push_back(order.pool.value());
    }
    return pools;
  }

  jobs::JobsState state;
  SteadyTime now{Milliseconds(10'000)};
  CapacityPlanner planner{CapacitySettings(), ProcessName("c1"), LeaderEpoch(1),
                          SteadyTime(Milliseconds(1'000))};
  std::map<InstanceName, InstanceFacts> facts;
  InstanceListing listing;
  std::map<ServiceName, jobs::ServiceDemand> demand;
  std::set<InstanceName> busy;
};

TEST_F(CapacityPlannerTest, APoolInNeedTakesInstancesThatAreOffFirst) {
  this->AddInstances(kBusy, 2);
  this->AddInstances(kQuiet, 6);
  this->AddIdle(1);
  this->demand[kBusy].short_millicores = 4 * kCores * 8 / 10;
  this->demand[kQuiet] = {};
  const CapacityOutput output = this->Plan();
  EXPECT_EQ(PoolsOf(output), (std::vector<std::string>{"busy", "busy"}));
  EXPECT_TRUE(output.cordoned.contains(InstanceName("idle0")));
}

TEST_F(CapacityPlannerTest, AnInstanceWithLongRunningTasksStays) {
  this->AddInstances(kBusy, 2);
  this->AddInstances(kQuiet, 3);
  for (auto& [name, instance] : this->facts) {
    instance.budgeted_runs = instance.service == kQuiet ? 1 : 0;
  }
  this->demand[kBusy].short_millicores = 4 * kCores;
  this->demand[kQuiet] = {};
  EXPECT_TRUE(this->Plan().orders.empty());
}

TEST_F(CapacityPlannerTest, AMoveIsOnRecordBeforeItIsOrdered) {
  this->AddInstances(kBusy, 2);
  this->AddIdle(1);
  this->demand[kBusy].short_millicores = 2 * kCores;
  const CapacityOutput first = this->PlanOnce();
  EXPECT_TRUE(first.orders.empty());
  EXPECT_EQ(first.commands.size(), 1U);
  EXPECT_EQ(this->PlanOnce().orders.size(), 1U);
}

// The leader before was about to move it, and its order may just have gone out.
TEST_F(CapacityPlannerTest, ANewLeaderKeepsAwayFromWhatTheLastOneMoved) {
  this->AddInstances(kBusy, 2);
  this->AddIdle(1);
  this->demand[kBusy].short_millicores = 2 * kCores;
  this->state.Apply({this->wall(), jobs::RecordMoves{{InstanceName("idle0")}}});
  this->state.Apply({this->wall(), jobs::BeginEpoch{}});
  this->planner = CapacityPlanner(CapacitySettings(), ProcessName("c2"),
                                  this->state.epoch(), this->now);
  this->AddIdle(1);
  EXPECT_TRUE(this->Plan().orders.empty());
  this->now += CapacitySettings().takeover_pause;
  EXPECT_EQ(this->Plan().orders.size(), 1U);
}

// A step whose tasks must keep apart needs as many instances, whatever little
// they use.
TEST_F(CapacityPlannerTest, APoolKeepsAsManyInstancesAsAStepIsSpreadOver) {
  this->AddInstances(kBusy, 5);
  this->AddInstances(kQuiet, 2);
  this->AddIdle(1);
  this->demand[kBusy] = {.long_running_millicores = 5'000, .min_instances = 5};
  this->demand[kQuiet] = {};
  this->now += Milliseconds(10'000);
  EXPECT_TRUE(this->Plan().orders.empty());
  this->now += Milliseconds(10'000);
  EXPECT_TRUE(this->Plan().orders.empty());
  // One of them is about to be maintained, so another takes its place.
  this->busy.insert(InstanceName("busy0"));
  EXPECT_EQ(PoolsOf(this->Plan()), std::vector<std::string>{"busy"});
}

TEST_F(CapacityPlannerTest, ASurplusIsGivenUpOnlyAfterAWhile) {
  this->AddInstances(kBusy, 2);
  this->AddInstances(kQuiet, 6);
  this->AddIdle(0);
  this->demand[kQuiet] = {};
  EXPECT_TRUE(this->Plan().orders.empty());
  this->now += CapacitySettings().surplus_time;
  EXPECT_EQ(this->Plan().orders.size(), 4U);
}

TEST_F(CapacityPlannerTest, AnOrderWithoutAnAnswerIsGivenAgain) {
  this->AddInstances(kBusy, 2);
  this->AddIdle(1);
  this->demand[kBusy].short_millicores = 2 * kCores;
  const CapacityOutput first = this->Plan();
  ASSERT_EQ(first.orders.size(), 1U);
  EXPECT_TRUE(this->Plan().orders.empty());
  this->planner.HandleOrderResult(first.orders[0], InstanceResult::kUnknown,
                                  this->now);
  this->now += CapacitySettings().retry;
  EXPECT_EQ(this->Plan().orders.size(), 1U);
}

TEST_F(CapacityPlannerTest, AMoveEndsTheWorkerThatWasThere) {
  this->AddInstances(kBusy, 2);
  this->AddInstances(kQuiet, 4);
  this->AddIdle(0);
  this->demand[kBusy].short_millicores = 2 * kCores;
  this->demand[kQuiet] = {};
  const CapacityOutput output = this->Plan();
  ASSERT_EQ(output.orders.size(), 1U);
  const auto commands = this->planner.HandleOrderResult(
      output.orders[0], InstanceResult::kDone, this->now);
  ASSERT_EQ(commands.size(), 1U);
  const auto& forget = std::get<jobs::ForgetWorker>(commands[0]);
  EXPECT_EQ(forget.worker.value(), "w-" + output.orders[0].instance.value());
  EXPECT_TRUE(forget.is_over);
}

// A pool that is off holds an instance from the moment it was sent there, but
// the platform takes no further order about it before it has arrived.
TEST_F(CapacityPlannerTest,
       AnInstanceThatWasJustSwitchedOffIsUsedOnceItArrived) {
  const InstanceName moved = this->SwitchOneOff();
  this->DeliverList(
      {{.name = moved, .service = kQuiet, .state = InstanceState::kMoving}});
  this->demand[kBusy].short_millicores = 2 * kCores;
  this->now += CapacitySettings().move_time / 2;
  EXPECT_TRUE(this->Plan().orders.empty());
  this->now += CapacitySettings().move_time / 2;
  const CapacityOutput again = this->Plan();
  ASSERT_EQ(PoolsOf(again), std::vector<std::string>{"busy"});
  EXPECT_EQ(again.orders[0].instance, moved);
}

// A list was asked for before a move and came after it. It shows the pool that
// the instance has left, which took it for one that is not off until the next
// list, 15 s later.
TEST_F(CapacityPlannerTest, AListFromBeforeAMoveDoesNotUndoIt) {
  const SteadyTime requested_at = this->now;
  const InstanceName moved = this->SwitchOneOff();
  this->listing.RecordList(
      {{.name = moved, .service = kQuiet, .state = InstanceState::kUp}},
      requested_at);
  this->planner.UpdateListing(this->listing);
  this->demand[kBusy].short_millicores = 2 * kCores;
  this->now += CapacitySettings().move_time;
  EXPECT_EQ(PoolsOf(this->Plan()), std::vector<std::string>{"busy"});
}

// The record of a move keeps the next leader away from its instance for some
// seconds, and what it starts away from the worker that ends. A second move of
// an instance left that of the first on record.
TEST_F(CapacityPlannerTest, EachMoveOfAnInstanceIsRecorded) {
  const InstanceName moved = this->SwitchOneOff();
  this->demand[kBusy].short_millicores = 2 * kCores;
  this->now += CapacitySettings().move_time;
  const WallTime second_at = this->wall();
  std::vector<InstanceOrder> orders;
  for (int pass = 0; pass < 5 && orders.empty(); ++pass) {
    orders = this->PlanOnce().orders;
  }
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_GT(this->state.record().moves.at(moved).at, second_at);
}

// An announcement of an earlier life that comes while the instance moves was
// taken for its arrival: the instance was no longer cordoned.
TEST_F(CapacityPlannerTest, AnAnnouncementWithoutAnAnswerIsNoArrival) {
  this->AddInstances(kBusy, 2);
  this->AddInstances(kQuiet, 3);
  this->AddIdle(0);
  this->demand[kBusy].short_millicores = 2 * kCores;
  this->demand[kQuiet] = {};
  const CapacityOutput output = this->Plan();
  ASSERT_FALSE(output.orders.empty());
  const InstanceName moved = output.orders[0].instance;
  this->planner.HandleOrderResult(output.orders[0], InstanceResult::kDone,
                                  this->now);
  this->facts[moved] =
      InstanceFacts{.worker = WorkerId("before"), .is_only_announced = true};
  EXPECT_TRUE(this->Plan().cordoned.contains(moved));
  this->facts[moved].is_only_announced = false;
  EXPECT_FALSE(this->Plan().cordoned.contains(moved));
}

// A backlog that is too late earns nothing: it may use what is off, and no
// more.
TEST_F(CapacityPlannerTest, LateWorkTakesOnlyWhatIsOffAndGivesItBack) {
  this->AddInstances(kBusy, 2);
  this->AddInstances(kQuiet, 4);
  this->AddIdle(1);
  this->demand[kBusy].late_millicores = 10 * kCores;
  this->demand[kQuiet] = {};
  const CapacityOutput output = this->Plan();
  ASSERT_EQ(PoolsOf(output), std::vector<std::string>{"busy"});
  EXPECT_EQ(output.orders[0].instance, InstanceName("idle0"));
  // Another pool needs more than it has: late work gives way.
  this->AddInstances(kBusy, 4);
  this->demand[kQuiet].short_millicores = 6 * kCores;
  for (const std::string& pool : PoolsOf(this->Plan())) {
    EXPECT_EQ(pool, "quiet");
  }
  EXPECT_FALSE(this->planner.MovingInstances().empty());
}

// A third of the tasks required a label that one instance in ten has. The pool
// grew by cores alone to 38 of 49 instances, 35 of them without the label: the
// tasks found no place all the same, and the other services went without.
TEST_F(CapacityPlannerTest, APoolTakesInstancesThatHaveTheLabel) {
  this->AddInstances(kBusy, 2);
  this->AddInstances(kQuiet, 2);
  this->DeliverList({{.name = InstanceName("idle0"),
                      .service = kOff,
                      .state = InstanceState::kUp,
                      .labels = {"a"}},
                     {.name = InstanceName("idle1"),
                      .service = kOff,
                      .state = InstanceState::kUp,
                      .labels = {"b"}}});
  this->demand[kQuiet] = {};
  this->Demand(kBusy, "b", 1'000);
  const CapacityOutput output = this->Plan();
  ASSERT_EQ(PoolsOf(output), std::vector<std::string>{"busy"});
  EXPECT_EQ(output.orders[0].instance, InstanceName("idle1"));
}

TEST_F(CapacityPlannerTest, APoolDoesNotGrowByInstancesWithoutTheLabel) {
  this->AddInstances(kBusy, 2);
  this->AddLabelled(kBusy, 1, "b");
  this->AddInstances(kQuiet, 4);
  this->AddIdle(5);
  this->demand[kQuiet] = {};
  this->Demand(kBusy, "b", 8 * kCores);
  EXPECT_TRUE(this->Plan().orders.empty());
}

// The pool has instances enough, and none of them can run what waits.
TEST_F(CapacityPlannerTest, APoolIsGivenAnInstanceWithTheLabelByAFullPool) {
  this->AddInstances(kBusy, 4);
  this->AddInstances(kQuiet, 3);
  this->AddLabelled(kQuiet, 1, "b");
  this->AddIdle(0);
  this->demand[kQuiet].short_millicores = 3 * kCores;
  this->Demand(kBusy, "b", 1'000);
  // One without the label goes the other way in exchange.
  const CapacityOutput output = this->Plan();
  ASSERT_EQ(output.orders.size(), 2U);
  for (const InstanceOrder& order : output.orders) {
    const bool has_label = !this->facts[order.instance].labels.empty();
    EXPECT_EQ(order.pool, has_label ? kBusy : kQuiet);
  }
  EXPECT_NE(output.orders[0].pool, output.orders[1].pool);
}

TEST_F(CapacityPlannerTest, LateTasksAreGivenOneInstanceWithTheirLabelToo) {
  this->AddInstances(kBusy, 2);
  this->AddInstances(kQuiet, 2);
  this->AddLabelled(kQuiet, 1, "b");
  this->AddIdle(0);
  this->demand[kQuiet] = {};
  this->demand[kBusy].late_millicores = 1'000;
  this->demand[kBusy].by_label["b"].late_millicores = 1'000;
  EXPECT_EQ(PoolsOf(this->Plan()), std::vector<std::string>{"busy"});
}

TEST_F(CapacityPlannerTest, APoolKeepsTheInstanceWithTheLabelItNeeds) {
  this->AddLabelled(kBusy, 1, "b");
  this->AddInstances(kBusy, 5);
  this->AddInstances(kQuiet, 2);
  this->AddIdle(0);
  this->Demand(kBusy, "b", 1'000);
  this->demand[kQuiet].short_millicores = 3 * kCores;
  const CapacityOutput output = this->Plan();
  ASSERT_FALSE(output.orders.empty());
  for (const InstanceOrder& order : output.orders) {
    EXPECT_TRUE(this->facts[order.instance].labels.empty());
  }
}

TEST_F(CapacityPlannerTest, AFencedLeaderGivesNoMoreOrders) {
  this->AddInstances(kBusy, 2);
  this->AddInstances(kQuiet, 2);
  this->AddIdle(3);
  this->demand[kBusy].short_millicores = 2 * kCores;
  const CapacityOutput output = this->Plan();
  ASSERT_EQ(output.orders.size(), 1U);
  this->planner.HandleOrderResult(output.orders[0], InstanceResult::kFenced,
                                  this->now);
  this->now += Milliseconds(2'000);
  EXPECT_TRUE(this->Plan().orders.empty());
}

}  // namespace
}  // namespace sumac::maintenance
