// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {
namespace {

constexpr Milliseconds kNearRun{800};
constexpr std::int64_t kWholeWorker = 8'000;

// One worker in each of two racks; the one of r1 is full at first.
class NearDataTest : public testing::Test {
 protected:
  NearDataTest() : fleet(1) {
    this->fleet.work = kNearRun;
    this->fleet.Submit("first", {.count = 1,
                                 .need = {.millicores = kWholeWorker},
                                 .estimate = kNearRun});
    this->fleet.PassTime(Milliseconds(300));
    this->fleet.AddWorker("far", "m9", "r2");
    this->fleet.PassTime(Milliseconds(200));
  }
  void SubmitNear(const std::string& rack) {
    this->fleet.Submit("near", {.count = 1,
                                .need = {.millicores = kWholeWorker},
                                .estimate = kNearRun,
                                .data_rack = Rack(rack)});
  }
  std::vector<std::string> Workers() const {
    return this->fleet.WorkersOf("near");
  }

  FakeFleet fleet;
};

// A third of the jobs named the rack of their data. Whenever nothing was free
// there they started elsewhere at once and took three times as long, so that a
// fleet that was nearly full had no room left at all: 2,582 of 15,970 runs were
// far from their data, and half of the jobs were late.
TEST_F(NearDataTest, ATaskWaitsForRoomNearItsDataThatIsFreeSoon) {
  this->SubmitNear("r1");
  this->fleet.PassTime(Milliseconds(200));
  EXPECT_TRUE(this->Workers().empty());
  this->fleet.PassTime(Milliseconds(500));
  EXPECT_EQ(this->Workers(), std::vector<std::string>{"w0"});
  EXPECT_EQ(this->fleet.problem, "");
}

TEST_F(NearDataTest, TheWaitIsGivenUpAfterTheTimeOfARun) {
  this->fleet.work = Milliseconds(60'000);
  this->fleet.Submit("second", {.count = 1,
                                .need = {.millicores = kWholeWorker},
                                .estimate = Milliseconds(60'000),
                                .data_rack = Rack("r1")});
  // The second job waits for the first one's room and keeps it.
  this->fleet.PassTime(Milliseconds(600));
  ASSERT_EQ(this->fleet.WorkersOf("second"), std::vector<std::string>{"w0"});
  this->SubmitNear("r1");
  this->fleet.PassTime(kNearRun - Milliseconds(100));
  EXPECT_TRUE(this->Workers().empty());
  this->fleet.PassTime(Milliseconds(300));
  EXPECT_EQ(this->Workers(), std::vector<std::string>{"far"});
}

TEST_F(NearDataTest, ATaskDoesNotWaitWhereNoWorkerIsNear) {
  this->SubmitNear("r7");
  this->fleet.PassTime(Milliseconds(200));
  EXPECT_EQ(this->Workers(), std::vector<std::string>{"far"});
}

}  // namespace
}  // namespace sumac::scheduler
