// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/waiting_table.h"

#include <utility>

namespace sumac::scheduler {

void WaitingTable::Begin(SteadyTime now) {
  this->reviewed_at = now;
  this->before = std::exchange(this->current, {});
}

ReviewFinding WaitingTable::RecordWait(const jobs::StepId& step,
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
    return ReviewFinding::kNone;
  }
  const bool has_unused_room = cause.is_feasible && cause.is_half_free;
  if (has_unused_room &&
      !std::exchange(waiting.is_wait_despite_room_reported, true)) {
    waiting.is_long_wait_reported = true;
    return ReviewFinding::kWaitsDespiteRoom;
  }
  return std::exchange(waiting.is_long_wait_reported, true)
             ? ReviewFinding::kNone
             : ReviewFinding::kWaitsLong;
}

std::uint64_t WaitingTable::CountTasks(WaitingReason reason) const {
  std::uint64_t tasks = 0;
  for (const auto& [step, waiting] : this->current) {
    tasks += waiting.cause.reason == reason ? waiting.tasks : 0;
  }
  return tasks;
}

}  // namespace sumac::scheduler
