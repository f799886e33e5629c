// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/instance_division.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace sumac::maintenance {
namespace {

using enum WorkClass;
using Needs = std::map<ServiceName, PoolNeed>;

const ServiceName kFirst("first");
const ServiceName kSecond("second");
const ServiceName kThird("third");
constexpr std::array kClasses = {kStanding, kInTime, kLate, kWorthless};

PoolNeed Need(std::int64_t standing,
              std::int64_t in_time,
              std::int64_t late,
              std::int64_t worthless) {
  PoolNeed need;
  need[kStanding] = standing;
  need[kInTime] = in_time;
  need[kLate] = late;
  need[kWorthless] = worthless;
  return need;
}

TEST(InstanceDivisionTest, EachPoolGetsWhatItNeedsWhileThereIsEnough) {
  const auto parts = DivideInstances(
      {{kFirst, Need(1, 5, 6, 8)}, {kSecond, Need(0, 3, 3, 4)}}, 20);
  EXPECT_EQ(parts.at(kFirst)[kWorthless], 8);
  EXPECT_EQ(parts.at(kSecond)[kWorthless], 4);
}

TEST(InstanceDivisionTest, APoolThatNeedsLittleGetsItAndOthersEqualNumbers) {
  const auto parts = DivideInstances({{kFirst, Need(0, 100, 100, 100)},
                                      {kSecond, Need(0, 4, 4, 4)},
                                      {kThird, Need(0, 40, 40, 40)}},
                                     24);
  EXPECT_EQ(parts.at(kSecond)[kInTime], 4);
  EXPECT_EQ(parts.at(kFirst)[kInTime], 10);
  EXPECT_EQ(parts.at(kThird)[kInTime], 10);
}

// A queue's turn is over, and its late backlog would fill every instance. The
// queue whose turn has come gets what its work in time needs.
TEST(InstanceDivisionTest, ALateBacklogGivesWayToWorkInTime) {
  const auto parts = DivideInstances(
      {{kFirst, Need(2, 5, 300, 900)}, {kSecond, Need(2, 90, 95, 95)}}, 100);
  EXPECT_EQ(parts.at(kSecond)[kInTime], 90);
  EXPECT_EQ(parts.at(kFirst)[kInTime], 5);
  // Late work of both shares what is left.
  EXPECT_EQ(parts.at(kFirst)[kLate], 7);
  EXPECT_EQ(parts.at(kSecond)[kLate], 93);
}

TEST(InstanceDivisionTest, LongRunningTasksGoBeforeAllElse) {
  const auto parts = DivideInstances(
      {{kFirst, Need(10, 10, 10, 10)}, {kSecond, Need(0, 90, 90, 90)}}, 12);
  EXPECT_EQ(parts.at(kFirst)[kInTime], 10);
  EXPECT_EQ(parts.at(kSecond)[kInTime], 2);
}

PoolNeed DrawNeed() {
  std::vector<int> steps =
      *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 200));
  for (std::size_t number = 1; number < steps.size(); ++number) {
    steps[number] += steps[number - 1];
  }
  return Need(steps[0], steps[1], steps[2], steps[3]);
}

RC_GTEST_PROP(InstanceDivisionTest, NoInstanceIsLeftOverOrCountedTwice, ()) {
  Needs needs;
  const auto pools = *rc::gen::inRange(1, 12);
  for (int number = 0; number < pools; ++number) {
    needs[ServiceName(std::to_string(number))] = DrawNeed();
  }
  const std::int64_t instances = *rc::gen::inRange(0, 6'000);
  const Needs parts = DivideInstances(needs, instances);
  for (const WorkClass work : kClasses) {
    std::int64_t needed = 0;
    std::int64_t divided = 0;
    for (const auto& [pool, need] : needs) {
      needed += need[work];
      divided += parts.at(pool)[work];
      RC_ASSERT(parts.at(pool)[work] <= need[work]);
    }
    RC_ASSERT(divided == std::min(needed, instances));
  }
}

}  // namespace
}  // namespace sumac::maintenance
