// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_FAIR_DIVISION_H_
#define LIBRARIES_MAINTENANCE_FAIR_DIVISION_H_

#include <cstdint>
#include <map>

#include "libraries/base/names.h"

namespace sumac::maintenance {

// Divides instances between pools that want more than there are, by max-min
// fairness: a pool that wants little gets it, and the others get equal numbers.
// Handles rushes of several services at once, in which the pool that asked
// first would otherwise keep all instances. Returns each pool's part, which is
// never more than it wants; the wants themselves if there are enough instances.
// Pure.
std::map<ServiceName, std::int64_t> DivideFairly(
    const std::map<ServiceName, std::int64_t>& wants,
    std::int64_t instances);

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_FAIR_DIVISION_H_
