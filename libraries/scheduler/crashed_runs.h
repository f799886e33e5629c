// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_CRASHED_RUNS_H_
#define LIBRARIES_SCHEDULER_CRASHED_RUNS_H_

#include <vector>

#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/task_crashes.h"
#include "libraries/scheduler/worker_session.h"

namespace sumac::scheduler {

// The runs that the crash of this worker may be put down to: all that were
// there, but long-running tasks that had been at work for long.
std::vector<jobs::CrashedRun> FindCrashedRuns(const WorkerSession& session,
                                              const jobs::JobsState& state);

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_CRASHED_RUNS_H_
