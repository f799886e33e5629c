// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_INSTANCE_PACKING_H_
#define LIBRARIES_MAINTENANCE_INSTANCE_PACKING_H_

#include <cstdint>
#include <vector>

#include "libraries/jobs/resources.h"
#include "libraries/jobs/service_demand.h"

namespace sumac::maintenance {

// Packs groups of equal tasks into equal instances by every resource and by the
// maximum number of a step's tasks per instance, first fit. Handles tasks that
// use up the memory or the accelerators of an instance long before its cores.
// Instances with the same free room are kept as one item, and only the items
// with the most room are kept open, so that the cost depends neither on the
// number of instances nor on that of tasks. Pure.
class InstancePacking {
 public:
  explicit InstancePacking(const jobs::Resources& instance)
      : instance(instance) {}

  // Packs a group of tasks. A task that does not fit into an empty instance is
  // left out, because more instances would not help it.
  void Add(const jobs::TaskGroup& group);
  // Packs groups of tasks, the largest tasks first.
  void Add(std::vector<jobs::TaskGroup> groups);

  // Returns the number of instances in use.
  std::int64_t instances() const { return this->count; }

 private:
  // Open instances with the same free room.
  struct Item {
    jobs::Resources room;
    std::int64_t instances = 0;
  };

  // Returns the larger of the shares of the instance's resources.
  double ShareOf(const jobs::Resources& amount) const;
  void Open(const jobs::Resources& room, std::int64_t instances);

  jobs::Resources instance;
  std::int64_t count = 0;
  std::vector<Item> open;
};

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_INSTANCE_PACKING_H_
