// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/work_times.h"

#include <gtest/gtest.h>

#include <chrono>

namespace sumac::daemon {
namespace {

using Seconds = std::chrono::duration<double>;

std::size_t IndexOf(Work work) {
  return static_cast<std::size_t>(work);
}

void SpendSomeTime() {
  constexpr std::chrono::milliseconds kBusyTime{3};
  const auto until = std::chrono::steady_clock::now() + kBusyTime;
  while (std::chrono::steady_clock::now() < until) {
  }
}

TEST(WorkTimesTest, WorkWithinOtherWorkIsCountedOnce) {
  WorkTimes times;
  const auto began = std::chrono::steady_clock::now();
  {
    const auto outer = times.Measure(Work::kReplicate);
    SpendSomeTime();
    {
      const auto inner = times.Measure(Work::kApply);
      SpendSomeTime();
    }
    {
      const auto inner = times.Measure(Work::kApply);
      SpendSomeTime();
    }
  }
  const Seconds passed = std::chrono::steady_clock::now() - began;
  const Seconds outer = times.Spent(IndexOf(Work::kReplicate));
  const Seconds inner = times.Spent(IndexOf(Work::kApply));
  EXPECT_GT(outer, Seconds(0));
  EXPECT_GT(inner, Seconds(0));
  EXPECT_LE(outer + inner, passed);
  EXPECT_EQ(times.Count(IndexOf(Work::kReplicate)), 1U);
  EXPECT_EQ(times.Count(IndexOf(Work::kApply)), 2U);
}

}  // namespace
}  // namespace sumac::daemon
