// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/view_history.h"

#include <algorithm>
#include <utility>

#include "libraries/codec/json_writer.h"

namespace sumac::fleet {

void ViewHistory::RecordView(View next) {
  if (this->latest_view.version == 0) {
    // Changes before this controller's first view are unknown.
    this->history_start = next.version;
  }
  this->RecordServiceChange(next);
  std::map<InstanceName, const RoutedMinion*> before;
  for (const RoutedMinion& minion : this->latest_view.minions) {
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
  this->latest_view = std::move(next);
}

void ViewHistory::RecordServiceChange(const View& next) {
  const bool has_changed =
      ToJson(this->latest_view.services) != ToJson(next.services) ||
      this->latest_view.key_window != next.key_window;
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

std::optional<View> ViewHistory::DeltaSince(std::uint64_t known_version) const {
  if (known_version < this->history_start || known_version == 0 ||
      known_version > this->latest_view.version) {
    return std::nullopt;
  }
  View delta{.version = this->latest_view.version,
             .revision = this->latest_view.revision};
  delta.has_services = this->services_changed_at > known_version;
  if (delta.has_services) {
    delta.services = this->latest_view.services;
    delta.key_window = this->latest_view.key_window;
  }
  for (const RoutedMinion& minion : this->latest_view.minions) {
    const auto changed = this->changed_at.find(minion.name);
    if (changed != this->changed_at.end() && changed->second > known_version) {
      delta.minions.push_back(minion);
    }
  }
  for (const auto& [name, version] : this->removed_at) {
    if (version > known_version) {
      delta.removed.insert(name);
    }
  }
  return delta;
}

}  // namespace sumac::fleet
