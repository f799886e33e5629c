// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/waiting_jobs.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "libraries/base/text.h"

namespace sumac::scheduler {
namespace {

const QueueName kQueue("clips");
constexpr Milliseconds kFullScan{1'000};

absl::StatusOr<jobs::JobsDeclaration> Declared(std::string_view /*document*/) {
  const ServiceName service("previews");
  return jobs::JobsDeclaration(1,
                               {{.name = kQueue,
                                 .host = "h",
                                 .path_prefix = "/",
                                 .service = service,
                                 .most_attempts = 2}},
                               {{.name = service}});
}

class WaitingJobsTest : public testing::Test {
 protected:
  WaitingJobsTest()
      : state(Declared), waiting(state, run_times, true, kFullScan) {
    this->Do(jobs::Declare{1, "document"});
  }

  void Do(jobs::Command command) {
    this->state.Apply({this->wall_now, std::move(command)});
  }
  void Submit(const std::string& id, jobs::JobSpec spec) {
    this->Do(jobs::SubmitJob{JobId(id), kQueue, std::move(spec)});
  }
  std::vector<std::string> Order() {
    std::vector<std::string> ids;
    for (const DueOccurrence& due : this->waiting.Order(this->now, wall_now)) {
      ids.push_back(due.job->id.value());
    }
    return ids;
  }
  void PassTime(Milliseconds time) {
    this->now += time;
    this->wall_now += time;
  }

  jobs::JobsState state;
  RunTimes run_times;
  WaitingJobs waiting;
  SteadyTime now{Milliseconds(5'000)};
  WallTime wall_now{Milliseconds(1'000'000)};
};

// 136 long-running jobs that have their places beside a rush of short ones: a
// pass looks at the short ones alone.
TEST_F(WaitingJobsTest, ARushIsOrderedWithoutPlacedJobs) {
  for (int number = 0; number < 136; ++number) {
    this->Submit(StrCat("lasts", number),
                 {.steps = {{.count = 24, .is_long_running = true}}});
  }
  EXPECT_EQ(this->Order().size(), 136U);
  this->waiting.RemovePlaced({}, this->wall_now);
  for (int number = 0; number < 40; ++number) {
    this->PassTime(Milliseconds(20));
    this->Submit(StrCat("short", number), {.steps = {{.count = 8}}});
    EXPECT_EQ(this->Order().size(), 1U);
    this->waiting.RemovePlaced({}, this->wall_now);
  }
  EXPECT_EQ(this->waiting.size(), 0U);
}

TEST_F(WaitingJobsTest, AJobWithoutAPlaceStays) {
  this->Submit("a", {.steps = {{.count = 8}}});
  ASSERT_EQ(this->Order().size(), 1U);
  this->waiting.RemovePlaced({this->state.FindJob(JobId("a"))->sequence},
                             this->wall_now);
  EXPECT_EQ(this->Order(), std::vector<std::string>{"a"});
}

TEST_F(WaitingJobsTest, AJobComesBackWhenItIsReconsidered) {
  this->Submit("a", {.steps = {{.count = 8}}});
  this->Order();
  this->waiting.RemovePlaced({}, this->wall_now);
  EXPECT_TRUE(this->Order().empty());
  this->waiting.Reconsider(JobId("a"));
  this->waiting.Reconsider(JobId("unknown"));
  EXPECT_EQ(this->Order(), std::vector<std::string>{"a"});
}

TEST_F(WaitingJobsTest, EveryActiveJobIsConsideredPeriodically) {
  this->Submit("a", {.steps = {{.count = 8}}});
  this->Order();
  this->waiting.RemovePlaced({}, this->wall_now);
  this->PassTime(kFullScan);
  EXPECT_EQ(this->Order(), std::vector<std::string>{"a"});
}

TEST_F(WaitingJobsTest, AJobThatRepeatsWaitsUntilItsLastTimeIsDue) {
  this->Submit("a", {.steps = {{.count = 1}},
                     .repeats = 3,
                     .first_due = this->wall_now,
                     .interval = Milliseconds(100)});
  EXPECT_EQ(this->Order().size(), 1U);
  this->waiting.RemovePlaced({}, this->wall_now);
  this->PassTime(Milliseconds(250));
  EXPECT_EQ(this->Order().size(), 3U);
  this->waiting.RemovePlaced({}, this->wall_now);
  EXPECT_TRUE(this->Order().empty());
}

TEST_F(WaitingJobsTest, AFinishedJobIsDropped) {
  this->Submit("a", {.steps = {{.count = 8}}});
  this->Do(jobs::CancelJob{JobId("a")});
  EXPECT_TRUE(this->Order().empty());
  this->waiting.RemovePlaced({}, this->wall_now);
  this->waiting.Reconsider(JobId("a"));
  EXPECT_EQ(this->waiting.size(), 0U);
}

}  // namespace
}  // namespace sumac::scheduler
