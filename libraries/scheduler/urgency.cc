// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/urgency.h"

namespace sumac::scheduler {

Urgency UrgencyOf(const jobs::Job& job,
                  std::uint32_t occurrence,
                  const jobs::QueueDeclaration* queue,
                  const RunTimes& run_times,
                  bool orders_by_slack,
                  WallTime wall_now) {
  // A late job earns a little until it has taken three times its time.
  constexpr int kWorthlessAfter = 3;
  Urgency urgency{.sequence = job.sequence};
  if (queue == nullptr) {
    return urgency;
  }
  urgency.priority = queue->priority;
  if (!orders_by_slack || job.has_long_running_step()) {
    return urgency;
  }
  const WallTime due = job.DueAt(occurrence);
  const auto chain = static_cast<double>(run_times.WholeChain(job).count());
  const Milliseconds objective =
      Milliseconds(static_cast<std::int64_t>(chain * queue->stretch)) +
      queue->latency_target;
  const Milliseconds left = run_times.RemainingChain(job, occurrence);
  const Milliseconds slack = due + objective - left - wall_now;
  if (slack < Milliseconds(0)) {
    urgency.lateness = wall_now + left > due + kWorthlessAfter * objective
                           ? Lateness::kWorthless
                           : Lateness::kLate;
    return urgency;
  }
  urgency.slack = slack.count();
  return urgency;
}

}  // namespace sumac::scheduler
