// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_PLANNER_H_
#define LIBRARIES_FLEET_PLANNER_H_

#include <vector>

#include "libraries/base/time.h"
#include "libraries/fleet/commands.h"
#include "libraries/fleet/fleet_state.h"
#include "libraries/fleet/soft_state.h"

namespace sumac::fleet {

// The time limits and batch sizes of the planner.
struct PlannerSettings {
  // The minimum time from the grant until a draining instance counts as
  // drained. By then every entry, even one that is cut off, has stopped sending
  // it new work.
  Milliseconds drain_grace{3'000};
  // How long after the end of its lease a task is assumed to be running, which
  // allows for clock drift.
  Milliseconds lease_margin{1'000};
  std::size_t max_placements_per_pass = 256;
  // The maximum number of instances checked in one planning pass. At ten passes
  // per second, a full scan of 6,400 instances takes 0.7 s.
  std::size_t max_instances_per_pass = 1'000;
};

// One step to request from the platform, repeatedly until the platform reports
// its outcome.
struct PlatformStep {
  InstanceName instance;
  OperationId operation;
  OperationKind kind = OperationKind::kReboot;
};

// Returns the commands that the leader should propose now, based on the
// committed state and the renewals that the leader received. Changes only the
// scan position and the drain times in `soft`; the state machine checks each
// proposal again.
std::vector<Command> Plan(const FleetState& state,
                          SoftState& soft,
                          const PlannerSettings& settings,
                          WallTime wall_now,
                          SteadyTime now);

// Returns the operations that the platform has to carry out now.
std::vector<PlatformStep> PlatformSteps(const FleetState& state);

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_PLANNER_H_
