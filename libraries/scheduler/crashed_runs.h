// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_CRASHED_RUNS_H_
#define LIBRARIES_SCHEDULER_CRASHED_RUNS_H_

#include <vector>

#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/task_crashes.h"
#include "libraries/scheduler/worker_session.h"

namespace sumac::scheduler {

// Returns the runs that may have caused the crash of this worker: all of its
// runs except long-running tasks that had been running for long.
std::vector<jobs::CrashedRun> FindCrashedRuns(const WorkerSession& session,
                                              const jobs::JobsState& state);

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_CRASHED_RUNS_H_
