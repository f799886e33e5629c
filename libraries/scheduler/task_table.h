// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_TASK_TABLE_H_
#define LIBRARIES_SCHEDULER_TASK_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/task_id.h"

namespace sumac::scheduler {

// Where a task runs, and what a leader knows of its earlier runs.
struct TaskMemory {
  // The run that is wanted, where there is one.
  std::optional<std::pair<WorkerId, RunNumber>> placed;
  // Runs of the task that may exist on workers, wanted or not, in any phase.
  std::uint32_t known_runs = 0;
  // Runs that ended done or failed and whose record is not committed yet.
  std::uint32_t open_ends = 0;
  // Runs that a worker's crash took with it and whose record is not committed
  // yet.
  std::uint32_t open_crashes = 0;
  // When such a crash was last taken in.
  std::optional<SteadyTime> crashed_at;
  // Since when it could have started, but for its trial.
  std::optional<SteadyTime> trial_wanted_at;
  // A run ended done.
  bool has_done_run = false;
  RunNumber last_run;
  // The highest run of which an end was taken in.
  RunNumber last_ended_run;
  std::string checkpoint;
  // How often a run was given up because it did not get on.
  std::uint32_t moves = 0;
  // Workers on which it failed; others are tried first.
  std::set<WorkerId> failed_on;

  // True while nothing may be started: a run may exist, or an end or a crash is
  // not on record yet.
  bool is_unsettled() const {
    return this->known_runs > 0 || this->open_ends > 0 ||
           this->open_crashes > 0 || this->has_done_run;
  }
};

// A leader's memory of all tasks. It is looked at for every waiting task in
// every turn, so a lookup is one hash and two indexes.
class TaskTable {
 public:
  // The memory of a task, or nothing.
  TaskMemory* Find(const jobs::TaskId& task);
  const TaskMemory* Find(const jobs::TaskId& task) const;

  // The memory of a task, made if it is new.
  TaskMemory& Get(const jobs::TaskId& task);

  // Forgets jobs that are finished and of which nothing runs; looks at a few
  // jobs in each call.
  void DropFinished(const jobs::JobsState& state);

 private:
  using Step = std::vector<TaskMemory>;
  struct JobMemory {
    std::map<std::uint32_t, std::vector<Step>> occurrences;

    // True while a run may exist or an end is not on record yet.
    bool has_open_task() const;
  };

  std::unordered_map<JobId, JobMemory> jobs;
  // Where the next DropFinished goes on.
  std::size_t next_bucket = 0;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_TASK_TABLE_H_
