// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/task_table.h"

#include <algorithm>

namespace sumac::scheduler {
namespace {

// The number of hash buckets that one call of DropFinished examines.
constexpr std::size_t kBucketsPerCall = 16;

}  // namespace

TaskMemory* TaskTable::Find(const jobs::TaskId& task) {
  const auto* found = static_cast<const TaskTable*>(this)->Find(task);
  return const_cast<TaskMemory*>(found);
}

const TaskMemory* TaskTable::Find(const jobs::TaskId& task) const {
  const auto job = this->jobs.find(task.step.job);
  if (job == this->jobs.end()) {
    return nullptr;
  }
  const auto occurrence = job->second.occurrences.find(task.step.occurrence);
  if (occurrence == job->second.occurrences.end() ||
      task.step.step >= occurrence->second.size()) {
    return nullptr;
  }
  const Step& step = occurrence->second[task.step.step];
  return task.index < step.size() ? &step[task.index] : nullptr;
}

TaskMemory& TaskTable::GetOrCreate(const jobs::TaskId& task) {
  std::vector<Step>& steps =
      this->jobs[task.step.job].occurrences[task.step.occurrence];
  if (steps.size() <= task.step.step) {
    steps.resize(task.step.step + 1);
  }
  Step& step = steps[task.step.step];
  if (step.size() <= task.index) {
    step.resize(task.index + 1);
  }
  return step[task.index];
}

bool TaskTable::JobMemory::has_unsettled_task() const {
  for (const auto& [number, steps] : this->occurrences) {
    for (const Step& step : steps) {
      const bool has_any =
          std::any_of(step.begin(), step.end(), [](const TaskMemory& task) {
            return task.known_runs > 0 || task.uncommitted_ends > 0;
          });
      if (has_any) {
        return true;
      }
    }
  }
  return false;
}

void TaskTable::DropFinished(const jobs::JobsState& state) {
  std::vector<JobId> finished;
  for (std::size_t count = 0; count < kBucketsPerCall; ++count) {
    const std::size_t bucket = this->next_bucket++ % this->jobs.bucket_count();
    for (auto item = this->jobs.begin(bucket); item != this->jobs.end(bucket);
         ++item) {
      const jobs::Job* job = state.FindJob(item->first);
      if ((job == nullptr || !job->is_active()) &&
          !item->second.has_unsettled_task()) {
        finished.push_back(item->first);
      }
    }
  }
  for (const JobId& job : finished) {
    this->jobs.erase(job);
  }
}

}  // namespace sumac::scheduler
