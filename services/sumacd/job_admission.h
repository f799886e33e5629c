// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_JOB_ADMISSION_H_
#define SERVICES_SUMACD_JOB_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "libraries/jobs/declaration.h"
#include "libraries/jobs/job_spec.h"
#include "libraries/jobs/job_tombstones.h"
#include "libraries/scheduler/backlog.h"
#include "libraries/scheduler/customer_shares.h"
#include "libraries/scheduler/fair_queue_shares.h"
#include "libraries/scheduler/refusal_reason.h"
#include "libraries/scheduler/refused_callers.h"
#include "libraries/scheduler/return_times.h"
#include "libraries/scheduler/scheduler.h"
#include "services/sumacd/leader_load.h"
#include "services/sumacd/node_settings.h"

namespace sumac::daemon {

// A new job that a caller submits.
struct JobSubmission {
  const jobs::QueueDeclaration& queue;
  // The customer's declaration; null if the job belongs to no customer.
  const jobs::CustomerDeclaration* customer = nullptr;
  const JobId& job;
  const jobs::JobSpec& spec;
};

// Logs the answer to a submission, with the version of the declaration that
// decided it.
void LogSubmission(const JobId& job,
                   const jobs::RequestOrigin& origin,
                   const fleet::Answer& answer,
                   std::uint64_t declaration_version);

// Decides, for the leader, whether a new job is accepted. A job that can't be
// served is refused at once, with the time after which its caller should retry.
class JobAdmission {
 public:
  JobAdmission(const PolicySettings& policy, LeaderLoad& load)
      : policy(policy), load(load) {}

  // Returns the refusal of a job, or nothing if the job is admitted.
  // `active_jobs` is the number of accepted jobs that have not finished, and
  // `pool_growth` how many times its present capacity the pool will have soon.
  std::optional<fleet::Answer> Refuse(const JobSubmission& submission,
                                      std::size_t active_jobs,
                                      double pool_growth,
                                      scheduler::Scheduler& scheduler,
                                      SteadyTime now);

  // Counts an admitted job. Returns true if it is beyond its customer's share.
  bool CountShare(const JobSubmission& submission,
                  const scheduler::Scheduler& scheduler,
                  SteadyTime now);

  // Returns how long the job's submissions have been refused.
  Milliseconds WaitingTimeOf(const JobId& job, SteadyTime now) {
    return this->refused_callers.WaitingTimeOf(job, now);
  }

  // Records that a job has finished.
  void RecordFinished(SteadyTime now) { this->backlog.RecordFinished(now); }

 private:
  Milliseconds StretchReturn(const JobSubmission& submission,
                             Milliseconds retry_after,
                             SteadyTime now);
  fleet::Answer MakeRefusal(const JobId& job,
                            scheduler::RefusalReason reason,
                            std::string message,
                            Milliseconds retry_after,
                            SteadyTime now);
  std::optional<fleet::Answer> RefuseTooMany(
      const JobSubmission& submission,
      std::size_t active_jobs,
      const scheduler::Scheduler& scheduler,
      SteadyTime now);
  std::optional<fleet::Answer> RefuseTooLate(const JobSubmission& submission,
                                             double pool_growth,
                                             scheduler::Scheduler& scheduler,
                                             SteadyTime now);

  bool IsShareUsedUp(const jobs::CustomerDeclaration& customer, SteadyTime now);

  const PolicySettings& policy;
  LeaderLoad& load;
  scheduler::Backlog backlog;
  // The two ways to share; the policy says which one is used.
  scheduler::CustomerShares shares_by_jobs;
  scheduler::FairQueueShares shares_by_work;
  // When the capacity of the fleet was last counted.
  SteadyTime capacity_counted_at{};
  scheduler::RefusedCallers refused_callers;
  scheduler::ReturnTimes return_times;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_JOB_ADMISSION_H_
