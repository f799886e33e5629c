// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_WAITING_TABLE_H_
#define LIBRARIES_SCHEDULER_WAITING_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "libraries/base/time.h"
#include "libraries/jobs/task_id.h"
#include "libraries/scheduler/waiting_cause.h"

namespace sumac::scheduler {

// A due step that has no place for some of its tasks.
struct WaitingStep {
  WaitingCause cause;
  // The number of the step's tasks that wait.
  std::uint32_t tasks = 0;
  SteadyTime since{};
  // Whether the long wait, and the wait despite free room, were already
  // reported.
  bool is_long_wait_reported = false;
  bool is_wait_despite_room_reported = false;
};

// The new finding from the review of one step.
enum class ReviewFinding { kNone, kWaitsLong, kWaitsDespiteRoom };

// Records why steps wait and since when, from one review to the next. A review
// covers only the most urgent steps, so that its cost stays small beside a
// planning pass however many steps wait. Pure.
class WaitingTable {
 public:
  // The time between reviews; fine enough for the three seconds after which a
  // wait is reported.
  static constexpr Milliseconds kInterval{1'000};
  // The maximum number of steps in one review. Each costs a scan of all
  // workers, some microseconds with 50 workers.
  static constexpr std::size_t kMostSteps = 128;
  // The longest time, by the platform's rules, that a step that could run may
  // wait while there is room.
  static constexpr Milliseconds kLongWait{3'000};

  // Returns true if a review is due.
  bool IsDue(SteadyTime now) const {
    return now - this->reviewed_at >= kInterval;
  }
  // Begins a review. Steps that are not recorded in it count as no longer
  // waiting.
  void Begin(SteadyTime now);
  // Returns true while more steps can be recorded in the review.
  bool HasRoom() const { return this->current.size() < kMostSteps; }
  // Records that tasks of a step wait, and returns what is new about the wait.
  ReviewFinding RecordWait(const jobs::StepId& step,
                           std::uint32_t tasks,
                           const WaitingCause& cause);

  const std::map<jobs::StepId, WaitingStep>& steps() const {
    return this->current;
  }
  // Returns how many tasks waited for this reason at the last review.
  std::uint64_t CountTasks(WaitingReason reason) const;

 private:
  std::map<jobs::StepId, WaitingStep> current;
  std::map<jobs::StepId, WaitingStep> before;
  SteadyTime reviewed_at{};
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_WAITING_TABLE_H_
