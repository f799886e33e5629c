// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_SERVICE_DEMAND_H_
#define LIBRARIES_JOBS_SERVICE_DEMAND_H_

#include <cstdint>
#include <map>
#include <string>

namespace sumac::jobs {

// The demand of the tasks that require one label, in thousandths of cores.
struct LabelDemand {
  std::int64_t millicores = 0;
  // The demand of tasks whose jobs are so late that completing them has no
  // value any more.
  std::int64_t late_millicores = 0;
};

// The current demand of the tasks of one service, in thousandths of cores.
struct ServiceDemand {
  // The demand of short tasks that run or could run, or the load of the jobs
  // that arrive at present, whichever is larger.
  std::int64_t short_millicores = 0;
  // The demand of short tasks whose jobs are so late that completing them has
  // no value any more.
  std::int64_t late_millicores = 0;
  // The demand of long-running tasks.
  std::int64_t long_running_millicores = 0;
  // The part of the demand above that only workers with a label can serve, by
  // label. It excludes the load of jobs that have yet to arrive.
  std::map<std::string, LabelDemand> by_label;
  // The minimum number of instances over which the tasks of one step must be
  // spread.
  std::int64_t min_instances = 0;
};

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_SERVICE_DEMAND_H_
