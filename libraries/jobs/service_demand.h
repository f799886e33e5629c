// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_SERVICE_DEMAND_H_
#define LIBRARIES_JOBS_SERVICE_DEMAND_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/jobs/resources.h"

namespace sumac::jobs {

// Equal tasks of one step that run or could run.
struct TaskGroup {
  std::int64_t count = 0;
  // What each task is counted with on its worker.
  Resources need;
  // The maximum number of the tasks on one worker; 0 for no limit.
  std::int64_t most_per_worker = 0;
  // The label that the worker must have; empty if any worker will do.
  std::string required_label;
};

// The demand of the tasks that require one label, in thousandths of cores.
struct LabelDemand {
  std::int64_t millicores = 0;
  // The demand of tasks whose jobs are late, whether or not completing them
  // still has a value.
  std::int64_t late_millicores = 0;
};

// The current demand of the tasks of one service, in thousandths of cores.
struct ServiceDemand {
  // The demand of short tasks that run or could run and whose jobs can be in
  // time, or the load of the jobs that arrive at present, whichever is larger.
  std::int64_t short_millicores = 0;
  // The standard deviation of that demand, if the jobs show one and it does not
  // grow.
  std::optional<std::int64_t> deviation_millicores;
  // The demand of short tasks whose jobs are late but still worth something.
  std::int64_t late_millicores = 0;
  // The demand of short tasks whose jobs are so late that completing them has
  // no value any more.
  std::int64_t worthless_millicores = 0;
  // The demand of long-running tasks.
  std::int64_t long_running_millicores = 0;
  // The part of the demand above that only workers with a label can serve, by
  // label. It excludes the load of jobs that have yet to arrive.
  std::map<std::string, LabelDemand> by_label;
  // The minimum number of instances over which the tasks of one step must be
  // spread.
  std::int64_t min_instances = 0;
  // The long-running tasks, and the short ones whose jobs can be in time,
  // without those that a quota forbids.
  std::vector<TaskGroup> long_running_tasks;
  std::vector<TaskGroup> short_tasks;
};

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_SERVICE_DEMAND_H_
