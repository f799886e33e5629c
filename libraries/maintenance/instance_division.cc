// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/instance_division.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sumac::maintenance {
namespace {

// Divides `left` instances by max-min fairness: a pool that wants little gets
// it, and the others get equal numbers.
std::map<ServiceName, std::int64_t> DivideFairly(
    const std::map<ServiceName, std::int64_t>& wants,
    std::int64_t left) {
  std::vector<std::pair<std::int64_t, ServiceName>> order;
  order.reserve(wants.size());
  for (const auto& [pool, want] : wants) {
    order.emplace_back(want, pool);
  }
  std::sort(order.begin(), order.end());
  std::map<ServiceName, std::int64_t> parts;
  auto pools_left = static_cast<std::int64_t>(order.size());
  for (const auto& [want, pool] : order) {
    const std::int64_t equal_part = (left + pools_left - 1) / pools_left;
    const std::int64_t part = std::min(want, equal_part);
    parts[pool] = part;
    left -= part;
    --pools_left;
  }
  return parts;
}

}  // namespace

std::map<ServiceName, PoolNeed> DivideInstances(
    const std::map<ServiceName, PoolNeed>& needs,
    std::int64_t instances) {
  std::map<ServiceName, PoolNeed> parts;
  std::int64_t left = std::max<std::int64_t>(instances, 0);
  for (std::size_t number = 0; number < kWorkClasses; ++number) {
    const auto work = static_cast<WorkClass>(number);
    const auto before = static_cast<WorkClass>(number == 0 ? 0 : number - 1);
    std::map<ServiceName, std::int64_t> wants;
    for (const auto& [pool, need] : needs) {
      const std::int64_t earlier = number == 0 ? 0 : need[before];
      wants[pool] = std::max<std::int64_t>(0, need[work] - earlier);
    }
    for (const auto& [pool, part] : DivideFairly(wants, left)) {
      PoolNeed& of_pool = parts[pool];
      of_pool[work] = part + (number == 0 ? 0 : of_pool[before]);
      left -= part;
    }
  }
  return parts;
}

}  // namespace sumac::maintenance
