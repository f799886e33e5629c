// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_VIEW_HISTORY_H_
#define LIBRARIES_FLEET_VIEW_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "libraries/base/names.h"
#include "libraries/fleet/view.h"

namespace sumac::fleet {

// Holds the latest view and, per minion, the version in which it last changed,
// so that a follower receives only the changes it missed: the cost of changing
// one minion does not depend on the size of the fleet.
class ViewHistory {
 public:
  // Records `view` as the latest one.
  void RecordView(View view);

  const View& latest() const { return this->latest_view; }

  // Returns the changes after version `known_version`, or nothing if
  // `known_version` is older than the recorded history and the follower needs
  // the whole view.
  std::optional<View> DeltaSince(std::uint64_t known_version) const;

  // The maximum number of removed minions that are recorded. Beyond it,
  // followers with older views receive the whole view.
  static constexpr std::size_t kMaxRemovedMinions = 1'024;

 private:
  void RecordServiceChange(const View& next);
  void DropOldRemovals();

  View latest_view;
  std::uint64_t history_start = 0;
  std::uint64_t services_changed_at = 0;
  std::map<InstanceName, std::uint64_t> changed_at;
  std::map<InstanceName, std::uint64_t> removed_at;
};

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_VIEW_HISTORY_H_
