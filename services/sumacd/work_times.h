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

// The parts of a controller's work that are measured separately.
enum class Work {
  // Answering requests of other processes.
  kAnswer,
  // Applying committed commands.
  kApply,
  // Handling reports of workers.
  kReport,
  // Planning waves and moves of instances.
  kInstances,
  // Planning starts and stops of tasks.
  kSchedule,
  // Encoding orders and sending them.
  kOrder,
  // Sending renewals to workers, without handling their reports.
  kRenewal,
  // Handling messages of other replicas, and heartbeats.
  kReplicate,
  // Copying the state for a snapshot.
  kSnapshot,
};

// Measures how long one event loop was busy with each part of its work. The
// loop has a thread of its own, so the elapsed time equals its processor time
// unless the thread is preempted.
class WorkTimes {
 public:
  static constexpr std::array<std::string_view, 9> kNames = {
      "answer", "apply",   "report",    "instances", "schedule",
      "order",  "renewal", "replicate", "snapshot"};

  // Returns a guard that adds the time until its destruction to a part, except
  // the time of nested guards, and counts the measurement.
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

  // Returns the time spent on the part with this index in kNames.
  std::chrono::duration<double> Spent(std::size_t part) const {
    return this->spent.at(part);
  }
  // Returns how often the part with this index in kNames was measured.
  std::uint64_t Count(std::size_t part) const { return this->counts.at(part); }

 private:
  std::array<std::chrono::steady_clock::duration, kNames.size()> spent{};
  std::array<std::uint64_t, kNames.size()> counts{};
  // The time of the guards that were destroyed within the innermost active one.
  std::chrono::steady_clock::duration nested_time{};
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_WORK_TIMES_H_
