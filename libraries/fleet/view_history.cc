// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/view_history.h"

#include <algorithm>
#include <utility>

#include "libraries/codec/json_writer.h"

namespace sumac::fleet {

void ViewHistory::RecordView(View next) {
  if (this->present.version == 0) {
    // What happened before this controller started is not known.
    this->history_start = next.version;
  }
  this->RecordServiceChange(next);
  std::map<InstanceName, const RoutedMinion*> before;
  for (const RoutedMinion& minion : this->present.minions) {
    before[minion.name] = &minion;
  }
  for (const RoutedMinion& minion : next.minions) {
    const auto known = before.find(minion.name);
    if (known == before.end() || *known->second != minion) {
      this->changed_at[minion.name] = next.version;
    }
    this->removed_at.erase(minion.name);
    if (known != before.end()) {
      before.erase(known);
    }
  }
  for (const auto& [name, minion] : before) {
    this->changed_at.erase(name);
    this->removed_at[name] = next.version;
  }
  this->DropOldRemovals();
  this->present = std::move(next);
}

void ViewHistory::RecordServiceChange(const View& next) {
  const bool has_changed =
      ToJson(this->present.services) != ToJson(next.services) ||
      this->present.key_window != next.key_window;
  if (has_changed) {
    this->services_changed_at = next.version;
  }
}

void ViewHistory::DropOldRemovals() {
  while (this->removed_at.size() > kMaxRemovedMinions) {
    const auto oldest =
        std::min_element(this->removed_at.begin(), this->removed_at.end(),
                         [](const auto& left, const auto& right) {
                           return left.second < right.second;
                         });
    this->history_start = std::max(this->history_start, oldest->second);
    this->removed_at.erase(oldest);
  }
}

std::optional<View> ViewHistory::DeltaSince(std::uint64_t have) const {
  if (have < this->history_start || have == 0 || have > this->present.version) {
    return std::nullopt;
  }
  View delta{.version = this->present.version,
             .revision = this->present.revision};
  delta.has_services = this->services_changed_at > have;
  if (delta.has_services) {
    delta.services = this->present.services;
    delta.key_window = this->present.key_window;
  }
  for (const RoutedMinion& minion : this->present.minions) {
    const auto changed = this->changed_at.find(minion.name);
    if (changed != this->changed_at.end() && changed->second > have) {
      delta.minions.push_back(minion);
    }
  }
  for (const auto& [name, version] : this->removed_at) {
    if (version > have) {
      delta.removed.insert(name);
    }
  }
  return delta;
}

}  // namespace sumac::fleet
