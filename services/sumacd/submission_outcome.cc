// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/submission_outcome.h"

namespace sumac::daemon {
namespace {

// The maximum time for which a request that has certainly not run waits for a
// leader. An election can take longer, but a caller that is refused soon still
// has most of its time for another try, at another process.
constexpr Milliseconds kMaxNotRunTime{500};
// The time that a caller needs after a refusal for another try: the smallest
// Retry-After value and the time for an answer.
constexpr Milliseconds kNextTryTime{1'200};

// True if the answer refuses the request temporarily and says that it has not
// run.
bool IsRefusal(const fleet::Answer& answer) {
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  const ResultInfo& info = InfoFor(answer.code);
  return info.effect == RunEffect::kNotRun &&
         (info.http_status == kTooMany || info.http_status == kUnavailable);
}

// True if the answer refuses the request by the declaration in force. An
// earlier attempt may have been taken by the one before.
bool IsRefusedByDeclaration(ResultCode code) {
  return code == ResultCode::kUnknownQueue ||
         code == ResultCode::kNoCredentials ||
         code == ResultCode::kUnknownKey || code == ResultCode::kForeignJob ||
         code == ResultCode::kAboveQuota;
}

}  // namespace

AttemptResult ResultOf(const fleet::Answer& answer) {
  switch (answer.code) {
    case ResultCode::kNoControllerInTime:
      return AttemptResult::kNotSent;
    case ResultCode::kNotLeader:
    case ResultCode::kNoLeader:
      return AttemptResult::kNotTaken;
    case ResultCode::kUnreachable:
    case ResultCode::kTimeout:
      return AttemptResult::kNoAnswer;
    default:
      return IsRefusal(answer) || IsRefusedByDeclaration(answer.code)
                 ? AttemptResult::kRefused
                 : AttemptResult::kAnswered;
  }
}

SearchLimits LimitsFor(Milliseconds callers_time) {
  const bool has_next_try = callers_time > kMaxNotRunTime + kNextTryTime;
  return {.not_run = has_next_try ? kMaxNotRunTime : callers_time,
          .total = callers_time};
}

SubmissionOutcome::SubmissionOutcome(
    SearchLimits limits,
    const std::vector<ProcessName>& controllers,
    SteadyTime began_at)
    : limits(limits),
      controllers(controllers.begin(), controllers.end()),
      began_at(began_at) {}

SubmissionOutcome::Next SubmissionOutcome::Record(const ProcessName& controller,
                                                  AttemptResult result) {
  if (this->controllers.contains(controller)) {
    this->asked.insert(controller);
    if (result == AttemptResult::kNotSent) {
      this->out_of_reach.insert(controller);
    } else {
      this->out_of_reach.erase(controller);
    }
  }
  switch (result) {
    case AttemptResult::kNotSent:
    case AttemptResult::kNotTaken:
      return Next::kTryAgain;
    case AttemptResult::kNoAnswer:
      this->has_unanswered_attempt = true;
      return Next::kTryAgain;
    // NOTE: A refusal holds only for the attempt that it answers. An earlier
    // attempt without an answer may still be in a connection, or in the log of
    // a controller that led then, and the request may yet run.
    case AttemptResult::kRefused:
      return this->has_unanswered_attempt && this->limits.has_effect
                 ? Next::kTryAgain
                 : Next::kReturnAnswer;
    case AttemptResult::kAnswered:
      return Next::kReturnAnswer;
  }
  return Next::kReturnAnswer;
}

Milliseconds SubmissionOutcome::TimeLeft(SteadyTime now) const {
  return this->began_at + this->limits.total - now;
}

bool SubmissionOutcome::IsOver(SteadyTime now) const {
  if (this->TimeLeft(now) <= Milliseconds(0)) {
    return true;
  }
  return !this->has_unanswered_attempt &&
         (this->IsCutOff() || now >= this->began_at + this->limits.not_run);
}

bool SubmissionOutcome::IsCutOff() const {
  return this->asked.size() == this->controllers.size() &&
         2 * this->out_of_reach.size() > this->controllers.size();
}

ResultCode SubmissionOutcome::FinalCode() const {
  return this->has_unanswered_attempt ? ResultCode::kTimeout
                                      : ResultCode::kNoLeader;
}

}  // namespace sumac::daemon
