// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_WORK_TIMES_H_
#define SERVICES_SUMACD_WORK_TIMES_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <string_view>

#include "libraries/base/scope_guard.h"

namespace sumac::daemon {

// The parts of a controller's work that are measured apart.
enum class Work {
  // Answering requests of other processes.
  kAnswer,
  // Applying committed commands.
  kApply,
  // Taking in workers' reports.
  kReport,
  // Deciding about waves and moves.
  kInstances,
  // Deciding about starts and stops.
  kSchedule,
  // Encoding orders and handing them to their connections.
  kOrder,
};

// How long one event loop was busy with each part of its work. The loop has a
// thread of its own, so the time that passes is the time it computes, unless
// the machine takes the processor away.
class WorkTimes {
 public:
  static constexpr std::array<std::string_view, 6> kNames = {
      "answer", "apply", "report", "instances", "schedule", "order"};

  // Adds the time until the scope ends to a part.
  [[nodiscard]] auto Measure(Work work) {
    const auto began = std::chrono::steady_clock::now();
    return ScopeGuard([this, work, began] {
      this->spent[static_cast<std::size_t>(work)] +=
          std::chrono::steady_clock::now() - began;
    });
  }

  // The time spent on the part with this place in kNames.
  std::chrono::duration<double> Spent(std::size_t part) const {
    return this->spent.at(part);
  }

 private:
  std::array<std::chrono::steady_clock::duration, kNames.size()> spent{};
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_WORK_TIMES_H_
