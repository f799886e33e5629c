// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_CORDON_PAUSES_H_
#define LIBRARIES_MAINTENANCE_CORDON_PAUSES_H_

#include <cstdint>
#include <map>

#include "libraries/base/names.h"
#include "libraries/base/time.h"

namespace sumac::maintenance {

// How long instances whose cordon was given back are left alone, so that what
// needed them can use them before they are cordoned again. Each pause of an
// instance is twice as long as the one before, up to a limit. Pure.
class CordonPauses {
 public:
  static constexpr Milliseconds kShortestPause{2'000};
  static constexpr Milliseconds kLongestPause{8'000};

  // Records that the instance's cordon was given back.
  void Record(const InstanceName& name, SteadyTime now);
  // Removes what is known of the instance, after it was taken away.
  void Forget(const InstanceName& name) { this->pauses.erase(name); }

  // Returns true while the instance should not be cordoned.
  bool IsPaused(const InstanceName& name, SteadyTime now) const;
  // Returns how often its cordon was given back.
  std::uint32_t CountOf(const InstanceName& name) const;

 private:
  struct Pause {
    SteadyTime until{};
    std::uint32_t count = 0;
  };

  std::map<InstanceName, Pause> pauses;
};

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_CORDON_PAUSES_H_
