// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/job.h"

#include <algorithm>

namespace sumac::jobs {

TaskProgress Job::ProgressOf(const TaskId& task) const {
  const auto found = this->occurrences.find(task.step.occurrence);
  if (found == this->occurrences.end()) {
    return {};
  }
  return found->second.steps.at(task.step.step).tasks.at(task.index);
}

std::uint32_t Job::CountDone(std::uint32_t occurrence,
                             std::uint32_t step) const {
  const auto found = this->occurrences.find(occurrence);
  return found == this->occurrences.end()
             ? 0
             : found->second.steps.at(step).done_count;
}

std::uint64_t Job::CountAllDone() const {
  std::uint64_t done = this->finished_tasks;
  for (const auto& [number, occurrence] : this->occurrences) {
    for (const StepProgress& step : occurrence.steps) {
      done += step.done_count;
    }
  }
  return done;
}

void Job::DropWorkingState() {
  this->finished_tasks = this->CountAllDone();
  this->occurrences.clear();
  this->spec.text.clear();
  this->spec.text.shrink_to_fit();
}

bool Job::IsStepDone(std::uint32_t occurrence, std::uint32_t step) const {
  const auto found = this->occurrences.find(occurrence);
  return found != this->occurrences.end() &&
         found->second.steps.at(step).is_done();
}

bool Job::IsStepReady(std::uint32_t occurrence, std::uint32_t step) const {
  const auto& after = this->spec.steps.at(step).after;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
    return this->IsStepDone(occurrence, earlier);
  });
}

const TaskCrashes* Job::FindCrashes(const TaskId& task) const {
  const auto found = std::find_if(
      this->crashes.begin(), this->crashes.end(),
      [&task](const TaskCrashes& known) { return known.task == task; });
  return found == this->crashes.end() ? nullptr : &*found;
}

bool Job::HasTask(const TaskId& task) const {
  return task.step.job == this->id &&
         task.step.occurrence < this->spec.occurrences() &&
         task.step.step < this->spec.steps.size() &&
         task.index < this->spec.steps[task.step.step].count;
}

}  // namespace sumac::jobs
