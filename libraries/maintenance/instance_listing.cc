// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/instance_listing.h"

#include <utility>

namespace sumac::maintenance {

void InstanceListing::Take(std::vector<ListedInstance> instances,
                           SteadyTime asked_at,
                           bool has_nameless_rows) {
  std::map<InstanceName, ListedInstance> before =
      std::exchange(this->known, {});
  for (const InstanceName& name : this->missed) {
    before.erase(name);
  }
  this->missed.clear();
  for (ListedInstance& instance : instances) {
    InstanceName name = instance.name;
    this->known.insert_or_assign(std::move(name), std::move(instance));
  }
  for (auto& [name, row] : before) {
    if (this->known.try_emplace(name, std::move(row)).second) {
      this->missed.insert(name);
    }
  }
  this->is_before_incomplete =
      std::exchange(this->is_last_incomplete, has_nameless_rows);
  this->asked_before_at = this->last_asked_at;
  this->last_asked_at = asked_at;
}

const ListedInstance* InstanceListing::Find(const InstanceName& name) const {
  const auto found = this->known.find(name);
  return found == this->known.end() || this->missed.contains(name)
             ? nullptr
             : &found->second;
}

bool InstanceListing::IsGone(const InstanceName& name, SteadyTime since) const {
  return this->is_complete() && this->asked_before_at &&
         *this->asked_before_at > since && !this->known.contains(name);
}

}  // namespace sumac::maintenance
