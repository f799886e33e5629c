// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/order_gate.h"

#include <gtest/gtest.h>

#include <string_view>

#include "libraries/jobs/data_centre_use.h"

namespace sumac::daemon {
namespace {

const WorkerId kWorker("w-a");

class OrderGateTest : public testing::Test {
 protected:
  OrderGateTest()
      : state([](std::string_view) { return jobs::JobsDeclaration(); }) {
    this->state.Apply(
        {WallTime{}, jobs::RecordWorker{{.id = kWorker,
                                         .instance = InstanceName("m-a"),
                                         .service = ServiceName("previews"),
                                         .data_centre = DataCentre("dc-a"),
                                         .address = "a",
                                         .capacity = {.millicores = 1'000},
                                         .sequence = 1}}});
  }
  void Evacuate() {
    this->state.Apply({WallTime{}, jobs::ChangeDataCentre{
                                       .data_centre = DataCentre("dc-a"),
                                       .use = jobs::DataCentreUse::kEvacuated,
                                       .expected_version = 0}});
  }

  jobs::JobsState state;
};

// A pass chose the worker before the evacuation was applied.
TEST_F(OrderGateTest, AStartThatWasChosenBeforeTheEvacuationDoesNotLeave) {
  const scheduler::Order start = scheduler::StartOrder{.worker = kWorker};
  EXPECT_TRUE(MayLeave(start, this->state, true));
  this->Evacuate();
  EXPECT_FALSE(MayLeave(start, this->state, true));
}

TEST_F(OrderGateTest, WhatRunsInAnEvacuatedDataCentreCanBeStopped) {
  this->Evacuate();
  EXPECT_TRUE(
      MayLeave(scheduler::StopOrder{.worker = kWorker}, this->state, true));
  EXPECT_TRUE(
      MayLeave(scheduler::PaceOrder{.worker = kWorker}, this->state, true));
}

TEST_F(OrderGateTest, NothingLeavesAProcessWithoutItsLease) {
  EXPECT_FALSE(
      MayLeave(scheduler::StartOrder{.worker = kWorker}, this->state, false));
  EXPECT_FALSE(
      MayLeave(scheduler::StopOrder{.worker = kWorker}, this->state, false));
}

TEST_F(OrderGateTest, AWorkerThatIsNotRecordedYetIsNotInTheWay) {
  EXPECT_TRUE(MayStartOn(this->state, WorkerId("unknown")));
}

}  // namespace
}  // namespace sumac::daemon
