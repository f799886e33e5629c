// SPDX-License-Identifier: Apache-2.0
// Guards against an instance that stays cordoned for a move while a task that
// has no other place waits for it.
#include "libraries/maintenance/move_table.h"

#include <gtest/gtest.h>

namespace sumac::maintenance {
namespace {

const InstanceName kInstance("m1");

class MoveTableTest : public testing::Test {
 protected:
  MoveTableTest()
      : state([](std::string_view) { return jobs::JobsDeclaration(); }) {
    this->state.Apply({WallTime{}, jobs::BeginEpoch{}});
    this->facts[kInstance] =
        InstanceFacts{.worker = WorkerId("w1"), .other_runs = 1};
    this->moves.Begin(kInstance, {.to = ServiceName("to"),
                                  .worker = WorkerId("w1"),
                                  .since = this->now});
  }

  // Returns the orders of one pass, with its records committed.
  std::vector<InstanceOrder> Advance() {
    this->now += Milliseconds(100);
    CapacityOutput output;
    this->moves.Advance(this->state, this->facts, this->evacuated, this->now,
                        output);
    this->is_cordoned = output.cordoned.contains(kInstance);
    for (jobs::Command& command : output.commands) {
      this->state.Apply(
          {WallTime(this->now.time_since_epoch()), std::move(command)});
    }
    return output.orders;
  }
  // Empties the instance and passes until the order is given.
  InstanceOrder AwaitOrder() {
    this->facts[kInstance].other_runs = 0;
    for (int pass = 0; pass < 10; ++pass) {
      const auto orders = this->Advance();
      if (!orders.empty()) {
        return orders.front();
      }
    }
    ADD_FAILURE() << "no order";
    return {};
  }

  jobs::JobsState state;
  SteadyTime now{Milliseconds(10'000)};
  MoveTable moves{MoveSettings(), ProcessName("c1"), LeaderEpoch(1)};
  EvacuatedInstances evacuated;
  std::map<InstanceName, InstanceFacts> facts;
  bool is_cordoned = false;
};

TEST_F(MoveTableTest, AMoveThatDrainsGivesWay) {
  this->Advance();
  EXPECT_TRUE(this->is_cordoned);
  this->facts[kInstance].is_needed = true;
  this->Advance();
  EXPECT_FALSE(this->is_cordoned);
  EXPECT_TRUE(this->moves.IsPaused(kInstance, this->now));
  EXPECT_FALSE(this->moves.IsPaused(kInstance,
                                    this->now + CordonPauses::kShortestPause));
}

TEST_F(MoveTableTest, AMoveWhoseOrderIsRefusedGivesWay) {
  const InstanceOrder order = this->AwaitOrder();
  this->facts[kInstance].is_needed = true;
  // Its order is under way.
  this->Advance();
  EXPECT_TRUE(this->is_cordoned);
  this->moves.HandleOrderResult(order, InstanceResult::kRefused, this->now);
  this->Advance();
  EXPECT_FALSE(this->is_cordoned);
}

TEST_F(MoveTableTest, AMoveThatMayBeCarriedOutGivesNoWay) {
  const InstanceOrder order = this->AwaitOrder();
  this->moves.HandleOrderResult(order, InstanceResult::kUnknown, this->now);
  this->facts[kInstance].is_needed = true;
  this->Advance();
  EXPECT_TRUE(this->is_cordoned);
}

TEST_F(MoveTableTest, AMoveThatWasAcceptedGivesNoWay) {
  const InstanceOrder order = this->AwaitOrder();
  this->moves.HandleOrderResult(order, InstanceResult::kDone, this->now);
  this->facts[kInstance].is_needed = true;
  this->Advance();
  EXPECT_TRUE(this->is_cordoned);
}

}  // namespace
}  // namespace sumac::maintenance
