// SPDX-License-Identifier: Apache-2.0
// Guards against a job that runs although its cancelling was confirmed: the
// cancel overtook the submission and left no record.
#include <gtest/gtest.h>

#include "libraries/codec/cbor_writer.h"
#include "libraries/jobs/jobs_state.h"

namespace sumac::jobs {
namespace {

const QueueName kQueue("clips");
const CustomerName kNobody;
constexpr Milliseconds kLongFreeze{60'000};
constexpr Milliseconds kLongAfter{400'000};
// Ids that have expired are removed within this time.
constexpr Milliseconds kSweepTime{1'001};

absl::StatusOr<JobsDeclaration> Decode(std::string_view /*document*/) {
  return JobsDeclaration(1,
                         {{.name = kQueue,
                           .host = "h",
                           .path_prefix = "/",
                           .service = ServiceName("previews"),
                           .most_attempts = 2}},
                         {{.name = ServiceName("previews")}});
}

class LateSubmissionTest : public testing::Test {
 protected:
  LateSubmissionTest() : state(Decode) { this->Do(Declare{1, "previews"}); }

  fleet::Answer Do(Command command) {
    this->at += Milliseconds(1);
    return this->state.Apply({this->at, std::move(command)});
  }
  fleet::Answer Submit(const std::string& id, const CustomerName& customer) {
    return this->Do(SubmitJob{.job = JobId(id),
                              .queue = kQueue,
                              .spec = {.steps = {{.count = 1}}},
                              .customer = customer});
  }
  fleet::Answer Cancel(const std::string& id, const CustomerName& customer) {
    return this->Do(CancelJob{JobId(id), kQueue, customer});
  }
  void Finish(const std::string& id) {
    this->Do(RecordEnds{
        {RunEnd{{{JobId(id), 0, 0}, 0}, RunNumber(1), RunOutcome::kDone}}});
  }
  bool IsConfirmed(const std::string& id) const {
    return this->state
        .AnswerIfCancelled(CancelJob{JobId(id), kQueue, kNobody}, this->at)
        .has_value();
  }

  JobsState state;
  WallTime at{Milliseconds(1'000'000)};
};

TEST_F(LateSubmissionTest, AJobIsNotAcceptedAfterItsCancelWasConfirmed) {
  EXPECT_EQ(this->Cancel("a", kNobody).code, ResultCode::kUnknownJob);
  this->at += kLongFreeze;
  EXPECT_EQ(this->Submit("a", kNobody).code, ResultCode::kCancelledBefore);
  EXPECT_EQ(this->state.FindJob(JobId("a")), nullptr);
  EXPECT_TRUE(this->state.active_jobs().empty());
  EXPECT_TRUE(this->Submit("b", kNobody).is_ok());
}

TEST_F(LateSubmissionTest, ASnapshotKeepsACancel) {
  this->Cancel("a", kNobody);
  this->Cancel("\xff\x01", CustomerName("choir"));
  JobsState restored(Decode);
  ASSERT_TRUE(restored.Load(ToCbor(this->state.record())).ok());
  EXPECT_TRUE(restored.RefuseIfCancelled(JobId("a"), {kQueue, kNobody}));
  EXPECT_TRUE(restored.RefuseIfCancelled(JobId("\xff\x01"),
                                         {kQueue, CustomerName("choir")}));
}

TEST_F(LateSubmissionTest, ACancelIsKeptForABoundedTime) {
  this->Cancel("a", kNobody);
  this->at += kLongAfter;
  this->Do(BeginEpoch{});
  EXPECT_EQ(this->state.cancelled_jobs().size(), 0U);
}

// A confirmation from an old record is worth less than a new one: the record
// would be dropped while a submission that was sent since is under way.
TEST_F(LateSubmissionTest, ARepeatedCancelHoldsAsLongAsTheFirst) {
  this->Cancel("a", kNobody);
  EXPECT_TRUE(this->IsConfirmed("a"));
  this->at += 2 * kLongFreeze;
  EXPECT_FALSE(this->IsConfirmed("a"));
  EXPECT_EQ(this->Cancel("a", kNobody).code, ResultCode::kUnknownJob);
  EXPECT_EQ(this->state.cancelled_jobs().size(), 1U);
  this->at += 2 * kLongFreeze;
  EXPECT_EQ(this->Submit("a", kNobody).code, ResultCode::kCancelledBefore);
}

// The record of a finished job is dropped some time after its end, however
// recently its cancelling was confirmed.
TEST_F(LateSubmissionTest, AFinishedJobIsNotAcceptedAgainAfterItsCancel) {
  this->Submit("a", kNobody);
  this->Finish("a");
  EXPECT_TRUE(this->IsConfirmed("a"));
  this->at += 2 * kLongFreeze;
  EXPECT_FALSE(this->IsConfirmed("a"));
  EXPECT_TRUE(this->Cancel("a", kNobody).is_ok());
  this->at += Milliseconds(80'000);
  EXPECT_EQ(this->Submit("a", kNobody).code, ResultCode::kCancelledBefore);
  EXPECT_EQ(this->state.FindJob(JobId("a")), nullptr);
}

TEST_F(LateSubmissionTest, ASubmissionThatWasCommittedFirstIsCancelled) {
  this->Submit("a", kNobody);
  EXPECT_TRUE(this->Cancel("a", kNobody).is_ok());
  EXPECT_EQ(this->state.FindJob(JobId("a"))->state, JobState::kCancelled);
  EXPECT_EQ(this->state.cancelled_jobs().size(), 0U);
  EXPECT_TRUE(this->Submit("a", kNobody).is_ok());
  EXPECT_EQ(this->state.FindJob(JobId("a"))->state, JobState::kCancelled);
}

TEST_F(LateSubmissionTest, ACancelCoversOnlyWhatItsCallerMayCancel) {
  const CustomerName choir("choir");
  const CustomerName radio("radio");
  this->Cancel("a", choir);
  EXPECT_TRUE(this->Submit("a", radio).is_ok());
  this->Cancel("b", choir);
  EXPECT_EQ(this->Submit("b", choir).code, ResultCode::kCancelledBefore);
  EXPECT_EQ(this->Submit("b", kNobody).code, ResultCode::kCancelledBefore);
  // The queue took the cancel without a key and requires one since.
  this->Cancel("c", kNobody);
  EXPECT_EQ(this->Submit("c", radio).code, ResultCode::kCancelledBefore);
}

TEST_F(LateSubmissionTest, BeyondTheBoundACancelIsRefusedAndOlderOnesHold) {
  const auto cancel = [this](std::size_t number) {
    return this->Cancel("a" + std::to_string(number), kNobody);
  };
  std::size_t count = 0;
  while (cancel(count).code == ResultCode::kUnknownJob) {
    ++count;
    ASSERT_LE(count, JobTombstones::kMaxCount);
  }
  const fleet::Answer refusal = cancel(count);
  EXPECT_EQ(refusal.code, ResultCode::kTooManyCancels);
  const Milliseconds retry_after(refusal.document.at("retry_after_ms"));
  EXPECT_GT(retry_after, kLongFreeze);
  JobsState restored(Decode);
  ASSERT_TRUE(restored.Load(ToCbor(this->state.record())).ok());
  EXPECT_EQ(restored.cancelled_jobs().TimeToRoom(this->at), retry_after);
  EXPECT_EQ(this->state.cancelled_jobs().size(), count);
  // What was confirmed holds; what was refused is not cancelled.
  EXPECT_EQ(cancel(0).code, ResultCode::kUnknownJob);
  EXPECT_EQ(this->Submit("a0", kNobody).code, ResultCode::kCancelledBefore);
  const std::string refused = "a" + std::to_string(count);
  EXPECT_TRUE(this->Submit(refused, kNobody).is_ok());
  EXPECT_TRUE(this->Cancel(refused, kNobody).is_ok());
  // Another customer has room.
  EXPECT_EQ(this->Cancel("b", CustomerName("choir")).code,
            ResultCode::kUnknownJob);
  this->at += retry_after + kSweepTime;
  EXPECT_EQ(cancel(count + 1).code, ResultCode::kUnknownJob);
}

TEST_F(LateSubmissionTest, AnIdOfAnyLengthIsNotKept) {
  const std::string id(JobTombstones::kMaxIdLength + 1, 'a');
  EXPECT_EQ(this->Cancel(id, kNobody).code, ResultCode::kBadRequest);
  EXPECT_EQ(this->state.cancelled_jobs().size(), 0U);
}

// An operator is told that an unknown job was not cancelled.
TEST_F(LateSubmissionTest, AnOperatorsCancelOfAnUnknownJobPromisesNothing) {
  EXPECT_EQ(this->Do(CancelJob{JobId("a")}).code, ResultCode::kUnknownName);
  EXPECT_TRUE(this->Submit("a", kNobody).is_ok());
}

}  // namespace
}  // namespace sumac::jobs
