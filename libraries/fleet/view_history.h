// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_VIEW_HISTORY_H_
#define LIBRARIES_FLEET_VIEW_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "libraries/base/names.h"
#include "libraries/fleet/view.h"

namespace sumac::fleet {

// The latest view and, per minion, the version in which it last changed, so
// that a follower gets what it missed and no more: a change of one minion costs
// the same whatever the size of the fleet.
class ViewHistory {
 public:
  // Takes in the next view.
  void Take(View view);

  const View& latest() const { return this->present; }

  // What changed after version `have`; nothing when that lies before what is
  // remembered, and the follower needs the whole view.
  std::optional<View> DeltaSince(std::uint64_t have) const;

  // Removed minions are remembered up to this many; with more, older followers
  // get the whole view.
  static constexpr std::size_t kMaxRemovedMinions = 1'024;

 private:
  void RecordServiceChange(const View& next);
  void DropOldRemovals();

  View present;
  std::uint64_t history_start = 0;
  std::uint64_t services_changed_at = 0;
  std::map<InstanceName, std::uint64_t> changed_at;
  std::map<InstanceName, std::uint64_t> removed_at;
};

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_VIEW_HISTORY_H_
