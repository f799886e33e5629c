// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/waiting_table.h"

#include <utility>

namespace sumac::scheduler {

void WaitingTable::Begin(SteadyTime now) {
  this->reviewed_at = now;
  this->before = std::exchange(this->current, {});
}

WaitingNews WaitingTable::Note(const jobs::StepId& step,
                               std::uint32_t tasks,
                               const WaitingCause& cause) {
  WaitingStep& waiting = this->current[step];
  const auto known = this->before.find(step);
  if (known == this->before.end()) {
    waiting.since = this->reviewed_at;
  } else {
    waiting = known->second;
  }
  waiting.cause = cause;
  waiting.tasks = tasks;
  if (this->reviewed_at - waiting.since < kLongWait) {
    return WaitingNews::kNone;
  }
  const bool is_without_need = cause.is_feasible && cause.is_half_free;
  if (is_without_need && !std::exchange(waiting.is_alarmed, true)) {
    waiting.is_told = true;
    return WaitingNews::kWaitsWithoutNeed;
  }
  return std::exchange(waiting.is_told, true) ? WaitingNews::kNone
                                              : WaitingNews::kWaitsLong;
}

std::uint64_t WaitingTable::CountTasks(WaitingReason reason) const {
  std::uint64_t tasks = 0;
  for (const auto& [step, waiting] : this->current) {
    tasks += waiting.cause.reason == reason ? waiting.tasks : 0;
  }
  return tasks;
}

}  // namespace sumac::scheduler
