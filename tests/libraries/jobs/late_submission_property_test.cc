// SPDX-License-Identifier: Apache-2.0
// Guards against a job that runs although its cancelling was confirmed, in any
// order of cancels, submissions, ends, snapshots and pauses.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <utility>

#include "libraries/codec/cbor_writer.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/late_requests.h"

namespace sumac::jobs {
namespace {

const std::array kQueues{QueueName("clips"), QueueName("marks")};
const std::array kCustomers{CustomerName(), CustomerName("choir"),
                            CustomerName("radio")};
const std::array kJobs{JobId("a"), JobId("b"), JobId("c")};

absl::StatusOr<JobsDeclaration> Decode(std::string_view /*document*/) {
  std::vector<QueueDeclaration> queues;
  queues.reserve(kQueues.size());
  for (const QueueName& name : kQueues) {
    queues.push_back({.name = name,
                      .host = "h",
                      .path_prefix = "/" + name.value() + "/",
                      .service = ServiceName("previews")});
  }
  return JobsDeclaration(1, std::move(queues),
                         {{.name = ServiceName("previews")}});
}

// A model that knows only which cancels were confirmed when.
class CancelHistory {
 public:
  CancelHistory() : state(Decode) { this->Do(Declare{1, "x"}); }

  void Step() {
    this->at += Milliseconds(*rc::gen::weightedElement<int>(
        {{6, 1}, {2, 1'000}, {1, 40'000}, {1, 100'000}}));
    const JobId& job = *rc::gen::elementOf(kJobs);
    const RequestOrigin origin{*rc::gen::elementOf(kQueues),
                               *rc::gen::elementOf(kCustomers)};
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        this->Cancel(job, origin);
        break;
      case 1:
        this->Submit(job, origin);
        break;
      case 2:
        this->Do(RecordEnds{
            {RunEnd{{{job, 0, 0}, 0}, RunNumber(1), RunOutcome::kDone}}});
        break;
      default:
        this->Restart();
        break;
    }
  }

 private:
  fleet::Answer Do(Command command) {
    this->at += Milliseconds(1);
    return this->state.Apply({this->at, std::move(command)});
  }

  // Does what a leader does with a caller's cancel.
  void Cancel(const JobId& job, const RequestOrigin& origin) {
    const Job* known = this->state.FindJob(job);
    if (known != nullptr && known->customer != origin.customer &&
        !known->customer.value().empty()) {
      return;
    }
    const CancelJob command{job, origin.queue, origin.customer};
    const auto confirmed = this->state.AnswerIfCancelled(command, this->at);
    const fleet::Answer answer = confirmed ? *confirmed : this->Do(command);
    RC_ASSERT(answer.is_ok() || answer.code == ResultCode::kUnknownJob);
    this->confirmed_at[{job, origin.queue, origin.customer}] = this->at;
  }

  void Submit(const JobId& job, const RequestOrigin& origin) {
    const bool is_new = this->state.FindJob(job) == nullptr;
    const fleet::Answer answer =
        this->Do(SubmitJob{.job = job,
                           .queue = origin.queue,
                           .spec = {.steps = {{.count = 1}}},
                           .customer = origin.customer});
    if (!is_new) {
      return;
    }
    const bool may_be_late = this->MayBeLate(job, origin);
    RC_CLASSIFY(may_be_late, "may be late");
    if (may_be_late) {
      RC_ASSERT(answer.code == ResultCode::kCancelledBefore);
      RC_ASSERT(this->state.FindJob(job) == nullptr);
    }
  }

  // True if the submission may have been sent before a confirmed cancel by a
  // caller who could have cancelled its job.
  bool MayBeLate(const JobId& job, const RequestOrigin& origin) const {
    for (const auto& [cancel, time] : this->confirmed_at) {
      const auto& [id, queue, customer] = cancel;
      const bool could_cancel =
          origin.customer.value().empty() || customer == origin.customer ||
          (customer.value().empty() && queue == origin.queue);
      if (id == job && could_cancel && this->at - time <= kMaxTransitTime) {
        return true;
      }
    }
    return false;
  }

  void Restart() {
    JobsState restored(Decode);
    RC_ASSERT(restored.Load(ToCbor(this->state.record())).ok());
    this->state = std::move(restored);
  }

  JobsState state;
  WallTime at{Milliseconds(1'000'000)};
  std::map<std::tuple<JobId, QueueName, CustomerName>, WallTime> confirmed_at;
};

TEST(LateSubmissionPropertyTest, NoSubmissionUndoesAConfirmedCancel) {
  EXPECT_TRUE(
      rc::check("no submission undoes a confirmed cancel within the time that "
                "a request may be under way",
                [] {
                  CancelHistory history;
                  const int steps = *rc::gen::inRange(2, 60);
                  for (int step = 0; step < steps; ++step) {
                    history.Step();
                  }
                }));
}

}  // namespace
}  // namespace sumac::jobs
