// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {
namespace {

constexpr Milliseconds kNearRun{800};
constexpr std::int64_t kWholeWorker = 8'000;

// A fleet with one worker in each of two racks; the worker in r1 is full at
// first.
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

// Guards against starting a task far from its data as soon as there is no room
// near it. Such a run took three times as long, so a nearly full fleet had no
// room left. With the rack of their data named by a third of the jobs, 2,582 of
// 15,970 runs were far from their data and half of the jobs were late.
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
  // The second job waits for the room of the first one and then keeps it.
  this->fleet.PassTime(Milliseconds(600));
  ASSERT_EQ(this->fleet.WorkersOf("second"), std::vector<std::string>{"w0"});
  this->SubmitNear("r1");
  this->fleet.PassTime(kNearRun - Milliseconds(100));
  EXPECT_TRUE(this->Workers().empty());
  this->fleet.PassTime(Milliseconds(300));
  EXPECT_EQ(this->Workers(), std::vector<std::string>{"far"});
}

// Guards against a job that has nothing running for as long as a client
// estimated, while most of its service is idle.
TEST_F(NearDataTest, TheWaitIsShortWhileHalfOfTheServiceIsFree) {
  this->fleet.AddWorker("far2", "m8", "r2");
  this->fleet.work = Milliseconds(60'000);
  this->fleet.Submit("second", {.count = 1,
                                .need = {.millicores = kWholeWorker},
                                .estimate = Milliseconds(60'000),
                                .data_rack = Rack("r1")});
  this->fleet.PassTime(Milliseconds(1'000));
  ASSERT_EQ(this->fleet.WorkersOf("second"), std::vector<std::string>{"w0"});
  this->fleet.Submit("near", {.count = 1,
                              .need = {.millicores = 1'000},
                              .estimate = Milliseconds(12'000),
                              .data_rack = Rack("r1")});
  this->fleet.PassTime(NearWait::kMaxWaitBesideRoom - Milliseconds(200));
  EXPECT_TRUE(this->Workers().empty());
  this->fleet.PassTime(Milliseconds(400));
  EXPECT_EQ(this->Workers().size(), 1U);
}

TEST_F(NearDataTest, ATaskDoesNotWaitWhereNoWorkerIsNear) {
  this->SubmitNear("r7");
  this->fleet.PassTime(Milliseconds(200));
  EXPECT_EQ(this->Workers(), std::vector<std::string>{"far"});
}

}  // namespace
}  // namespace sumac::scheduler
