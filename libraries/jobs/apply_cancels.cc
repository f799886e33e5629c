// SPDX-License-Identifier: Apache-2.0

// What JobsState does with cancels, and with submissions that arrive after
// their cancel.

#include "libraries/base/text.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/late_requests.h"

namespace sumac::jobs {
namespace {

fleet::Answer UnknownJob() {
  return {.code = ResultCode::kUnknownJob,
          .message =
              "no job with this id is known; a submission that arrives "
              "late will be refused"};
}

RequestOrigin OriginOf(const CancelJob& command) {
  return {command.queue, command.customer};
}

}  // namespace

fleet::Answer JobsState::ApplyCommand(const CancelJob& command, WallTime at) {
  if (command.address) {
    return this->ApplyAt(*command.address, command, at);
  }
  const auto found = this->own_record.jobs.find(command.job);
  const bool is_known = found != this->own_record.jobs.end();
  if (is_known && found->second.is_active()) {
    this->Finish(found->second, JobState::kCancelled, "cancelled", at);
    return fleet::Answer::Success("cancelled");
  }
  if (command.queue.value().empty()) {
    return is_known
               ? fleet::Answer::Success("cancelled")
               : fleet::Answer{.code = ResultCode::kUnknownName,
                               .message = StrCat("no job ", command.job.value(),
                                                 " is known")};
  }
  if (auto answer = this->AnswerIfCancelled(command, at)) {
    return *std::move(answer);
  }
  if (auto refusal = this->RefuseCancel(command, at)) {
    return *std::move(refusal);
  }
  this->own_record.cancelled_jobs.Add(command.job, OriginOf(command), at);
  return is_known ? fleet::Answer::Success("it has finished") : UnknownJob();
}

std::optional<fleet::Answer> JobsState::AnswerIfCancelled(
    const CancelJob& command,
    WallTime now) const {
  const std::optional<WallTime> cancelled_at =
      this->own_record.cancelled_jobs.FindCancel(command.job,
                                                 OriginOf(command));
  const bool is_cancelled =
      cancelled_at && BacksConfirmation(*cancelled_at, now);
  const Job* job = this->FindJob(command.job);
  if (job == nullptr) {
    return is_cancelled ? std::optional(UnknownJob()) : std::nullopt;
  }
  const bool is_finished =
      !job->is_active() &&
      (is_cancelled || BacksConfirmation(job->finished_at, now));
  return is_finished ? std::optional(fleet::Answer::Success("it has finished"))
                     : std::nullopt;
}

std::optional<fleet::Answer> JobsState::RefuseCancel(const CancelJob& command,
                                                     WallTime now) const {
  const Job* job = this->FindJob(command.job);
  if (job != nullptr && job->is_active()) {
    return std::nullopt;
  }
  const JobTombstones& tombstones = this->own_record.cancelled_jobs;
  const absl::Status room =
      tombstones.CheckRoom(command.job, OriginOf(command));
  if (room.ok()) {
    return std::nullopt;
  }
  fleet::Answer refusal = fleet::Answer::FromStatus(room);
  refusal.document = {{"retry_after_ms", tombstones.TimeToRoom(now).count()}};
  return refusal;
}

std::optional<fleet::Answer> JobsState::RefuseIfCancelled(
    const JobId& job,
    const RequestOrigin& origin) const {
  if (!this->own_record.cancelled_jobs.Covers(job, origin)) {
    return std::nullopt;
  }
  return fleet::Answer{
      .code = ResultCode::kCancelledBefore,
      .message =
          "the job was cancelled before this submission arrived; it has "
          "not run and will not"};
}

}  // namespace sumac::jobs
