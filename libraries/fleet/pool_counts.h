// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_POOL_COUNTS_H_
#define LIBRARIES_FLEET_POOL_COUNTS_H_

#include <cstdint>
#include <map>

#include "libraries/base/names.h"
#include "libraries/fleet/instance.h"

namespace sumac::fleet {

// The number of instances in a pool, data centre or rack, and how many of them
// are available, that is, count for the budget.
struct Availability {
  std::uint32_t members = 0;
  std::uint32_t available = 0;
};

// The counts of one pool, updated on each change of an instance, so that no
// decision needs a full scan of the fleet.
class PoolCounts {
 public:
  // Adds (`step` 1) or subtracts (`step` -1) one instance; `counts` is true if
  // it is available.
  void Change(const Instance& instance, bool counts, int step);

  const Availability& total() const { return this->whole; }
  Availability InDataCentre(const DataCentre& data_centre) const;
  Availability InRack(const DataCentre& data_centre, const Rack& rack) const;

  // Returns the number of available instances in the data centre or rack that
  // has the most of them.
  std::uint32_t LargestDataCentre() const;
  std::uint32_t LargestRack() const;

 private:
  using RackKey = std::pair<DataCentre, Rack>;

  Availability whole;
  std::map<DataCentre, Availability> data_centres;
  std::map<RackKey, Availability> racks;
};

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_POOL_COUNTS_H_
