// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/cordon_pauses.h"

#include <algorithm>

namespace sumac::maintenance {

void CordonPauses::Record(const InstanceName& name, SteadyTime now) {
  constexpr std::uint32_t kMaxDoublings = 4;
  Pause& pause = this->pauses[name];
  pause.until = now + std::min(kLongestPause,
                               kShortestPause *
                                   (1 << std::min(pause.count, kMaxDoublings)));
  ++pause.count;
}

bool CordonPauses::IsPaused(const InstanceName& name, SteadyTime now) const {
  const auto found = this->pauses.find(name);
  return found != this->pauses.end() && now < found->second.until;
}

std::uint32_t CordonPauses::CountOf(const InstanceName& name) const {
  const auto found = this->pauses.find(name);
  return found == this->pauses.end() ? 0 : found->second.count;
}

}  // namespace sumac::maintenance
