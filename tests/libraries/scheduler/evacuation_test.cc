// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include <string>

#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {
namespace {

constexpr const char* kFirst = "dc-a";
constexpr const char* kSecond = "dc-b";

// A fleet with one worker in each of two data centres.
class EvacuationTest : public testing::Test {
 protected:
  EvacuationTest() : fleet(0) {
    this->fleet.work = Milliseconds(20'000);
    this->fleet.AddWorker("a", "m-a", "r1", "previews", kFirst);
    this->fleet.AddWorker("b", "m-b", "r2", "previews", kSecond);
    this->fleet.PassTime(Milliseconds(100));
  }
  std::size_t CountRunsOn(const std::string& job, const std::string& worker) {
    std::size_t count = 0;
    for (const std::string& name : this->fleet.WorkersOf(job)) {
      count += static_cast<std::size_t>(name == worker);
    }
    return count;
  }

  FakeFleet fleet;
};

TEST_F(EvacuationTest, NothingStartsInAnEvacuatedDataCentre) {
  this->fleet.ChangeDataCentre(kFirst, jobs::DataCentreUse::kEvacuated);
  this->fleet.Submit("j", {.count = 16});
  this->fleet.PassTime(Milliseconds(2'000));
  EXPECT_EQ(this->CountRunsOn("j", "a"), 0U);
  EXPECT_EQ(this->CountRunsOn("j", "b"), 8U);
  this->fleet.ChangeDataCentre(kFirst, jobs::DataCentreUse::kInUse);
  this->fleet.PassTime(Milliseconds(2'000));
  EXPECT_EQ(this->CountRunsOn("j", "a"), 8U);
  EXPECT_EQ(this->fleet.problem, "");
}

TEST_F(EvacuationTest, WhatRunsInAnEvacuatedDataCentreContinues) {
  this->fleet.Submit("j", {.count = 16});
  this->fleet.PassTime(Milliseconds(500));
  this->fleet.ChangeDataCentre(kFirst, jobs::DataCentreUse::kEvacuated);
  this->fleet.PassTime(Milliseconds(5'000));
  EXPECT_EQ(this->CountRunsOn("j", "a"), 8U);
  EXPECT_EQ(this->fleet.problem, "");
}

TEST_F(EvacuationTest, ANewLeaderStartsNothingInAnEvacuatedDataCentre) {
  this->fleet.ChangeDataCentre(kFirst, jobs::DataCentreUse::kEvacuated);
  this->fleet.PassTime(Milliseconds(100));
  this->fleet.ChangeLeader();
  this->fleet.Submit("j", {.count = 16});
  this->fleet.PassTime(Milliseconds(5'000));
  EXPECT_EQ(this->CountRunsOn("j", "a"), 0U);
  EXPECT_EQ(this->CountRunsOn("j", "b"), 8U);
}

TEST_F(EvacuationTest, AWorkerThatAppearsDuringAnEvacuationGetsNoStart) {
  this->fleet.ChangeDataCentre(kFirst, jobs::DataCentreUse::kEvacuated);
  this->fleet.AddWorker("c", "m-c", "r1", "previews", kFirst);
  this->fleet.PassTime(Milliseconds(100));
  this->fleet.Submit("j", {.count = 16});
  this->fleet.PassTime(Milliseconds(2'000));
  EXPECT_EQ(this->CountRunsOn("j", "c"), 0U);
}

}  // namespace
}  // namespace sumac::scheduler
