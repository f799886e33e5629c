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

// The leader's view of one task: where it runs, and the outcome of its earlier
// runs.
struct TaskMemory {
  // The worker and number of the task's wanted run, if there is one.
  std::optional<std::pair<WorkerId, RunNumber>> placed;
  // The number of runs of the task that may exist on workers, wanted or not, in
  // any phase.
  std::uint32_t known_runs = 0;
  // The number of runs that ended as done or failed and whose record is not
  // committed yet.
  std::uint32_t uncommitted_ends = 0;
  // The number of runs that were lost in a crash of their worker and whose
  // record is not committed yet.
  std::uint32_t uncommitted_crashes = 0;
  // When the last such crash was detected.
  std::optional<SteadyTime> crashed_at;
  // Since when the task has been waiting only for a place for its trial.
  std::optional<SteadyTime> trial_waiting_since;
  // Whether a run ended as done.
  bool has_done_run = false;
  RunNumber last_run;
  // The highest run number for which an end was handled.
  RunNumber last_ended_run;
  std::string checkpoint;
  // How often a run was given up because it made no progress.
  std::uint32_t moves = 0;
  // Workers on which the task failed; other workers are preferred.
  std::set<WorkerId> failed_on;

  // Returns true while nothing may be started: a run may exist, or an end or a
  // crash is not committed yet.
  bool is_unsettled() const {
    return this->known_runs > 0 || this->uncommitted_ends > 0 ||
           this->uncommitted_crashes > 0 || this->has_done_run;
  }
};

// The leader's view of all tasks. It is queried for every waiting task in every
// planning pass, so a lookup costs only one hash and two indexes.
class TaskTable {
 public:
  // Returns the entry of a task, or null.
  TaskMemory* Find(const jobs::TaskId& task);
  const TaskMemory* Find(const jobs::TaskId& task) const;

  // Returns the entry of a task and creates it if it does not exist.
  TaskMemory& GetOrCreate(const jobs::TaskId& task);

  // Removes finished jobs without runs. Each call examines only a few jobs.
  void DropFinished(const jobs::JobsState& state);

 private:
  using Step = std::vector<TaskMemory>;
  struct JobMemory {
    std::map<std::uint32_t, std::vector<Step>> occurrences;

    // Returns true while a run may exist or an end is not committed yet.
    bool has_unsettled_task() const;
  };

  std::unordered_map<JobId, JobMemory> jobs;
  // The hash bucket at which the next call of DropFinished continues.
  std::size_t next_bucket = 0;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_TASK_TABLE_H_
