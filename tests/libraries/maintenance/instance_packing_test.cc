// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/instance_packing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace sumac::maintenance {
namespace {

constexpr jobs::Resources kInstance = {.millicores = 16'000,
                                       .memory_mb = 65'536,
                                       .accelerators = 4};

std::int64_t CountInstances(std::vector<jobs::TaskGroup> groups) {
  InstancePacking packing(kInstance);
  packing.Add(std::move(groups));
  return packing.instances();
}

// Two jobs of 36 tasks in all waited for half a minute beside thousands of
// instances that were switched off: by their cores they need a third of the
// instances that they need by their memory.
TEST(InstancePackingTest, TasksThatAreLargeInMemoryFitTwoByTwo) {
  const jobs::Resources need = {.millicores = 2'400, .memory_mb = 31'000};
  EXPECT_EQ(CountInstances(
                {{.count = 24, .need = need}, {.count = 12, .need = need}}),
            18);
}

TEST(InstancePackingTest, TasksThatNeedAcceleratorsArePackedByThem) {
  EXPECT_EQ(CountInstances(
                {{.count = 9, .need = {.millicores = 100, .accelerators = 3}}}),
            9);
}

TEST(InstancePackingTest, AStepIsSpreadByItsMaximumPerWorker) {
  const jobs::Resources need = {.millicores = 1'000};
  EXPECT_EQ(CountInstances({{.count = 10, .need = need, .most_per_worker = 2}}),
            5);
  // The maximum holds for each step alone.
  EXPECT_EQ(CountInstances({{.count = 10, .need = need, .most_per_worker = 2},
                            {.count = 10, .need = need, .most_per_worker = 2}}),
            5);
}

TEST(InstancePackingTest, SmallTasksFillTheRoomBesideLargeOnes) {
  EXPECT_EQ(CountInstances({{.count = 30, .need = {.millicores = 1'000}},
                            {.count = 5, .need = {.millicores = 10'000}}}),
            5);
}

TEST(InstancePackingTest, ATaskThatFitsNoInstanceNeedsNone) {
  EXPECT_EQ(CountInstances({{.count = 3, .need = {.millicores = 17'000}}}), 0);
}

// First fit, one task at a time, with every instance kept open.
std::int64_t PackOneByOne(const std::vector<jobs::TaskGroup>& groups) {
  std::vector<jobs::Resources> rooms;
  for (const jobs::TaskGroup& group : groups) {
    std::vector<std::int64_t> of_step(rooms.size(), 0);
    for (std::int64_t task = 0; task < group.count; ++task) {
      std::size_t number = 0;
      while (number < rooms.size() &&
             !(rooms[number].Holds(group.need) &&
               (group.most_per_worker == 0 ||
                of_step[number] < group.most_per_worker))) {
        ++number;
      }
      if (number == rooms.size()) {
        rooms.push_back(kInstance);
        of_step.push_back(0);
      }
      rooms[number].Subtract(group.need);
      ++of_step[number];
    }
  }
  return static_cast<std::int64_t>(rooms.size());
}

rc::Gen<jobs::TaskGroup> DrawGroup() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(1, 40), rc::gen::inRange(200, 16'000),
                     rc::gen::inRange(0, 60'000), rc::gen::inRange(0, 5),
                     rc::gen::inRange(0, 4)),
      [](const auto& drawn) {
        const auto [count, millicores, memory, accelerators, most] = drawn;
        return jobs::TaskGroup{.count = count,
                               .need = {.millicores = millicores,
                                        .memory_mb = memory,
                                        .accelerators = accelerators},
                               .most_per_worker = most};
      });
}

// Few groups leave few kinds of free room, so that all of them stay open.
RC_GTEST_PROP(InstancePackingTest, AFewGroupsArePackedAsOneByOne, ()) {
  const auto groups = *rc::gen::resize(
      4, rc::gen::container<std::vector<jobs::TaskGroup>>(DrawGroup()));
  InstancePacking packing(kInstance);
  for (const jobs::TaskGroup& group : groups) {
    packing.Add(group);
  }
  RC_ASSERT(packing.instances() == PackOneByOne(groups));
}

RC_GTEST_PROP(InstancePackingTest, ManyGroupsFitIntoTheCountedInstances, ()) {
  const auto groups =
      *rc::gen::container<std::vector<jobs::TaskGroup>>(300, DrawGroup());
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;
  double shares = 0;
  for (const jobs::TaskGroup& group : groups) {
    millicores += group.count * group.need.millicores;
    memory_mb += group.count * group.need.memory_mb;
    accelerators += group.count * group.need.accelerators;
    shares += static_cast<double>(group.count);
  }
  const std::int64_t counted = CountInstances(groups);
  RC_ASSERT(counted * kInstance.millicores >= millicores);
  RC_ASSERT(counted * kInstance.memory_mb >= memory_mb);
  RC_ASSERT(counted * kInstance.accelerators >= accelerators);
  // One instance a task always suffices.
  RC_ASSERT(static_cast<double>(counted) <= shares);
}

}  // namespace
}  // namespace sumac::maintenance
