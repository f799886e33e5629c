// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/instance_listing.h"

#include <utility>

namespace sumac::maintenance {

void InstanceListing::RecordList(std::vector<ListedInstance> instances,
                                 SteadyTime requested_at,
                                 bool has_nameless_rows) {
  std::map<InstanceName, ListedInstance> before =
      std::exchange(this->known, {});
  for (const InstanceName& name : this->absent_rows) {
    before.erase(name);
  }
  this->absent_rows.clear();
  for (ListedInstance& instance : instances) {
    InstanceName name = instance.name;
    this->known.insert_or_assign(std::move(name), std::move(instance));
  }
  for (auto& [name, row] : before) {
    if (this->known.try_emplace(name, std::move(row)).second) {
      this->absent_rows.insert(name);
    }
  }
  this->is_previous_incomplete =
      std::exchange(this->is_last_incomplete, has_nameless_rows);
  this->previous_requested_at = this->last_requested_at;
  this->last_requested_at = requested_at;
}

const ListedInstance* InstanceListing::Find(const InstanceName& name) const {
  const auto found = this->known.find(name);
  return found == this->known.end() || this->absent_rows.contains(name)
             ? nullptr
             : &found->second;
}

bool InstanceListing::IsGone(const InstanceName& name, SteadyTime since) const {
  return this->is_complete() && this->previous_requested_at &&
         *this->previous_requested_at > since && !this->known.contains(name);
}

}  // namespace sumac::maintenance
