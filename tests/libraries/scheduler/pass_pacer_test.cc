// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/pass_pacer.h"

#include <gtest/gtest.h>

namespace sumac::scheduler {
namespace {

using std::chrono::microseconds;

TEST(PassPacerTest, AnIdleLeaderTakesTheShortestPause) {
  PassPacer pacer;
  EXPECT_EQ(pacer.NextPause(), Milliseconds(10));
  pacer.NotePass(microseconds(200));
  EXPECT_EQ(pacer.NextPause(), Milliseconds(10));
}

// Whatever a pass takes, passes use a quarter of the loop at most until the
// longest pause is reached.
TEST(PassPacerTest, PassesUseAQuarterOfTheLoop) {
  PassPacer pacer;
  for (int pass = 0; pass < 50; ++pass) {
    pacer.NotePass(microseconds(20'000));
  }
  EXPECT_GE(pacer.NextPause(), Milliseconds(59));
  EXPECT_LE(pacer.NextPause(), Milliseconds(60));
}

TEST(PassPacerTest, OneLongPassIsForgotten) {
  PassPacer pacer;
  pacer.NotePass(std::chrono::seconds(3));
  EXPECT_EQ(pacer.NextPause(), Milliseconds(100));
  for (int pass = 0; pass < 24; ++pass) {
    pacer.NotePass(microseconds(500));
  }
  EXPECT_EQ(pacer.NextPause(), Milliseconds(10));
}

}  // namespace
}  // namespace sumac::scheduler
