// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_NEAR_WAIT_H_
#define LIBRARIES_SCHEDULER_NEAR_WAIT_H_

#include <map>

#include "libraries/base/time.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/task_id.h"

namespace sumac::scheduler {

// Decides how long steps wait for room near their data while there is room only
// far from it. A far run takes a multiple of a near run, at least twice as long
// by the platform's terms, and occupies its room for as long. A step therefore
// waits for the minimum loss of a far run, which is the duration of one near
// run. Whatever happens then, the loss is at most twice that of a decision with
// knowledge of the future.
//
// Beside a service that is half free a far run delays nobody else, and the
// platform's rules limit the wait of a job there, so it is short then. Pure.
class NearWait {
 public:
  // The longest wait while at least half of the service is free.
  static constexpr Milliseconds kMaxWaitBesideRoom{2'000};

  // Returns true while the step should keep waiting. The wait begins with the
  // first call; `near_run` is how long a task of the step takes near its data.
  bool ShouldWait(const jobs::StepId& step,
                  Milliseconds near_run,
                  bool is_half_free,
                  SteadyTime now);

  // Removes the steps of finished jobs.
  void DropFinished(const jobs::JobsState& state);

 private:
  std::map<jobs::StepId, SteadyTime> since;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_NEAR_WAIT_H_
