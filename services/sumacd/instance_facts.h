// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_INSTANCE_FACTS_H_
#define SERVICES_SUMACD_INSTANCE_FACTS_H_

#include <map>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/maintenance/maintenance_planner.h"
#include "libraries/scheduler/scheduler.h"

namespace sumac::daemon {

// Collects the facts about instances that the planners need from the
// scheduler's sessions with workers, by instance.
std::map<InstanceName, maintenance::InstanceFacts> GatherInstanceFacts(
    const scheduler::Scheduler& scheduler);

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_INSTANCE_FACTS_H_
