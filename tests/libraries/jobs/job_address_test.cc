// SPDX-License-Identifier: Apache-2.0
// Guards against a request that one declaration resolves and another one
// decides on: neither would give its answer.
#include "libraries/jobs/job_address.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/jobs/jobs_state.h"

namespace sumac::jobs {
namespace {

CustomerDeclaration Ann(const std::string& key) {
  return {.name = CustomerName("ann"), .keys = {KeyDigest(key)}, .weight = 1};
}

QueueDeclaration Queue(const std::string& name,
                       const std::string& path_prefix,
                       const std::string& service) {
  return {.name = QueueName(name),
          .host = "h",
          .path_prefix = path_prefix,
          .service = ServiceName(service)};
}

// Four versions: the second renames the queue at its address, the third takes
// the caller's key away, and the fourth removes the queue.
absl::StatusOr<JobsDeclaration> Decode(std::string_view document) {
  const std::string version(document);
  std::vector<QueueDeclaration> queues;
  if (version != "4") {
    queues.push_back(version == "1" ? Queue("clips", "/clips/", "s1")
                                    : Queue("cuts", "/clips/", "s2"));
  }
  return JobsDeclaration(
      std::stoull(version), std::move(queues),
      {{.name = ServiceName("s1")}, {.name = ServiceName("s2")}},
      std::vector{Ann(version == "3" ? "k2" : "k1")});
}

class JobAddressTest : public testing::Test {
 protected:
  JobAddressTest() : state(Decode) { this->Declare("1"); }

  fleet::Answer Do(Command command) {
    return this->state.Apply({this->at, std::move(command)});
  }
  void Declare(const std::string& version) {
    ASSERT_TRUE(this->Do(jobs::Declare{std::stoull(version), version}).is_ok());
  }
  // Returns the command of a caller as it is read under the present
  // declaration.
  template <typename CallerCommand>
  CallerCommand Read() const {
    const auto address = ResolveJobAddress(this->state, this->caller);
    CallerCommand command;
    command.job = address->job;
    command.queue = address->queue->name;
    command.customer = address->customer;
    command.address = this->caller;
    return command;
  }
  SubmitJob ReadSubmission() const {
    auto command = this->Read<SubmitJob>();
    command.spec.steps.push_back({.count = 1});
    return command;
  }

  JobsState state;
  WallTime at{Milliseconds(1'000'000)};
  CallerAddress caller{
      .host = "h",
      .path = "/clips/a",
      .credentials = {.is_present = true, .key = KeyDigest("k1")}};
};

// Callers saw a 404 at an address that both declarations have.
TEST_F(JobAddressTest, AQueueThatIsRenamedMeanwhileTakesTheJob) {
  const SubmitJob submission = this->ReadSubmission();
  this->Declare("2");
  EXPECT_TRUE(this->Do(submission).is_ok());
  const Job* job = this->state.FindJob(JobId("a"));
  ASSERT_NE(job, nullptr);
  EXPECT_EQ(job->queue, QueueName("cuts"));
  EXPECT_EQ(job->service, ServiceName("s2"));
}

TEST_F(JobAddressTest, AKeyThatIsTakenAwayMeanwhileOpensNothing) {
  const SubmitJob submission = this->ReadSubmission();
  this->Declare("3");
  EXPECT_EQ(this->Do(submission).code, ResultCode::kUnknownKey);
  EXPECT_EQ(this->state.FindJob(JobId("a")), nullptr);
}

TEST_F(JobAddressTest, AQueueThatIsRemovedMeanwhileTakesNoJob) {
  const SubmitJob submission = this->ReadSubmission();
  this->Declare("4");
  EXPECT_EQ(this->Do(submission).code, ResultCode::kUnknownQueue);
  EXPECT_EQ(this->state.FindJob(JobId("a")), nullptr);
}

TEST_F(JobAddressTest, ACancelIsDecidedLikeASubmission) {
  ASSERT_TRUE(this->Do(this->ReadSubmission()).is_ok());
  const auto cancel = this->Read<CancelJob>();
  this->Declare("3");
  EXPECT_EQ(this->Do(cancel).code, ResultCode::kUnknownKey);
  EXPECT_TRUE(this->state.FindJob(JobId("a"))->is_active());
}

TEST_F(JobAddressTest, AnIdOfAnotherCustomerIsNotConfirmedAsAccepted) {
  const SubmitJob submission = this->ReadSubmission();
  SubmitJob foreign = submission;
  foreign.customer = CustomerName("bob");
  foreign.address.reset();
  ASSERT_TRUE(this->Do(foreign).is_ok());
  EXPECT_EQ(this->Do(submission).code, ResultCode::kForeignJob);
}

// A caller's job ran twice: first under an id with a slash, at a queue that had
// the longest prefix of its path before a longer one was declared, and in the
// other order at a queue that was no longer declared.
TEST_F(JobAddressTest, APathBelowAnIdNamesNoJob) {
  this->caller.path = "/clips/deep/a";
  EXPECT_EQ(CodeOf(ResolveJobAddress(this->state, this->caller).status()),
            ResultCode::kUnknownQueue);
  this->caller.path = "/clips/deep/";
  EXPECT_EQ(CodeOf(ResolveJobAddress(this->state, this->caller).status()),
            ResultCode::kUnknownQueue);
}

// A log of an earlier version names the queue and the customer only.
TEST_F(JobAddressTest, ACommandWithoutAnAddressIsDecidedByItsNames) {
  SubmitJob submission = this->ReadSubmission();
  submission.address.reset();
  this->Declare("3");
  EXPECT_EQ(this->Do(submission).code, ResultCode::kUnknownName);
}

}  // namespace
}  // namespace sumac::jobs
