// SPDX-License-Identifier: Apache-2.0
// In a rush of several times what a leader can start, jobs that could not be in
// time any more filled the backlog and shut the door on callers who could.
#include <gtest/gtest.h>

#include "tests/libraries/scheduler/rush_replay.h"

namespace sumac::scheduler {
namespace {

struct Shares {
  double in_time = 0;
  double accepted = 0;
};

// The shares of all calls of a rush of three times what a whole leader can do.
Shares ReplayWith(double processor_share) {
  RushReplay replay({.processor_share = processor_share,
                     .rush_calls_a_second = 330,
                     .rush = std::chrono::seconds(20),
                     .has_backlog_limits = true});
  replay.Run();
  return {.in_time = (replay.InTimeShare(RushReplay::kUrgent) +
                      replay.InTimeShare(RushReplay::kPatient)) /
                     2,
          .accepted = replay.AcceptedShare()};
}

TEST(LongRushTest, StaleJobsDoNotCrowdOutCallersWhoCanBeInTime) {
  for (const double share : {1.0, 0.75}) {
    const Shares shares = ReplayWith(share);
    EXPECT_GE(shares.in_time, share * 0.3) << share;
    EXPECT_GE(shares.in_time, shares.accepted * 0.55) << share;
  }
}

TEST(LongRushTest, ServiceFallsNoFasterThanProcessorTime) {
  const Shares whole = ReplayWith(1.0);
  for (const double share : {0.9, 0.75}) {
    EXPECT_GE(ReplayWith(share).in_time, share * whole.in_time) << share;
  }
  // Refusals cost the same however little can be served.
  for (const double share : {0.55, 0.4}) {
    EXPECT_GE(ReplayWith(share).in_time, share * whole.in_time * 0.8) << share;
  }
}

}  // namespace
}  // namespace sumac::scheduler
