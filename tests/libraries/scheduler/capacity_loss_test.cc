// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/capacity_loss.h"

#include <gtest/gtest.h>

namespace sumac::scheduler {
namespace {

const ServiceName kFirst("first");
const ServiceName kSecond("second");

TEST(CapacityLossTest, EachServiceLosesItsOwnShare) {
  CapacityLoss loss;
  loss.Add(kFirst, 3'000, true, true);
  loss.Add(kFirst, 1'000, true, false);
  loss.Add(kSecond, 4'000, true, false);
  EXPECT_DOUBLE_EQ(loss.LeftOf(kFirst), 0.75);
  EXPECT_DOUBLE_EQ(loss.LeftOf(kSecond), 0);
  EXPECT_DOUBLE_EQ(loss.all().Left(), 3.0 / 8);
}

// One data centre is evacuated while another has been for long.
TEST(CapacityLossTest, WhatWasLostBeforeIsNotLostAgain) {
  CapacityLoss loss;
  loss.Add(kFirst, 1'000, false, false);
  loss.Add(kFirst, 1'000, true, false);
  loss.Add(kFirst, 1'000, true, true);
  EXPECT_DOUBLE_EQ(loss.LeftOf(kFirst), 0.5);
}

TEST(CapacityLossTest, AReturnLosesNothing) {
  CapacityLoss loss;
  loss.Add(kFirst, 1'000, false, true);
  loss.Add(kFirst, 1'000, true, true);
  EXPECT_DOUBLE_EQ(loss.LeftOf(kFirst), 1);
  EXPECT_DOUBLE_EQ(loss.all().Left(), 1);
}

TEST(CapacityLossTest, AServiceWithoutWorkersHasNothingToLose) {
  CapacityLoss loss;
  EXPECT_DOUBLE_EQ(loss.LeftOf(kFirst), 1);
  loss.Add(kFirst, 1'000, false, true);
  EXPECT_DOUBLE_EQ(loss.LeftOf(kFirst), 1);
}

}  // namespace
}  // namespace sumac::scheduler
