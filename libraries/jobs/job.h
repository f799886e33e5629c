// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_JOB_H_
#define LIBRARIES_JOBS_JOB_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/describe.h"
#include "libraries/jobs/job_spec.h"
#include "libraries/jobs/task_crashes.h"
#include "libraries/jobs/task_id.h"

namespace sumac::jobs {

enum class JobState { kActive, kDone, kFailed, kCancelled };

// What is known for good about one task.
struct TaskProgress {
  bool is_done = false;
  // Runs that ended as failed.
  std::uint32_t failures = 0;
  // The highest run whose end was counted; an end that comes again is not
  // counted twice.
  RunNumber last_ended_run;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("is_done", self.is_done);
    visitor.Field("failures", self.failures);
    visitor.Field("last_ended_run", self.last_ended_run);
  }
};

// The tasks of one step in one occurrence.
struct StepProgress {
  std::vector<TaskProgress> tasks;
  std::uint32_t done_count = 0;

  bool is_done() const { return this->done_count == this->tasks.size(); }

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("tasks", self.tasks);
    visitor.Field("done_count", self.done_count);
  }
};

// The steps of one occurrence, by number.
struct OccurrenceProgress {
  std::vector<StepProgress> steps;

  bool is_done() const {
    for (const StepProgress& step : this->steps) {
      if (!step.is_done()) {
        return false;
      }
    }
    return true;
  }

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("steps", self.steps);
  }
};

// An accepted job.
struct Job {
  JobId id;
  QueueName queue;
  // The service that the queue belonged to when it was last declared.
  ServiceName service;
  // Services that it belonged to before; runs may be left on their workers.
  std::vector<ServiceName> former_services;
  // Runs of one task that may fail, as last declared.
  std::uint32_t most_attempts = 1;
  JobSpec spec;
  // Jobs are numbered in the order in which they were accepted.
  std::uint64_t sequence = 0;
  WallTime accepted_at{};
  // For how long its caller had been refused before that.
  Milliseconds waited{0};
  JobState state = JobState::kActive;
  // A task of it has begun.
  bool has_begun = false;
  WallTime finished_at{};
  // Why it failed, for people.
  std::string reason;
  // Progress by occurrence; one without an entry has not begun. Empty once the
  // job has finished.
  std::map<std::uint32_t, OccurrenceProgress> occurrences;
  // Tasks that were done when it finished.
  std::uint64_t finished_tasks = 0;
  // The tasks under which workers crashed; most jobs have none.
  std::vector<TaskCrashes> crashes;

  bool is_active() const { return this->state == JobState::kActive; }

  bool has_long_running_step() const {
    return this->spec.has_long_running_step();
  }

  // When an occurrence may start; the time in which it is to be done runs from
  // then.
  WallTime DueAt(std::uint32_t occurrence) const {
    return this->spec.repeats == 0
               ? this->accepted_at - this->waited
               : this->spec.first_due + this->spec.interval * occurrence;
  }

  // A task's progress; the initial one if nothing ended yet.
  TaskProgress ProgressOf(const TaskId& task) const;
  // How many of its tasks are done.
  std::uint64_t CountAllDone() const;
  // Drops what only an active job needs: the text for its runs and the progress
  // of each task, some nine tenths of its size. Finished jobs are kept for
  // minutes, and would make up most of each snapshot.
  void DropWorkingState();
  // How many tasks of a step are done.
  std::uint32_t CountDone(std::uint32_t occurrence, std::uint32_t step) const;
  // True if all tasks of a step are done.
  bool IsStepDone(std::uint32_t occurrence, std::uint32_t step) const;
  // True if the steps that `step` waits for are done.
  bool IsStepReady(std::uint32_t occurrence, std::uint32_t step) const;
  // The crashes under a task; nothing for none.
  const TaskCrashes* FindCrashes(const TaskId& task) const;
  // True if the job has a task of this name.
  bool HasTask(const TaskId& task) const;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("id", self.id);
    visitor.Field("queue", self.queue);
    visitor.Field("service", self.service);
    visitor.Field("former_services", self.former_services);
    visitor.Field("most_attempts", self.most_attempts);
    visitor.Field("spec", self.spec);
    visitor.Field("sequence", self.sequence);
    visitor.Field("accepted_at", self.accepted_at);
    visitor.Field("waited_ms", self.waited);
    visitor.Field("state", self.state);
    visitor.Field("has_begun", self.has_begun);
    visitor.Field("finished_at", self.finished_at);
    visitor.Field("reason", self.reason);
    visitor.Field("occurrences", self.occurrences);
    visitor.Field("finished_tasks", self.finished_tasks);
    visitor.Field("crashes", self.crashes);
  }
};

}  // namespace sumac::jobs

namespace sumac {

template <>
struct EnumNames<jobs::JobState> {
  static constexpr std::array kNames = {
      EnumName<jobs::JobState>{jobs::JobState::kActive, "active"},
      EnumName<jobs::JobState>{jobs::JobState::kDone, "done"},
      EnumName<jobs::JobState>{jobs::JobState::kFailed, "failed"},
      EnumName<jobs::JobState>{jobs::JobState::kCancelled, "cancelled"},
  };
};

}  // namespace sumac

#endif  // LIBRARIES_JOBS_JOB_H_
