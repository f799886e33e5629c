// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/loop_pacer.h"

#include <gtest/gtest.h>

namespace sumac::scheduler {
namespace {

using std::chrono::microseconds;

TEST(LoopPacerTest, AnIdleLeaderTakesTheShortestPause) {
  LoopPacer pacer;
  EXPECT_EQ(pacer.PassPause(), Milliseconds(10));
  pacer.RecordPass(microseconds(200));
  EXPECT_EQ(pacer.PassPause(), Milliseconds(10));
}

// Whatever a pass takes, passes use a quarter of the loop at most until the
// longest pause is reached.
TEST(LoopPacerTest, PassesUseAQuarterOfTheLoop) {
  LoopPacer pacer;
  for (int pass = 0; pass < 50; ++pass) {
    pacer.RecordPass(microseconds(20'000));
  }
  EXPECT_GE(pacer.PassPause(), Milliseconds(59));
  EXPECT_LE(pacer.PassPause(), Milliseconds(60));
}

TEST(LoopPacerTest, OneLongPassIsForgotten) {
  LoopPacer pacer;
  pacer.RecordPass(std::chrono::seconds(3));
  EXPECT_EQ(pacer.PassPause(), Milliseconds(100));
  for (int pass = 0; pass < 24; ++pass) {
    pacer.RecordPass(microseconds(500));
  }
  EXPECT_EQ(pacer.PassPause(), Milliseconds(10));
}

// The later the loop the larger the lots, within bounds that a step can wait.
TEST(LoopPacerTest, ALateLeaderGathersMore) {
  LoopPacer pacer;
  EXPECT_EQ(pacer.ReportPause(), Milliseconds(15));
  EXPECT_EQ(pacer.CommitPause(), Milliseconds(5));
  pacer.RecordLateness(Milliseconds(100));
  EXPECT_EQ(pacer.PassPause(), Milliseconds(50));
  EXPECT_EQ(pacer.ReportPause(), Milliseconds(215));
  EXPECT_EQ(pacer.CommitPause(), Milliseconds(30));
  pacer.RecordLateness(Milliseconds(2'000));
  EXPECT_EQ(pacer.PassPause(), Milliseconds(100));
  EXPECT_EQ(pacer.ReportPause(), Milliseconds(250));
  EXPECT_EQ(pacer.CommitPause(), Milliseconds(40));
  pacer.RecordLateness(Milliseconds(0));
  EXPECT_EQ(pacer.PassPause(), Milliseconds(10));
}

}  // namespace
}  // namespace sumac::scheduler
