// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_NEAR_WAIT_H_
#define LIBRARIES_SCHEDULER_NEAR_WAIT_H_

#include <map>

#include "libraries/base/time.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/task_id.h"

namespace sumac::scheduler {

// Decides how long steps wait for room near their data while there is room only
// far from it. A far run takes a multiple of a near one, at least twice as long
// by the platform's terms, and keeps its room for as long. So a step waits for
// what a far run would lose at least, which is one near run: whatever happens
// then, it has lost no more than twice what knowing the future would have
// spared it. Pure.
class NearWait {
 public:
  // True while the step should go on waiting. The wait begins with the first
  // call; `near_run` is how long a task of it takes near its data.
  bool ShouldWait(const jobs::StepId& step,
                  Milliseconds near_run,
                  SteadyTime now);

  // Forgets steps of jobs that are finished.
  void DropFinished(const jobs::JobsState& state);

 private:
  std::map<jobs::StepId, SteadyTime> since;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_NEAR_WAIT_H_
