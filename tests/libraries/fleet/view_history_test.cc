// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/view_history.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "libraries/codec/json_writer.h"

namespace sumac::fleet {
namespace {

RoutedMinion MakeMinion(int number, bool can_take_work) {
  return RoutedMinion{.name = InstanceName("m" + std::to_string(number)),
                      .can_take_work = can_take_work};
}

View MakeView(std::uint64_t version,
              const std::map<int, bool>& minions,
              std::uint32_t most_queued = 1) {
  View view{.version = version,
            .services = {
                Service{.name = ServiceName("s"), .most_queued = most_queued}}};
  for (const auto& [number, can_take_work] : minions) {
    view.minions.push_back(MakeMinion(number, can_take_work));
  }
  return view;
}

// Order of minions in a view does not matter.
std::string Canonical(View view) {
  std::sort(view.minions.begin(), view.minions.end(),
            [](const auto& left, const auto& right) {
              return left.name < right.name;
            });
  return ToJson(view).dump();
}

RC_GTEST_PROP(ViewHistoryTest, AnyFollowerEndsWithTheWholeView, ()) {
  ViewHistory history;
  std::map<int, bool> minions;
  std::vector<View> followers;
  std::uint32_t most_queued = 1;
  for (std::uint64_t version = 1; version <= 30; ++version) {
    const int number = *rc::gen::inRange(0, 6);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        minions.erase(number);
        break;
      case 1:
        ++most_queued;
        break;
      default:
        minions[number] = *rc::gen::arbitrary<bool>();
        break;
    }
    const View whole = MakeView(version, minions, most_queued);
    history.RecordView(whole);
    followers.push_back(whole);
  }
  for (const View& follower : followers) {
    const auto delta = history.DeltaSince(follower.version);
    RC_ASSERT(delta.has_value());
    RC_ASSERT(Canonical(ApplyDelta(follower, *delta)) ==
              Canonical(history.latest()));
  }
}

TEST(ViewHistoryTest, ADeltaHoldsOnlyWhatChanged) {
  ViewHistory history;
  std::map<int, bool> minions;
  for (int number = 0; number < 1'000; ++number) {
    minions[number] = true;
  }
  history.RecordView(MakeView(1, minions));
  minions[7] = false;
  history.RecordView(MakeView(2, minions));
  const auto delta = history.DeltaSince(1);
  ASSERT_TRUE(delta);
  EXPECT_EQ(delta->minions.size(), 1U);
  EXPECT_FALSE(delta->has_services);
}

TEST(ViewHistoryTest, AFollowerTooFarBehindGetsTheWholeView) {
  ViewHistory history;
  history.RecordView(MakeView(5, {{1, true}}));
  EXPECT_FALSE(history.DeltaSince(0));
  EXPECT_FALSE(history.DeltaSince(4));
  EXPECT_TRUE(history.DeltaSince(5));
  // A follower that claims to be ahead is not believed.
  EXPECT_FALSE(history.DeltaSince(6));
  std::map<int, bool> minions;
  for (std::uint64_t version = 6;
       version < 6 + 2 * ViewHistory::kMaxRemovedMinions + 10; ++version) {
    minions = {{static_cast<int>(version), true}};
    history.RecordView(MakeView(version, minions));
  }
  EXPECT_FALSE(history.DeltaSince(6));
}

}  // namespace
}  // namespace sumac::fleet
