// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_POOL_COUNTS_H_
#define LIBRARIES_FLEET_POOL_COUNTS_H_

#include <cstdint>
#include <map>

#include "libraries/base/names.h"
#include "libraries/fleet/instance.h"

namespace sumac::fleet {

// How many instances there are somewhere, and how many of them count for the
// budget.
struct Availability {
  std::uint32_t members = 0;
  std::uint32_t available = 0;
};

// The counts of one pool, kept up to date with each change of an instance, so
// that no decision goes over the fleet.
class PoolCounts {
 public:
  // Adds (`step` 1) or takes away (-1) one instance; `counts` tells if it is
  // available.
  void Change(const Instance& instance, bool counts, int step);

  const Availability& total() const { return this->whole; }
  Availability InDataCentre(const DataCentre& data_centre) const;
  Availability InRack(const DataCentre& data_centre, const Rack& rack) const;

  // The most available instances that any one data centre or rack has.
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
