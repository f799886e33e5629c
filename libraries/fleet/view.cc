// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/view.h"

#include <map>
#include <utility>

namespace sumac::fleet {

View MakeView(const FleetState& state) {
  const FleetRecord& record = state.record();
  View view{.version = record.view_version,
            .revision = record.revision,
            .services = record.declaration.services,
            .key_window = record.declaration.key_window};
  for (const auto& [name, instance] : record.instances) {
    const bool is_member = instance.state != InstanceState::kLeft;
    if (instance.target.kind != TargetKind::kMinion || !is_member) {
      continue;
    }
    const TargetDescription& target = instance.target;
    view.minions.push_back(RoutedMinion{
        name, target.address, target.data_centre, target.rack,
        target.incarnation, target.services, target.slots, target.connections,
        state.InstanceHasTag(instance, "can_take_work")});
  }
  return view;
}

View ApplyDelta(const View& before, const View& delta) {
  std::map<InstanceName, RoutedMinion> minions;
  for (const RoutedMinion& minion : before.minions) {
    minions[minion.name] = minion;
  }
  for (const InstanceName& name : delta.removed) {
    minions.erase(name);
  }
  for (const RoutedMinion& minion : delta.minions) {
    minions[minion.name] = minion;
  }
  View after = before;
  after.version = delta.version;
  after.revision = delta.revision;
  if (delta.has_services) {
    after.services = delta.services;
    after.key_window = delta.key_window;
  }
  after.minions.clear();
  for (auto& [name, minion] : minions) {
    after.minions.push_back(std::move(minion));
  }
  return after;
}

}  // namespace sumac::fleet
