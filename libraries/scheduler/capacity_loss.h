// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_CAPACITY_LOSS_H_
#define LIBRARIES_SCHEDULER_CAPACITY_LOSS_H_

#include <cstdint>
#include <map>

#include "libraries/base/names.h"

namespace sumac::scheduler {

// The processor capacity that a fleet's workers can give to new tasks, before
// and after data centres were evacuated or returned to use. Pure.
class CapacityLoss {
 public:
  struct Capacity {
    std::int64_t before = 0;
    std::int64_t after = 0;

    // Returns the share that is left: 1 if nothing was lost.
    double Left() const;
  };

  // Adds a worker that may or may not get tasks, before and after the change.
  void Add(const ServiceName& service,
           std::int64_t millicores,
           bool was_usable,
           bool is_usable);

  // Returns the share of the service's capacity that is left: 1 if none was
  // lost.
  double LeftOf(const ServiceName& service) const;
  // The capacity of the whole fleet.
  const Capacity& all() const { return this->of_all; }

 private:
  std::map<ServiceName, Capacity> services;
  Capacity of_all;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_CAPACITY_LOSS_H_
