// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_UNSEEN_USAGE_H_
#define LIBRARIES_SCHEDULER_UNSEEN_USAGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/resources.h"
#include "libraries/jobs/task_id.h"

namespace sumac::scheduler {

// Bounds what each customer may have running on workers that have not answered
// a new leader yet: by the tasks that earlier leaders may have started there,
// and by the capacity of these workers. Pure.
class UnseenUsage {
 public:
  // Returns true if a run of the job may be unseen.
  using MayRunUnseen = std::function<bool(const jobs::Job&)>;
  // Returns true if a run of the task is known to this leader.
  using IsKnown = std::function<bool(const jobs::TaskId&)>;

  // The jobs below `first_own_sequence` were accepted under earlier leaders.
  UnseenUsage(const jobs::JobsState& state, std::uint64_t first_own_sequence);

  // Returns the bound for each customer. `capacity` is that of the unseen
  // workers.
  std::map<CustomerName, jobs::Resources> Measure(
      const jobs::Resources& capacity,
      const MayRunUnseen& may_run_unseen,
      const IsKnown& is_known) const;

 private:
  const jobs::JobsState& state;
  std::uint64_t first_own_sequence;
  // Earlier leaders started no occurrence that is due later than this.
  WallTime due_by;
  // Jobs that had failed or been cancelled shortly before this leadership, so
  // that runs of theirs may go on until they are stopped.
  std::vector<JobId> ended_jobs;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_UNSEEN_USAGE_H_
