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
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/task_id.h"

namespace sumac::scheduler {

// Where a task runs, and what a leader knows of its earlier runs.
struct TaskMemory {
  // Set while a run of the task may exist.
  std::optional<std::pair<WorkerId, RunNumber>> placed;
  // A run ended done or failed, and its record is not committed yet.
  bool is_ending = false;
  RunNumber last_run;
  std::string checkpoint;
  // How often a run was given up because it did not get on.
  std::uint32_t moves = 0;
  // Workers on which it failed; others are tried first.
  std::set<WorkerId> failed_on;
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

  // Notes that a task of the job has begun, and tells whether one has.
  void MarkBegun(const JobId& job) { this->jobs[job].has_begun = true; }
  bool HasBegun(const JobId& job) const;

  // Forgets jobs that are finished and of which nothing runs; looks at a few
  // jobs in each call.
  void DropFinished(const jobs::JobsState& state);

 private:
  using Step = std::vector<TaskMemory>;
  struct JobMemory {
    std::map<std::uint32_t, std::vector<Step>> occurrences;
    bool has_begun = false;

    bool has_placed() const;
  };

  std::unordered_map<JobId, JobMemory> jobs;
  // Where the next DropFinished goes on.
  std::size_t next_bucket = 0;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_TASK_TABLE_H_
