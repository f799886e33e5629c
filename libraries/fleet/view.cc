// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/view.h"

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

}  // namespace sumac::fleet
