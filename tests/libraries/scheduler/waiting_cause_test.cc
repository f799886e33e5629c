// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/waiting_cause.h"

#include <gtest/gtest.h>

#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {
namespace {

constexpr std::int64_t kMostOfAWorker = 5'000;
// Time for a few reviews.
constexpr Milliseconds kReviews{2'500};

// What the last review says of the first step of a job; nothing if it does not
// wait.
const WaitingCause* CauseOf(const FakeFleet& fleet, const std::string& job) {
  for (const auto& [step, waiting] : fleet.scheduler->waiting_table().steps()) {
    if (step.job == JobId(job)) {
      return &waiting.cause;
    }
  }
  return nullptr;
}

TEST(WaitingCauseTest, AJobThatRunsDoesNotWait) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 2});
  fleet.PassTime(kReviews);
  EXPECT_EQ(CauseOf(fleet, "job"), nullptr);
}

TEST(WaitingCauseTest, ALabelThatNoWorkerHasIsNamed) {
  FakeFleet fleet(2);
  fleet.Submit("job", {.count = 1, .required_label = "b"});
  fleet.PassTime(kReviews);
  const WaitingCause* cause = CauseOf(fleet, "job");
  ASSERT_NE(cause, nullptr);
  EXPECT_EQ(cause->reason, WaitingReason::kLabel);
  EXPECT_EQ(cause->workers, 2U);
  EXPECT_EQ(cause->without_label, 2U);
  EXPECT_FALSE(cause->is_feasible);
  EXPECT_TRUE(cause->is_half_free);
}

TEST(WaitingCauseTest, ATaskLargerThanAnyWorkerIsNamed) {
  FakeFleet fleet(2);
  fleet.Submit("job", {.count = 1, .need = {.millicores = 9'000}});
  fleet.PassTime(kReviews);
  const WaitingCause* cause = CauseOf(fleet, "job");
  ASSERT_NE(cause, nullptr);
  EXPECT_EQ(cause->reason, WaitingReason::kTooSmall);
  EXPECT_EQ(cause->too_small, 2U);
  EXPECT_FALSE(cause->is_feasible);
}

TEST(WaitingCauseTest, FullWorkersAreCountedAsWithoutRoom) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 3, .need = {.millicores = kMostOfAWorker}});
  fleet.PassTime(kReviews);
  const WaitingCause* cause = CauseOf(fleet, "job");
  ASSERT_NE(cause, nullptr);
  EXPECT_EQ(cause->reason, WaitingReason::kRoom);
  EXPECT_EQ(cause->without_room, 2U);
  EXPECT_TRUE(cause->is_feasible);
  EXPECT_FALSE(cause->is_half_free);
}

TEST(WaitingCauseTest, ALimitPerWorkerIsNamed) {
  FakeFleet fleet(2);
  fleet.work = Milliseconds(60'000);
  fleet.Submit("job", {.count = 3, .most_per_worker = 1});
  fleet.PassTime(kReviews);
  const WaitingCause* cause = CauseOf(fleet, "job");
  ASSERT_NE(cause, nullptr);
  EXPECT_EQ(cause->reason, WaitingReason::kLimit);
  EXPECT_EQ(cause->at_limit, 2U);
}

TEST(WaitingCauseTest, AGangWithRoomForSomeMembersIsNamed) {
  FakeFleet fleet(2);
  fleet.Submit(
      "job",
      {.count = 3, .need = {.millicores = kMostOfAWorker}, .is_gang = true});
  fleet.PassTime(kReviews);
  const WaitingCause* cause = CauseOf(fleet, "job");
  ASSERT_NE(cause, nullptr);
  EXPECT_EQ(cause->reason, WaitingReason::kGang);
  EXPECT_EQ(cause->places, 2U);
  EXPECT_FALSE(cause->is_feasible);
}

}  // namespace
}  // namespace sumac::scheduler
