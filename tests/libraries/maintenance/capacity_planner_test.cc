// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/capacity_planner.h"

#include <gtest/gtest.h>

namespace sumac::maintenance {
namespace {

const ServiceName kBusy("busy");
const ServiceName kQuiet("quiet");
const ServiceName kOff("off");
constexpr std::int64_t kCores = 16'000;

// Three pools, one of which is switched off, with numbered instances and a
// clock that the test advances.
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
                        .capacity = {.millicores = kCores}};
    }
  }
  // Adds instances that have a label.
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
  // Adds demand of tasks of a service that require a label.
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
  // Delivers a list that was requested now.
  void DeliverList(std::vector<ListedInstance> rows) {
    this->listing.RecordList(std::move(rows), this->now);
    this->planner.UpdateListing(this->listing);
  }
  // Runs two planning passes and commits their commands. Returns the output of
  // the first, with the orders of the second, which follow once the commands
  // are committed.
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
  // Gives a pool one instance too many, which the planner orders to the
  // switched-off pool. Returns the instance.
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
  // Returns the pools that the orders of a plan name.
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

TEST_F(CapacityPlannerTest, APoolThatNeedsInstancesGetsThoseThatAreOffFirst) {
  this->AddInstances(kBusy, 2);
  this->AddInstances(kQuiet, 6);
  this->AddIdle(1);
  this->demand[kBusy].short_millicores = 4 * kCores * 8 / 10;
  this->demand[kQuiet] = {};
  const CapacityOutput output = this->Plan();
  EXPECT_EQ(PoolsOf(output), (std::vector<std::string>{"busy", "busy"}));
  EXPECT_TRUE(output.cordoned.contains(InstanceName("idle0")));
}

// Two services rush one after the other, and together they need more instances
// than there are.
TEST_F(CapacityPlannerTest, APoolThatAsksFirstDoesNotKeepWhatALaterOneNeeds) {
  this->AddInstances(kBusy, 10);
  this->AddInstances(kQuiet, 2);
  this->demand[kBusy].short_millicores = 20 * kCores;
  this->demand[kQuiet].short_millicores = 20 * kCores;
  EXPECT_EQ(PoolsOf(this->Plan()),
            (std::vector<std::string>{"quiet", "quiet", "quiet", "quiet"}));
}

TEST_F(CapacityPlannerTest, APoolWithHalfOfItsPartTakesNoneFromTheOthers) {
  this->AddInstances(kBusy, 8);
  this->AddInstances(kQuiet, 4);
  this->demand[kBusy].short_millicores = 20 * kCores;
  this->demand[kQuiet].short_millicores = 20 * kCores;
  EXPECT_TRUE(this->Plan().orders.empty());
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

TEST_F(CapacityPlannerTest, AMoveIsCommittedBeforeItIsOrdered) {
  this->AddInstances(kBusy, 2);
  this->AddIdle(1);
  this->demand[kBusy].short_millicores = 2 * kCores;
  const CapacityOutput first = this->PlanOnce();
  EXPECT_TRUE(first.orders.empty());
  EXPECT_EQ(first.commands.size(), 1U);
  EXPECT_EQ(this->PlanOnce().orders.size(), 1U);
}

// The previous leader was about to move the instance, and may just have sent
// its order.
TEST_F(CapacityPlannerTest,
       ANewLeaderWaitsWithInstancesThatThePreviousOneMoved) {
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

// A step whose tasks must run on different instances needs that many instances,
// however little the tasks use.
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
  // One of the instances is about to be maintained, so another replaces it.
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
  this->now += MoveSettings().retry;
  EXPECT_EQ(this->Plan().orders.size(), 1U);
}

TEST_F(CapacityPlannerTest, AMoveRemovesTheWorkerOfTheInstance) {
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

// An instance counts in the switched-off pool from the moment it was ordered
// there, but the platform accepts no further order about it before it has
// arrived.
TEST_F(CapacityPlannerTest,
       AnInstanceThatWasJustSwitchedOffIsUsedOnceItArrived) {
  const InstanceName moved = this->SwitchOneOff();
  this->DeliverList(
      {{.name = moved, .service = kQuiet, .state = InstanceState::kMoving}});
  this->demand[kBusy].short_millicores = 2 * kCores;
  this->now += MoveSettings().move_time / 2;
  EXPECT_TRUE(this->Plan().orders.empty());
  this->now += MoveSettings().move_time / 2;
  const CapacityOutput again = this->Plan();
  ASSERT_EQ(PoolsOf(again), std::vector<std::string>{"busy"});
  EXPECT_EQ(again.orders[0].instance, moved);
}

// Guards against an unused instance: a list that was requested before a move
// and arrives after it shows the instance in its previous pool. The instance
// then did not count as switched off until the next list, 15 s later.
TEST_F(CapacityPlannerTest, AListFromBeforeAMoveDoesNotUndoIt) {
  const SteadyTime requested_at = this->now;
  const InstanceName moved = this->SwitchOneOff();
  this->listing.RecordList(
      {{.name = moved, .service = kQuiet, .state = InstanceState::kUp}},
      requested_at);
  this->planner.UpdateListing(this->listing);
  this->demand[kBusy].short_millicores = 2 * kCores;
  this->now += MoveSettings().move_time;
  EXPECT_EQ(PoolsOf(this->Plan()), std::vector<std::string>{"busy"});
}

// The record of a move keeps the next leader from giving orders about the
// instance for some seconds, and from starting tasks on the worker that ends.
// Guards against a second move of an instance that leaves the record of the
// first in place.
TEST_F(CapacityPlannerTest, EachMoveOfAnInstanceIsRecorded) {
  const InstanceName moved = this->SwitchOneOff();
  this->demand[kBusy].short_millicores = 2 * kCores;
  this->now += MoveSettings().move_time;
  const WallTime second_at = this->wall();
  std::vector<InstanceOrder> orders;
  for (int pass = 0; pass < 5 && orders.empty(); ++pass) {
    orders = this->PlanOnce().orders;
  }
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_GT(this->state.record().moves.at(moved).at, second_at);
}

// Guards against an early end of the cordon: an announcement of an earlier
// incarnation that arrives while the instance moves must not count as its
// arrival.
TEST_F(CapacityPlannerTest, AnAnnouncementAloneIsNoArrival) {
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

// A backlog that is too late has no value: it may use only instances that are
// switched off.
TEST_F(CapacityPlannerTest,
       LateWorkUsesOnlyInstancesThatAreOffAndGivesThemBack) {
  this->AddInstances(kBusy, 2);
  this->AddInstances(kQuiet, 4);
  this->AddIdle(1);
  this->demand[kBusy].late_millicores = 10 * kCores;
  this->demand[kQuiet] = {};
  const CapacityOutput output = this->Plan();
  ASSERT_EQ(PoolsOf(output), std::vector<std::string>{"busy"});
  EXPECT_EQ(output.orders[0].instance, InstanceName("idle0"));
  // Another pool needs more than it has, and is given instances before late
  // work.
  this->AddInstances(kBusy, 4);
  this->demand[kQuiet].short_millicores = 6 * kCores;
  for (const std::string& pool : PoolsOf(this->Plan())) {
    EXPECT_EQ(pool, "quiet");
  }
  EXPECT_FALSE(this->planner.MovingInstances().empty());
}

// Guards against a pool that grows by its demand for cores alone. A third of
// the tasks required a label that one instance in ten has: the pool grew to 38
// of 49 instances, 35 of them without the label. The tasks still could not be
// placed, and the other services lacked instances.
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

// The pool has enough instances, but none of them can run the waiting tasks.
TEST_F(CapacityPlannerTest, AFullPoolExchangesAnInstanceWithTheLabel) {
  this->AddInstances(kBusy, 4);
  this->AddInstances(kQuiet, 3);
  this->AddLabelled(kQuiet, 1, "b");
  this->AddIdle(0);
  this->demand[kQuiet].short_millicores = 3 * kCores;
  this->Demand(kBusy, "b", 1'000);
  // An instance without the label moves the other way in exchange.
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

// An order that the platform accepted late lost its cordon with the acceptance,
// and runs were sent to the worker that was gone.
TEST_F(CapacityPlannerTest, AMoveThatIsAcceptedLateStaysCordoned) {
  this->AddInstances(kBusy, 2);
  this->AddInstances(kQuiet, 4);
  this->AddIdle(0);
  this->demand[kBusy].short_millicores = 2 * kCores;
  this->demand[kQuiet] = {};
  const CapacityOutput output = this->Plan();
  ASSERT_EQ(output.orders.size(), 1U);
  const InstanceName moved = output.orders[0].instance;
  this->now += Milliseconds(5'000);
  this->planner.HandleOrderResult(output.orders[0], InstanceResult::kDone,
                                  this->now);
  EXPECT_TRUE(this->Plan().cordoned.contains(moved));
  this->now += Milliseconds(2'000);
  EXPECT_TRUE(this->Plan().cordoned.contains(moved));
}

TEST_F(CapacityPlannerTest, APoolThatIsFullWillGrowByWhatItGets) {
  this->AddInstances(kBusy, 2);
  this->AddInstances(kQuiet, 2);
  this->AddIdle(4);
  this->demand[kBusy].short_millicores = 4 * kCores;
  for (auto& [name, instance] : this->facts) {
    instance.load_permille = instance.service == kBusy ? 900 : 0;
  }
  EXPECT_EQ(this->planner.ExpectedGrowth(kBusy), 1);
  this->Plan();
  // Four instances and a reserve of 150 in 1,000 make five.
  EXPECT_EQ(this->planner.ExpectedGrowth(kBusy), 2.5);
  EXPECT_EQ(this->planner.ExpectedGrowth(kQuiet), 1);
}

// What keeps jobs waiting then is not the number of instances.
TEST_F(CapacityPlannerTest, APoolThatIsNotFullPromisesNoGrowth) {
  this->AddInstances(kBusy, 2);
  this->AddIdle(4);
  this->demand[kBusy].short_millicores = 4 * kCores;
  this->Plan();
  EXPECT_EQ(this->planner.ExpectedGrowth(kBusy), 1);
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
