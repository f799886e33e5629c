// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/job_admission.h"

#include <utility>

#include "libraries/base/text.h"
#include "libraries/log/json_log.h"

namespace sumac::daemon {
namespace {

// Customers that have used up their quota or share submit no more jobs once the
// active jobs exceed the declared maximum divided by this.
constexpr std::size_t kExcessJobsDivisor = 2;
// How long the counted capacity of the fleet is used.
constexpr Milliseconds kCapacityAge{500};

}  // namespace

void LogSubmission(const JobId& job,
                   const jobs::RequestOrigin& origin,
                   const fleet::Answer& answer,
                   std::uint64_t declaration_version) {
  LogEvent(LogLevel::kInfo,
           answer.is_ok() ? "job-accepted" : "job-not-accepted",
           {{"job", job.value()},
            {"queue", origin.queue.value()},
            {"customer", origin.customer.value()},
            {"declaration", declaration_version},
            {"code", static_cast<int>(answer.code)},
            {"message", answer.message}});
}

std::optional<fleet::Answer> JobAdmission::Refuse(
    const JobSubmission& submission,
    std::size_t active_jobs,
    double pool_growth,
    scheduler::Scheduler& scheduler,
    SteadyTime now) {
  if (submission.customer != nullptr) {
    const absl::Status status =
        jobs::CheckAgainstQuota(*submission.customer, submission.spec);
    if (!status.ok()) {
      return fleet::Answer::FromStatus(status);
    }
  }
  const double left = scheduler.TakeCapacityLeft();
  if (left < 1) {
    this->backlog.ScaleRate(left, now);
  }
  if (auto refusal =
          this->RefuseTooMany(submission, active_jobs, scheduler, now)) {
    return refusal;
  }
  if (auto refusal =
          this->RefuseTooLate(submission, pool_growth, scheduler, now)) {
    return refusal;
  }
  scheduler.start_forecast().RecordAccepted(submission.queue.name);
  this->load.CountAcceptedJob();
  return std::nullopt;
}

bool JobAdmission::IsShareUsedUp(const jobs::CustomerDeclaration& customer,
                                 SteadyTime now) {
  return this->policy.shares_by_work
             ? this->shares_by_work.IsUsedUp(customer, now)
             : this->shares_by_jobs.IsUsedUp(&customer, now);
}

bool JobAdmission::CountShare(const JobSubmission& submission,
                              const scheduler::Scheduler& scheduler,
                              SteadyTime now) {
  if (submission.customer == nullptr || !this->policy.shares_by_work) {
    return this->shares_by_jobs.CountJob(submission.customer, now);
  }
  if (now - this->capacity_counted_at >= kCapacityAge) {
    this->capacity_counted_at = now;
    this->shares_by_work.SetCapacity(scheduler.Capacity());
  }
  return this->shares_by_work.CountJob(
      *submission.customer,
      scheduler.ShareRequestOf(submission.queue.name, submission.spec), now);
}

// Returns when a refused caller should come back: later in a long rush of
// customers, whose weights let one of them send far beyond the room.
Milliseconds JobAdmission::StretchReturn(const JobSubmission& submission,
                                         Milliseconds retry_after,
                                         SteadyTime now) {
  if (submission.customer == nullptr) {
    return retry_after;
  }
  const bool is_first =
      this->WaitingTimeOf(submission.job, now) == Milliseconds(0);
  return this->return_times.Stretch(submission.queue.name, is_first,
                                    retry_after, now);
}

fleet::Answer JobAdmission::MakeRefusal(const JobId& job,
                                        scheduler::RefusalReason reason,
                                        std::string message,
                                        Milliseconds retry_after,
                                        SteadyTime now) {
  this->load.CountRefusal(reason);
  this->refused_callers.RecordRefusal(job, now);
  return {.code = ResultCode::kOverloaded,
          .message = std::move(message),
          .document = {{"retry_after_ms", retry_after.count()}}};
}

// Refuses a job if too many jobs are active or wait for a start.
std::optional<fleet::Answer> JobAdmission::RefuseTooMany(
    const JobSubmission& submission,
    std::size_t active_jobs,
    const scheduler::Scheduler& scheduler,
    SteadyTime now) {
  using enum scheduler::RefusalReason;
  if (active_jobs >= this->policy.most_active_jobs) {
    return this->MakeRefusal(submission.job, kOverload,
                             "too many jobs wait or run",
                             this->load.RetryAfter(), now);
  }
  // Jobs that a quota keeps waiting or that are beyond a share are no backlog,
  // so this alone leaves room for the jobs of other customers.
  const jobs::CustomerDeclaration* customer = submission.customer;
  const bool may_fill =
      customer == nullptr || (!scheduler.IsHeldByQuota(customer->name) &&
                              !this->IsShareUsedUp(*customer, now));
  if (!may_fill &&
      active_jobs >= this->policy.most_active_jobs / kExcessJobsDivisor) {
    return this->MakeRefusal(submission.job, kShare,
                             StrCat("the quota or the share of ",
                                    customer->name.value(), " is used up"),
                             this->load.RetryAfter(), now);
  }
  const scheduler::WaitingCounts waiting =
      scheduler.CountWaitingFor(submission.queue.name);
  if (this->backlog.IsFull(waiting)) {
    return this->MakeRefusal(
        submission.job, kBacklog,
        StrCat(waiting.of_all, " jobs wait for a start, ", waiting.of_queue,
               " of them of this queue"),
        this->StretchReturn(submission, this->backlog.RetryAfter(waiting), now),
        now);
  }
  return std::nullopt;
}

// Refuses a job that would begin too late to be in time, or that arrives while
// this process's event loop is late.
std::optional<fleet::Answer> JobAdmission::RefuseTooLate(
    const JobSubmission& submission,
    double pool_growth,
    scheduler::Scheduler& scheduler,
    SteadyTime now) {
  using enum scheduler::RefusalReason;
  const QueueName& queue = submission.queue.name;
  scheduler::StartForecast& forecast = scheduler.start_forecast();
  const auto to_spare =
      scheduler.TimeToSpareFor(submission.queue, submission.spec);
  const Milliseconds waited = this->WaitingTimeOf(submission.job, now);
  if (to_spare &&
      forecast.IsTooLate(queue, *to_spare - waited, now, pool_growth)) {
    return this->MakeRefusal(
        submission.job, kTooLate,
        "it would begin too late behind those that wait",
        this->StretchReturn(submission, forecast.RetryAfter(queue, now), now),
        now);
  }
  if (!this->load.DecideAdmission()) {
    return this->MakeRefusal(submission.job, kLate,
                             StrCat("this controller is ",
                                    this->load.lateness().count(), " ms late"),
                             this->load.RetryAfter(), now);
  }
  return std::nullopt;
}

}  // namespace sumac::daemon
