// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/pool_counts.h"

#include <algorithm>

namespace sumac::fleet {
namespace {

void ChangeOne(Availability& availability, bool counts, int step) {
  availability.members += step;
  if (counts) {
    availability.available += step;
  }
}

template <typename Key>
void ChangeIn(std::map<Key, Availability>& domains,
              const Key& key,
              bool counts,
              int step) {
  Availability& availability = domains[key];
  ChangeOne(availability, counts, step);
  if (availability.members == 0) {
    domains.erase(key);
  }
}

template <typename Key>
Availability Find(const std::map<Key, Availability>& domains, const Key& key) {
  const auto found = domains.find(key);
  return found == domains.end() ? Availability{} : found->second;
}

template <typename Key>
std::uint32_t Largest(const std::map<Key, Availability>& domains) {
  std::uint32_t largest = 0;
  for (const auto& [key, availability] : domains) {
    largest = std::max(largest, availability.available);
  }
  return largest;
}

}  // namespace

void PoolCounts::Change(const Instance& instance, bool counts, int step) {
  ChangeOne(this->whole, counts, step);
  ChangeIn(this->data_centres, instance.target.data_centre, counts, step);
  ChangeIn(this->racks,
           RackKey(instance.target.data_centre, instance.target.rack), counts,
           step);
}

Availability PoolCounts::InDataCentre(const DataCentre& data_centre) const {
  return Find(this->data_centres, data_centre);
}

Availability PoolCounts::InRack(const DataCentre& data_centre,
                                const Rack& rack) const {
  return Find(this->racks, RackKey(data_centre, rack));
}

std::uint32_t PoolCounts::LargestDataCentre() const {
  return Largest(this->data_centres);
}

std::uint32_t PoolCounts::LargestRack() const {
  return Largest(this->racks);
}

}  // namespace sumac::fleet
