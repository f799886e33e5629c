// SPDX-License-Identifier: Apache-2.0
#include "libraries/base/suspension_watch.h"

#include <gtest/gtest.h>

namespace sumac {
namespace {

SteadyTime At(int milliseconds) {
  return SteadyTime(Milliseconds(milliseconds));
}

TEST(SuspensionWatchTest, WhatIsReadByARunningProcessIsRecent) {
  SuspensionWatch watch(At(0));
  for (int now = 0; now <= 5'000; now += 20) {
    watch.RecordRunning(At(now));
    EXPECT_FALSE(watch.MayBeStale(At(now + 19)));
  }
}

// The event loop may read sockets before it runs the timer that records the
// suspension.
TEST(SuspensionWatchTest, WhatIsReadBeforeTheGapIsRecordedMayBeStale) {
  SuspensionWatch watch(At(0));
  EXPECT_TRUE(watch.MayBeStale(At(10'000)));
}

TEST(SuspensionWatchTest, WhatIsReadSoonAfterASuspensionMayBeStale) {
  SuspensionWatch watch(At(0));
  watch.RecordRunning(At(10'000));
  EXPECT_TRUE(watch.MayBeStale(At(10'100)));
  for (int now = 10'000; now <= 11'000; now += 20) {
    watch.RecordRunning(At(now));
  }
  EXPECT_FALSE(watch.MayBeStale(At(11'000)));
}

}  // namespace
}  // namespace sumac
