// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_PLANNER_H_
#define LIBRARIES_FLEET_PLANNER_H_

#include <vector>

#include "libraries/base/time.h"
#include "libraries/fleet/commands.h"
#include "libraries/fleet/fleet_state.h"
#include "libraries/fleet/soft_state.h"

namespace sumac::fleet {

// How patient the planner is.
struct PlannerSettings {
  // A draining instance counts as drained no earlier than this after the grant:
  // by then every entry, one cut off included, has stopped sending it new work.
  Milliseconds drain_grace{3'000};
  // How much longer than its lease a task is taken to run, for clocks that
  // drift apart.
  Milliseconds lease_margin{1'000};
  std::size_t max_placements_per_pass = 256;
  // Instances looked at in one turn; with ten turns a second a fleet of 6,400
  // is gone round in 0.7 s.
  std::size_t max_instances_per_pass = 1'000;
};

// One step that the platform must be told, again and again until it reports it.
struct PlatformStep {
  InstanceName instance;
  OperationId operation;
  OperationKind kind = OperationKind::kReboot;
};

// Says what the leader should propose now. It reads the committed state and
// what the leader heard; it changes nothing, and the machine checks each
// proposal again.
std::vector<Command> Plan(const FleetState& state,
                          SoftState& soft,
                          const PlannerSettings& settings,
                          WallTime wall_now,
                          SteadyTime now);

// The operations that the platform has to carry out now.
std::vector<PlatformStep> PlatformSteps(const FleetState& state);

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_PLANNER_H_
