// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_PLACEMENT_H_
#define LIBRARIES_FLEET_PLACEMENT_H_

#include <vector>

#include "libraries/fleet/commands.h"
#include "libraries/fleet/fleet_state.h"

namespace sumac::fleet {

// Chooses workers for queued jobs: urgent before interactive before background
// jobs and, within each priority, the oldest first; `max_placements` is the
// maximum number of placements. A job goes to the worker with the least free
// capacity that fits (best fit), which keeps large gaps for large jobs.
std::vector<Placement> ChoosePlacements(const FleetState& state,
                                        std::size_t max_placements);

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_PLACEMENT_H_
