// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/instance_packing.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sumac::maintenance {
namespace {

// The maximum number of different free rooms that are kept open.
constexpr std::size_t kMaxOpenItems = 32;

std::int64_t CountFitting(std::int64_t room, std::int64_t need) {
  return need <= 0 ? std::numeric_limits<std::int64_t>::max() : room / need;
}

// Returns how many tasks of a group fit into one instance with this room.
std::int64_t CountFitting(const jobs::Resources& room,
                          const jobs::TaskGroup& group) {
  const std::int64_t by_step = group.most_per_worker == 0
                                   ? std::numeric_limits<std::int64_t>::max()
                                   : group.most_per_worker;
  return std::min({CountFitting(room.millicores, group.need.millicores),
                   CountFitting(room.memory_mb, group.need.memory_mb),
                   CountFitting(room.accelerators, group.need.accelerators),
                   by_step, group.count});
}

jobs::Resources RoomAfter(jobs::Resources room,
                          const jobs::Resources& need,
                          std::int64_t tasks) {
  room.Subtract(need.Times(tasks));
  return room;
}

double Share(std::int64_t part, std::int64_t whole) {
  return whole <= 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

double InstancePacking::ShareOf(const jobs::Resources& amount) const {
  return std::max({Share(amount.millicores, this->instance.millicores),
                   Share(amount.memory_mb, this->instance.memory_mb),
                   Share(amount.accelerators, this->instance.accelerators)});
}

void InstancePacking::Open(const jobs::Resources& room,
                           std::int64_t instances) {
  if (instances > 0) {
    this->open.push_back(Item{room, instances});
  }
}

void InstancePacking::Add(const jobs::TaskGroup& group) {
  if (group.count <= 0 || CountFitting(this->instance, group) == 0) {
    return;
  }
  std::int64_t left = group.count;
  std::vector<Item> before = std::exchange(this->open, {});
  // One item stands for all instances that are not in use yet.
  before.push_back(
      Item{this->instance, std::numeric_limits<std::int64_t>::max()});
  for (std::size_t number = 0; number < before.size(); ++number) {
    const Item& item = before[number];
    const bool is_new = number + 1 == before.size();
    const std::int64_t fitting = CountFitting(item.room, group);
    const std::int64_t filled =
        fitting == 0 ? 0 : std::min(item.instances, left / fitting);
    left -= filled * fitting;
    const bool is_last_partial =
        fitting > 0 && left > 0 && filled < item.instances;
    this->Open(RoomAfter(item.room, group.need, fitting), filled);
    if (is_last_partial) {
      this->Open(RoomAfter(item.room, group.need, left), 1);
      left = 0;
    }
    const std::int64_t used =
        filled + static_cast<std::int64_t>(is_last_partial);
    if (is_new) {
      this->count += used;
    } else {
      this->Open(item.room, item.instances - used);
    }
  }
  if (this->open.size() > kMaxOpenItems) {
    std::stable_sort(this->open.begin(), this->open.end(),
                     [this](const Item& left, const Item& right) {
                       return this->ShareOf(left.room) >
                              this->ShareOf(right.room);
                     });
    this->open.resize(kMaxOpenItems);
  }
}

void InstancePacking::Add(std::vector<jobs::TaskGroup> groups) {
  std::stable_sort(
      groups.begin(), groups.end(),
      [this](const jobs::TaskGroup& left, const jobs::TaskGroup& right) {
        return this->ShareOf(left.need) > this->ShareOf(right.need);
      });
  for (const jobs::TaskGroup& group : groups) {
    this->Add(group);
  }
}

}  // namespace sumac::maintenance
