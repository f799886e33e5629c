// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/fair_division.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sumac::maintenance {

std::map<ServiceName, std::int64_t> DivideFairly(
    const std::map<ServiceName, std::int64_t>& wants,
    std::int64_t instances) {
  std::vector<std::pair<std::int64_t, ServiceName>> order;
  order.reserve(wants.size());
  for (const auto& [pool, want] : wants) {
    order.emplace_back(want, pool);
  }
  std::sort(order.begin(), order.end());
  std::map<ServiceName, std::int64_t> parts;
  std::int64_t left = std::max<std::int64_t>(instances, 0);
  auto pools_left = static_cast<std::int64_t>(order.size());
  for (const auto& [want, pool] : order) {
    // The pools that want the most share what remains of the division.
    const std::int64_t equal_part = (left + pools_left - 1) / pools_left;
    const std::int64_t part = std::min(want, equal_part);
    parts[pool] = part;
    left -= part;
    --pools_left;
  }
  return parts;
}

}  // namespace sumac::maintenance
