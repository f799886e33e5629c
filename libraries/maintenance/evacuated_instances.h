// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_EVACUATED_INSTANCES_H_
#define LIBRARIES_MAINTENANCE_EVACUATED_INSTANCES_H_

#include <map>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/maintenance/instance_listing.h"
#include "libraries/maintenance/maintenance_planner.h"

namespace sumac::maintenance {

// Determines which instances are in evacuated data centres. The data centre of
// an instance without a worker is known only from the platform's list. Pure.
class EvacuatedInstances {
 public:
  // Updates the known data centres of instances from a new list.
  void UpdateListing(const InstanceListing& listing);

  // Returns true if the instance must not be used because its data centre is
  // evacuated. An instance whose data centre is unknown may be used.
  bool Has(const jobs::JobsState& state,
           const std::map<InstanceName, InstanceFacts>& facts,
           const InstanceName& name) const;

  // Returns true if a data centre was evacuated or returned to use less than
  // `hold` ago.
  static bool HasRecentChange(const jobs::JobsState& state,
                              Milliseconds hold,
                              WallTime wall_now);

 private:
  std::map<InstanceName, DataCentre> data_centres;
};

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_EVACUATED_INSTANCES_H_
