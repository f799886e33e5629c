// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/lost_data_centres.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <vector>

namespace sumac::scheduler {
namespace {

const DataCentre kFirst("dc-a");
const DataCentre kSecond("dc-b");
const DataCentre kThird("dc-c");

SteadyTime At(std::int64_t milliseconds) {
  return SteadyTime(Milliseconds(milliseconds));
}

class LostDataCentresTest : public testing::Test {
 protected:
  // Handles a census in which the first data centre has `workers`, of which
  // some have been silent since these times, and the others are whole.
  std::vector<DataCentreChange> HandleCensus(
      std::size_t workers,
      const std::vector<std::int64_t>& silent,
      std::int64_t now) {
    std::map<DataCentre, DataCentreCensus> census = {
        {kFirst, {.workers = workers}},
        {kSecond, {.workers = 10}},
        {kThird, {.workers = 10}}};
    for (const std::int64_t since : silent) {
      census[kFirst].silent_since.push_back(At(since));
    }
    return this->lost.HandleCensus(census, At(now));
  }

  LostDataCentres lost{1};
};

TEST_F(LostDataCentresTest, WorkersThatFallSilentTogetherAreOneLoss) {
  const auto changes =
      this->HandleCensus(8, {1'000, 1'100, 1'200, 1'900, 2'400, 2'500}, 2'600);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].data_centre, kFirst);
  EXPECT_TRUE(changes[0].is_lost);
  EXPECT_EQ(changes[0].gone, 6U);
  EXPECT_TRUE(this->lost.IsLost(kFirst));
  EXPECT_FALSE(this->lost.IsLost(kSecond));
  // It is one event, however often the workers are counted.
  EXPECT_TRUE(
      this->HandleCensus(8, {1'000, 1'000, 1'000, 1'000, 1'000, 1'000}, 2'700)
          .empty());
}

TEST_F(LostDataCentresTest, HalfOfTheWorkersAreNoLoss) {
  EXPECT_TRUE(
      this->HandleCensus(8, {1'000, 1'000, 1'000, 1'000}, 2'600).empty());
}

TEST_F(LostDataCentresTest, AFewWorkersMayHaveBeenCrashedByATask) {
  EXPECT_TRUE(this->HandleCensus(3, {1'000, 1'000, 1'000}, 1'100).empty());
}

TEST_F(LostDataCentresTest, WorkersThatFallSilentOneAfterTheOtherAreNoLoss) {
  EXPECT_TRUE(
      this->HandleCensus(4, {1'000, 3'000, 5'000, 7'000}, 7'100).empty());
}

TEST_F(LostDataCentresTest, EndedIncarnationsCountForAWhile) {
  for (int worker = 0; worker < 5; ++worker) {
    this->lost.RecordEnd(kFirst, At(1'000));
  }
  EXPECT_EQ(this->HandleCensus(1, {}, 1'200).size(), 1U);
  EXPECT_TRUE(this->lost.IsLost(kFirst));
  const auto changes = this->HandleCensus(6, {}, 20'000);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_FALSE(changes[0].is_lost);
  EXPECT_FALSE(this->lost.IsLost(kFirst));
}

TEST_F(LostDataCentresTest, ALossEndsWhenMostWorkersAnswerAgain) {
  this->HandleCensus(8, {1'000, 1'000, 1'000, 1'000, 1'000, 1'000}, 1'100);
  EXPECT_TRUE(
      this->HandleCensus(8, {1'000, 1'000, 1'000, 1'000}, 5'000).empty());
  EXPECT_TRUE(this->lost.IsLost(kFirst));
  EXPECT_EQ(this->HandleCensus(8, {1'000, 1'000, 1'000}, 6'000).size(), 1U);
  EXPECT_FALSE(this->lost.IsLost(kFirst));
}

// A task that crashes its workers, or a leader that is cut off itself, makes
// workers of all data centres silent.
TEST_F(LostDataCentresTest, MoreLossesThanToleratedAreNone) {
  const std::vector<SteadyTime> silent(8, At(1'000));
  EXPECT_TRUE(this->lost
                  .HandleCensus({{kFirst, {8, silent}}, {kSecond, {8, silent}}},
                                At(1'100))
                  .empty());
  EXPECT_FALSE(this->lost.IsLost(kFirst));
}

TEST_F(LostDataCentresTest, NothingIsLostWhereNoLossIsTolerated) {
  LostDataCentres off(0);
  off.RecordEnd(kFirst, At(1'000));
  EXPECT_TRUE(
      off.HandleCensus({{kFirst, {8, std::vector<SteadyTime>(8, At(1'000))}}},
                       At(1'100))
          .empty());
  EXPECT_FALSE(off.has_lost());
}

// Without a common cause nothing is recognised: whichever workers end, as long
// as a quarter of each data centre and a bit more remains.
RC_GTEST_PROP(LostDataCentresProperty,
              ScatteredEndsAreNeverALoss,
              (const std::vector<std::uint8_t>& ends)) {
  constexpr std::size_t kWorkers = 12;
  // Fewer than three quarters of the workers.
  constexpr std::size_t kMostGone = 8;
  LostDataCentres lost(1);
  std::map<DataCentre, std::size_t> gone;
  std::int64_t now = 1'000;
  for (const std::uint8_t end : ends) {
    now += end;
    const DataCentre& name = end % 2 == 0 ? kFirst : kSecond;
    if (gone[name] < kMostGone) {
      ++gone[name];
      lost.RecordEnd(name, At(now));
    }
    const auto changes =
        lost.HandleCensus({{kFirst, {.workers = kWorkers - gone[kFirst]}},
                           {kSecond, {.workers = kWorkers - gone[kSecond]}}},
                          At(now));
    RC_ASSERT(changes.empty());
  }
}

}  // namespace
}  // namespace sumac::scheduler
