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

// A step that is due and has no place for some of its tasks.
struct WaitingStep {
  WaitingCause cause;
  // How many of its tasks wait.
  std::uint32_t tasks = 0;
  SteadyTime since{};
  // That it waits long, or without need, was told already.
  bool is_long_wait_reported = false;
  bool is_wait_despite_room_reported = false;
};

// What a review of one step leads to.
enum class ReviewFinding { kNone, kWaitsLong, kWaitsDespiteRoom };

// Keeps why steps wait and since when, from one review to the next. A review
// looks at the most urgent steps only, so that it stays small beside a pass
// however many wait. Pure.
class WaitingTable {
 public:
  // Steps are reviewed this often: fine enough beside the three seconds after
  // which a wait is told.
  static constexpr Milliseconds kInterval{1'000};
  // Steps looked at in one review. Each costs a look at every worker, some
  // microseconds with 50 of them.
  static constexpr std::size_t kMostSteps = 128;
  // A step that could run waits this long at most while there is room, by the
  // platform's rules.
  static constexpr Milliseconds kLongWait{3'000};

  // True if it is time for a review.
  bool IsDue(SteadyTime now) const {
    return now - this->reviewed_at >= kInterval;
  }
  // Begins a review; steps that are not noted in it wait no longer.
  void Begin(SteadyTime now);
  // True while the review may take in more.
  bool HasRoom() const { return this->current.size() < kMostSteps; }
  // Takes in that tasks of a step wait, and tells what is new about that.
  ReviewFinding RecordWait(const jobs::StepId& step,
                           std::uint32_t tasks,
                           const WaitingCause& cause);

  const std::map<jobs::StepId, WaitingStep>& steps() const {
    return this->current;
  }
  // How many tasks waited for this reason at the last review.
  std::uint64_t CountTasks(WaitingReason reason) const;

 private:
  std::map<jobs::StepId, WaitingStep> current;
  std::map<jobs::StepId, WaitingStep> before;
  SteadyTime reviewed_at{};
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_WAITING_TABLE_H_
