// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_POOL_NEED_H_
#define LIBRARIES_MAINTENANCE_POOL_NEED_H_

#include <cstdint>

#include "libraries/jobs/resources.h"
#include "libraries/jobs/service_demand.h"
#include "libraries/maintenance/instance_division.h"

namespace sumac::maintenance {

struct PoolNeedSettings {
  // The maximum reserve of a pool over its demand for short tasks, in
  // thousandths of it.
  std::int64_t max_reserve_permille = 0;
  // The minimum number of instances of a pool, whatever its demand.
  std::int64_t min_instances = 0;
};

// Returns how many instances, each with the resources `instance`, a pool needs
// for the work of each class. The need is at least the sum of the processor
// time, and at least the instances into which the tasks can be packed by all
// resources. Above the work in time there is a reserve for jobs that arrive by
// chance; it grows with the root of their number, since the demand of many jobs
// varies less. Pure.
PoolNeed CountNeed(const jobs::ServiceDemand& demand,
                   const jobs::Resources& instance,
                   const PoolNeedSettings& settings);

// Returns the reserve for the demand of short tasks, in thousandths of a core.
std::int64_t ReserveFor(const jobs::ServiceDemand& demand,
                        std::int64_t max_reserve_permille);

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_POOL_NEED_H_
