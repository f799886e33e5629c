// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/capacity_loss.h"

#include <algorithm>

namespace sumac::scheduler {

void CapacityLoss::Add(const ServiceName& service,
                       std::int64_t millicores,
                       bool was_usable,
                       bool is_usable) {
  for (Capacity* capacity : {&this->services[service], &this->of_all}) {
    capacity->before += was_usable ? millicores : 0;
    capacity->after += is_usable ? millicores : 0;
  }
}

double CapacityLoss::LeftOf(const ServiceName& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 1 : found->second.Left();
}

double CapacityLoss::Capacity::Left() const {
  // A rate that was measured with less capacity grows by itself.
  return this->before == 0
             ? 1
             : std::min(1.0, static_cast<double>(this->after) /
                                 static_cast<double>(this->before));
}

}  // namespace sumac::scheduler
