// SPDX-License-Identifier: Apache-2.0
// Guards against a worker that is used again although its end was confirmed:
// its announcement was still under way and outlasted the record of its end.
#include <gtest/gtest.h>

#include "libraries/base/error.h"
#include "libraries/jobs/jobs_state.h"

namespace sumac::jobs {
namespace {

absl::StatusOr<JobsDeclaration> Decode(std::string_view /*document*/) {
  return MakeError(ResultCode::kInvalidDeclaration, "none is needed");
}

class LateAnnouncementTest : public testing::Test {
 protected:
  LateAnnouncementTest() : state(Decode) {}

  fleet::Answer Do(Command command) {
    this->at += Milliseconds(1);
    return this->state.Apply({this->at, std::move(command)});
  }
  fleet::Answer Announce(const WorkerId& worker) {
    return this->Do(RecordWorker{{.id = worker, .sequence = 7}});
  }
  fleet::Answer Deregister(const WorkerId& worker) {
    return this->Do(ForgetWorker{.worker = worker, .is_over = true});
  }

  JobsState state;
  WallTime at{Milliseconds(1'000'000)};
};

// The record of the end counted from the first confirmation alone.
TEST_F(LateAnnouncementTest, ARepeatedDeregistrationHoldsAsLongAsTheFirst) {
  const WorkerId worker("w");
  this->Announce(worker);
  EXPECT_TRUE(this->Deregister(worker).is_ok());
  this->at += Milliseconds(120'000);
  EXPECT_TRUE(this->Deregister(worker).is_ok());
  this->at += Milliseconds(80'000);
  this->Announce(worker);
  EXPECT_EQ(this->state.FindWorker(worker), nullptr);
}

// Anybody may deregister any number of workers that nobody knows.
TEST_F(LateAnnouncementTest, EndsOfUnknownWorkersAreBoundedAndOlderOnesHold) {
  constexpr std::size_t kFarBeyond = 50'000;
  const auto unknown = [](std::size_t number) {
    return WorkerId("w" + std::to_string(number));
  };
  std::size_t count = 0;
  while (this->Deregister(unknown(count)).is_ok()) {
    ++count;
    ASSERT_LT(count, kFarBeyond);
  }
  EXPECT_EQ(this->Deregister(unknown(count)).code, ResultCode::kTooManyEnds);
  EXPECT_EQ(this->state.record().ended_workers.size(), count);
  EXPECT_TRUE(this->Deregister(unknown(0)).is_ok());
  this->Announce(unknown(0));
  EXPECT_EQ(this->state.FindWorker(unknown(0)), nullptr);
  EXPECT_EQ(this->Deregister(WorkerId(std::string(1'000, 'w'))).code,
            ResultCode::kTooManyEnds);
  // The end of a worker that is known is always recorded.
  const WorkerId known("known");
  this->Announce(known);
  EXPECT_TRUE(this->Deregister(known).is_ok());
  this->Announce(known);
  EXPECT_EQ(this->state.FindWorker(known), nullptr);
}

}  // namespace
}  // namespace sumac::jobs
