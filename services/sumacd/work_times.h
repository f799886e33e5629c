// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_WORK_TIMES_H_
#define SERVICES_SUMACD_WORK_TIMES_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

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
  // Asking workers for renewals, without taking in what they report.
  kRenewal,
  // Taking in what other replicas send, and heartbeats.
  kReplicate,
  // Copying the state for a snapshot.
  kSnapshot,
};

// How long one event loop was busy with each part of its work. The loop has a
// thread of its own, so the time that passes is the time it computes, unless
// the machine takes the processor away.
class WorkTimes {
 public:
  static constexpr std::array<std::string_view, 9> kNames = {
      "answer", "apply",   "report",    "instances", "schedule",
      "order",  "renewal", "replicate", "snapshot"};

  // Adds the time until the scope ends to a part, without that of scopes
  // within, and counts it.
  [[nodiscard]] auto Measure(Work work) {
    const auto began = std::chrono::steady_clock::now();
    const auto outer_nested_time = std::exchange(this->nested_time, {});
    return ScopeGuard([this, work, began, outer_nested_time] {
      const auto took = std::chrono::steady_clock::now() - began;
      this->spent[static_cast<std::size_t>(work)] += took - this->nested_time;
      ++this->counts[static_cast<std::size_t>(work)];
      this->nested_time = outer_nested_time + took;
    });
  }

  // The time spent on the part with this place in kNames.
  std::chrono::duration<double> Spent(std::size_t part) const {
    return this->spent.at(part);
  }
  // How often it was measured.
  std::uint64_t Count(std::size_t part) const { return this->counts.at(part); }

 private:
  std::array<std::chrono::steady_clock::duration, kNames.size()> spent{};
  std::array<std::uint64_t, kNames.size()> counts{};
  // Of the scopes that ended within the innermost open one.
  std::chrono::steady_clock::duration within{};
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_WORK_TIMES_H_
