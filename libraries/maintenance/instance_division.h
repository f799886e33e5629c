// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_INSTANCE_DIVISION_H_
#define LIBRARIES_MAINTENANCE_INSTANCE_DIVISION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "libraries/base/names.h"

namespace sumac::maintenance {

// The classes of work, the one that goes first before the others: long-running
// tasks, jobs that can still be in time, jobs that are late but worth
// something, and jobs that are worth nothing any more.
enum class WorkClass : std::size_t { kStanding, kInTime, kLate, kWorthless };
inline constexpr std::size_t kWorkClasses = 4;

// The number of instances that a pool needs for the work of each class and of
// those before it.
class PoolNeed {
 public:
  std::int64_t& operator[](WorkClass work) {
    return this->up_to[static_cast<std::size_t>(work)];
  }
  std::int64_t operator[](WorkClass work) const {
    return this->up_to[static_cast<std::size_t>(work)];
  }

 private:
  std::array<std::int64_t, kWorkClasses> up_to{};
};

// Divides instances between pools that together need more than there are.
// Handles turns of several queues whose work exceeds the fleet: no instance
// goes to late work while work that can be in time lacks one, and within a
// class the pools that need little get it and the others get equal additional
// numbers. Returns each pool's part up to each class. Pure.
std::map<ServiceName, PoolNeed> DivideInstances(
    const std::map<ServiceName, PoolNeed>& needs,
    std::int64_t instances);

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_INSTANCE_DIVISION_H_
