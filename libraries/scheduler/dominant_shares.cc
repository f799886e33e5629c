// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/dominant_shares.h"

#include <algorithm>
#include <cstdint>

namespace sumac::scheduler {

double DominantShares::DominantShareOf(const jobs::Resources& used) const {
  const auto share = [](std::int64_t amount, std::int64_t total) {
    return total > 0 ? static_cast<double>(amount) / static_cast<double>(total)
                     : 0.0;
  };
  return std::max({share(used.millicores, this->capacity.millicores),
                   share(used.memory_mb, this->capacity.memory_mb),
                   share(used.accelerators, this->capacity.accelerators)});
}

bool DominantShares::CountJob(const jobs::CustomerDeclaration& declared,
                              const ShareRequest& request,
                              SteadyTime /*now*/) {
  Customer& customer = this->customers[declared.name];
  const double all =
      this->active_weight + (customer.jobs > 0 ? 0.0 : declared.weight);
  jobs::Resources open = customer.open;
  open.Add(request.need);
  // A customer may always have one open job.
  if (customer.jobs > 0 &&
      this->DominantShareOf(open) * all > declared.weight) {
    return true;
  }
  if (customer.jobs == 0) {
    customer.weight = declared.weight;
    this->active_weight += declared.weight;
  }
  customer.open = open;
  ++customer.jobs;
  return false;
}

void DominantShares::CountEnd(const jobs::CustomerDeclaration& declared,
                              const ShareRequest& request,
                              SteadyTime /*now*/) {
  const auto found = this->customers.find(declared.name);
  if (found == this->customers.end() || found->second.jobs == 0) {
    return;
  }
  Customer& customer = found->second;
  customer.open.Subtract(request.need);
  --customer.jobs;
  if (customer.jobs == 0) {
    this->active_weight = std::max(this->active_weight - customer.weight, 0.0);
    customer.open = {};
  }
}

}  // namespace sumac::scheduler
