// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_WAVE_H_
#define LIBRARIES_JOBS_WAVE_H_

#include <cstdint>
#include <map>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/commands.h"

namespace sumac::jobs {

// The state of one instance of a maintenance wave.
struct InstanceMaintenance {
  MaintenanceState state = MaintenanceState::kWaiting;
  // The worker that ends with the maintenance; empty if there is none.
  WorkerId worker;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("state", self.state);
    visitor.Field("worker", self.worker);
  }
};

// A maintenance wave: a set of instances that are maintained within a given
// time.
struct Wave {
  WaveId id;
  WallTime started_at{};
  Milliseconds ramp{0};
  std::uint32_t most_at_once = 1;
  std::map<InstanceName, InstanceMaintenance> instances;

  // True once every instance has been maintained or no longer exists.
  bool is_done() const {
    for (const auto& [name, instance] : this->instances) {
      if (instance.state != MaintenanceState::kOver) {
        return false;
      }
    }
    return true;
  }
  // Returns how many instances may be down for this wave now.
  std::uint32_t CountDown() const {
    std::uint32_t down = 0;
    for (const auto& [name, instance] : this->instances) {
      const bool is_down = instance.state == MaintenanceState::kOrdered ||
                           instance.state == MaintenanceState::kBegun;
      down += static_cast<std::uint32_t>(is_down);
    }
    return down;
  }

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("id", self.id);
    visitor.Field("started_at", self.started_at);
    visitor.Field("ramp_ms", self.ramp);
    visitor.Field("most_at_once", self.most_at_once);
    visitor.Field("instances", self.instances);
  }
};

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_WAVE_H_
