// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_URGENCY_H_
#define LIBRARIES_SCHEDULER_URGENCY_H_

#include <cstdint>

#include "libraries/base/time.h"
#include "libraries/jobs/declaration.h"
#include "libraries/jobs/job.h"
#include "libraries/scheduler/run_times.h"

namespace sumac::scheduler {

// Whether a job can still be in time, is late but still worth something, or is
// not worth anything any more.
enum class Lateness { kInTime, kLate, kWorthless };

// What decides which job goes first; the smaller the earlier.
struct Urgency {
  std::uint32_t priority = 0;
  Lateness lateness = Lateness::kInTime;
  // How long the job can still wait, in milliseconds.
  std::int64_t slack = 0;
  std::uint64_t sequence = 0;

  auto operator<=>(const Urgency&) const = default;
};

// How urgent one occurrence of a job is. Without `orders_by_slack` jobs of one
// priority go in the order in which they came. `queue` is the job's queue as
// declared now, or nothing.
Urgency UrgencyOf(const jobs::Job& job,
                  std::uint32_t occurrence,
                  const jobs::QueueDeclaration* queue,
                  const RunTimes& run_times,
                  bool orders_by_slack,
                  WallTime wall_now);

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_URGENCY_H_
