// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/data_centre_spread.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace sumac::scheduler {
namespace {

const DataCentre kFirst("dc-a");
const DataCentre kSecond("dc-b");
const DataCentre kThird("dc-c");

// Places tasks one after the other, each in the best data centre that has room
// left; among equals in the first, as packing does.
DataCentreSpread Place(DataCentreWish wish,
                       const std::set<DataCentre>& known,
                       std::map<DataCentre, std::uint32_t> room,
                       std::uint32_t tasks) {
  DataCentreSpread spread(wish, known);
  for (std::uint32_t task = 0; task < tasks; ++task) {
    auto best = room.end();
    for (auto place = room.begin(); place != room.end(); ++place) {
      if (place->second > 0 &&
          (best == room.end() ||
           spread.RankOf(place->first) < spread.RankOf(best->first))) {
        best = place;
      }
    }
    if (best == room.end()) {
      break;
    }
    --best->second;
    spread.Add(best->first);
  }
  return spread;
}

TEST(DataCentreSpreadTest, StepsThatLastOrHaveABudgetAreApartAndGangsTogether) {
  EXPECT_EQ(WishFor({.count = 3}), DataCentreWish::kNone);
  EXPECT_EQ(WishFor({.count = 3, .is_long_running = true}),
            DataCentreWish::kApart);
  EXPECT_EQ(WishFor({.count = 3, .has_disruption_budget = true}),
            DataCentreWish::kApart);
  EXPECT_EQ(WishFor({.count = 3, .is_gang = true}), DataCentreWish::kTogether);
}

// What the loss of any one data centre leaves of a step's tasks, spread and
// packed.
TEST(DataCentreSpreadTest, ALossLeavesMoreOfWhatIsApart) {
  struct Case {
    std::array<std::uint32_t, 3> room;
    std::uint32_t tasks;
    std::uint32_t left_apart;
    std::uint32_t left_together;
  };
  const std::vector<Case> cases = {
      {{10, 10, 10}, 2, 1, 0}, {{10, 10, 10}, 3, 2, 0},
      {{10, 10, 10}, 6, 4, 0}, {{10, 10, 10}, 12, 8, 2},
      {{10, 1, 0}, 4, 1, 0},   {{10, 0, 0}, 4, 0, 0},
  };
  const std::set<DataCentre> known;
  for (const Case& example : cases) {
    const std::map<DataCentre, std::uint32_t> room = {
        {kFirst, example.room[0]},
        {kSecond, example.room[1]},
        {kThird, example.room[2]}};
    const auto left = [&](DataCentreWish wish) {
      return Place(wish, known, room, example.tasks).CountLeftAfterLoss();
    };
    EXPECT_EQ(left(DataCentreWish::kApart), example.left_apart);
    EXPECT_EQ(left(DataCentreWish::kTogether), example.left_together);
    EXPECT_EQ(left(DataCentreWish::kNone), example.left_together);
  }
}

TEST(DataCentreSpreadTest, ADataCentreThatNoSettingsHoldComesLast) {
  const std::set<DataCentre> known = {kFirst, kSecond};
  DataCentreSpread spread(DataCentreWish::kApart, known);
  spread.Add(kFirst);
  spread.Add(kThird);
  EXPECT_LT(spread.RankOf(kSecond), spread.RankOf(kFirst));
  EXPECT_LT(spread.RankOf(kFirst), spread.RankOf(kThird));
  EXPECT_EQ(spread.CountLeftAfterLoss(), 0U);
}

}  // namespace
}  // namespace sumac::scheduler
