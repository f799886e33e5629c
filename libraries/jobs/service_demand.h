// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_SERVICE_DEMAND_H_
#define LIBRARIES_JOBS_SERVICE_DEMAND_H_

#include <cstdint>
#include <map>
#include <string>

namespace sumac::jobs {

// What the tasks that require one label need, in thousandths of cores.
struct LabelDemand {
  std::int64_t millicores = 0;
  // Of tasks whose jobs are so late that they earn nothing any more.
  std::int64_t late_millicores = 0;
};

// What the tasks of one service need now, in thousandths of cores.
struct ServiceDemand {
  // Of short tasks that run or could run, or what the jobs that arrive now will
  // keep busy, if that is more.
  std::int64_t short_millicores = 0;
  // Of short tasks whose jobs are so late that they earn nothing any more.
  std::int64_t late_millicores = 0;
  // Of long-running tasks.
  std::int64_t long_running_millicores = 0;
  // The part of the above that only workers with a label can take, by label;
  // what still arrives is not in it.
  std::map<std::string, LabelDemand> by_label;
  // Instances over which the tasks of one step must be spread at least.
  std::int64_t min_instances = 0;
};

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_SERVICE_DEMAND_H_
