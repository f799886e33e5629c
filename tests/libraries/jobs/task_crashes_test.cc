// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/task_crashes.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <vector>

namespace sumac::jobs {
namespace {

constexpr std::size_t kMaxCrashes = 30;

// Returns a crash in which the task had been at work for long.
CrashedRun DrawBystander() {
  return {.has_begun = true,
          .is_only_suspect = *rc::gen::arbitrary<bool>(),
          .survived = Milliseconds(*rc::gen::inRange(250, 20'000)),
          .may_have_ended = *rc::gen::arbitrary<bool>()};
}

// Returns a crash by the task's start: the start may not have been answered,
// and the end may not have been reported.
CrashedRun DrawCrashAtStart() {
  CrashedRun run{.has_begun = *rc::gen::arbitrary<bool>(),
                 .is_only_suspect = *rc::gen::arbitrary<bool>(),
                 .may_have_ended = *rc::gen::arbitrary<bool>()};
  // An order without an answer may be carried out much later.
  run.survived =
      Milliseconds(*rc::gen::inRange(0, run.has_begun ? 250 : 12'000));
  return run;
}

// Records the crash of the next run.
void AddNext(TaskCrashes& crashes, CrashedRun run, std::uint64_t number) {
  run.run = RunNumber(number);
  crashes.Add(TaskCrash{.run = run});
  RC_ASSERT(crashes.Has(RunNumber(number)));
}

RC_GTEST_PROP(TaskCrashesPropertyTest, ABystanderIsNeverGivenUp, ()) {
  TaskCrashes crashes;
  const std::size_t count = *rc::gen::inRange<std::size_t>(1, kMaxCrashes);
  for (std::uint64_t run = 1; run <= count; ++run) {
    AddNext(crashes, DrawBystander(), run);
    RC_ASSERT(!crashes.IsOverLimit());
    RC_ASSERT(crashes.CountEvidence() == 0);
    RC_ASSERT(crashes.crashes.size() <= TaskCrashes::kMaxBystanderCrashes);
    for (std::uint64_t earlier = 1; earlier <= run; ++earlier) {
      RC_ASSERT(crashes.Has(RunNumber(earlier)));
    }
    RC_ASSERT(!crashes.Has(RunNumber(run + 1)));
  }
}

RC_GTEST_PROP(TaskCrashesPropertyTest,
              ATaskThatCrashesItsWorkersIsGivenUpWithinTheLimits,
              ()) {
  TaskCrashes crashes;
  std::size_t evidence = 0;
  std::size_t certain = 0;
  for (std::uint64_t run = 1; !crashes.IsOverLimit(); ++run) {
    const bool is_bystander = run < kMaxCrashes && *rc::gen::arbitrary<bool>();
    const CrashedRun drawn =
        is_bystander ? DrawBystander() : DrawCrashAtStart();
    AddNext(crashes, drawn, run);
    if (is_bystander) {
      RC_ASSERT(!crashes.IsOverLimit());
      continue;
    }
    ++evidence;
    certain += drawn.has_begun && !drawn.may_have_ended ? 1 : 0;
    const bool is_accused_alone =
        evidence == 2 && certain == 2 && drawn.is_only_suspect;
    const bool is_expected =
        evidence >= 4 || (evidence == 3 && certain >= 2) || is_accused_alone;
    RC_ASSERT(crashes.IsOverLimit() == is_expected);
  }
  RC_ASSERT(evidence >= 2);
}

RC_GTEST_PROP(TaskCrashesPropertyTest,
              CrashesOfABystanderDoNotChangeTheDecision,
              ()) {
  TaskCrashes alone;
  TaskCrashes mixed;
  std::uint64_t run = 1;
  for (std::size_t crash = 0; crash < 4; ++crash) {
    const std::size_t bystanders = *rc::gen::inRange<std::size_t>(0, 12);
    for (std::size_t other = 0; other < bystanders; ++other) {
      AddNext(mixed, DrawBystander(), run++);
    }
    const CrashedRun drawn = DrawCrashAtStart();
    AddNext(alone, drawn, run);
    AddNext(mixed, drawn, run++);
    RC_ASSERT(alone.IsOverLimit() == mixed.IsOverLimit());
  }
}

// A task whose workers crash again and again is tried alone, so that it takes
// little with it if it is the cause after all.
TEST(TaskCrashesTest, ARepeatedBystanderIsTriedAlone) {
  TaskCrashes crashes;
  const CrashedRun run{.has_begun = true, .survived = Milliseconds(1'000)};
  crashes.Add(TaskCrash{.run = run});
  EXPECT_FALSE(crashes.IsSuspect());
  crashes.Add(TaskCrash{.run = run});
  EXPECT_TRUE(crashes.IsSuspect());
}

}  // namespace
}  // namespace sumac::jobs
