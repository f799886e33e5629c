// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/evacuated_instances.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sumac::maintenance {

void EvacuatedInstances::UpdateListing(const InstanceListing& listing) {
  std::map<InstanceName, DataCentre> listed;
  for (const auto& [name, instance] : listing.rows()) {
    if (!instance.data_centre.value().empty()) {
      listed[name] = instance.data_centre;
      continue;
    }
    // A row that cannot be parsed names no data centre; instances stay where
    // they are.
    const auto known = this->data_centres.find(name);
    if (known != this->data_centres.end()) {
      listed.insert(*known);
    }
  }
  this->data_centres = std::move(listed);
}

bool EvacuatedInstances::Has(const jobs::JobsState& state,
                             const std::map<InstanceName, InstanceFacts>& facts,
                             const InstanceName& name) const {
  if (state.evacuated_data_centres().empty()) {
    return false;
  }
  const auto known = facts.find(name);
  if (known != facts.end() && known->second.is_evacuated) {
    return true;
  }
  const auto listed = this->data_centres.find(name);
  return listed != this->data_centres.end() && !state.IsInUse(listed->second);
}

bool EvacuatedInstances::HasRecentChange(const jobs::JobsState& state,
                                         Milliseconds hold,
                                         WallTime wall_now) {
  const auto& records = state.record().data_centres;
  return std::any_of(records.begin(), records.end(), [&](const auto& item) {
    const jobs::DataCentreRecord& record = item.second;
    // NOTE: The clock of the leader that proposed the change may be ahead of
    // this one.
    return record.version > 0 &&
           std::chrono::abs(wall_now - record.changed_at) < hold;
  });
}

}  // namespace sumac::maintenance
