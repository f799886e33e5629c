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

// The durable progress of one task.
struct TaskProgress {
  bool is_done = false;
  // The number of runs that ended as failed.
  std::uint32_t failures = 0;
  // The highest run number whose end was counted, so that an end that is
  // reported again is not counted twice.
  RunNumber last_ended_run;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("is_done", self.is_done);
    visitor.Field("failures", self.failures);
    visitor.Field("last_ended_run", self.last_ended_run);
  }
};

// The progress of one step in one occurrence.
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

// The progress of one occurrence: its steps, by step number.
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
  // The customer that submitted the job; empty if the queue was public, or if
  // an earlier version accepted the job.
  CustomerName customer;
  // True if the customer had sent more jobs than its share when it sent this
  // one.
  bool is_beyond_share = false;
  // The service that the queue belongs to by its last declaration.
  ServiceName service;
  // Services that the queue belonged to before; runs of the job may remain on
  // their workers.
  std::vector<ServiceName> former_services;
  // The number of failed runs of one task at which the job fails, by the
  // queue's last declaration.
  std::uint32_t most_attempts = 1;
  JobSpec spec;
  // The job's number in the order in which jobs were accepted.
  std::uint64_t sequence = 0;
  WallTime accepted_at{};
  // How long the caller's submissions had been refused before `accepted_at`.
  Milliseconds waited{0};
  JobState state = JobState::kActive;
  // True once one of the job's tasks has begun.
  bool has_begun = false;
  WallTime finished_at{};
  // Why the job failed, as text for people.
  std::string reason;
  // Progress by occurrence. An occurrence without an entry has no ended runs.
  // Empty once the job has finished.
  std::map<std::uint32_t, OccurrenceProgress> occurrences;
  // The number of tasks that were done when the job finished.
  std::uint64_t finished_tasks = 0;
  // The tasks that were running on workers when these crashed; empty for most
  // jobs.
  std::vector<TaskCrashes> crashes;

  bool is_active() const { return this->state == JobState::kActive; }

  bool has_long_running_step() const {
    return this->spec.has_long_running_step();
  }

  // Returns the time at which an occurrence may start. Its latency is measured
  // from then.
  WallTime DueAt(std::uint32_t occurrence) const {
    return this->spec.repeats == 0
               ? this->accepted_at - this->waited
               : this->spec.first_due + this->spec.interval * occurrence;
  }

  // Returns a task's progress, or the initial progress if no run of its
  // occurrence has ended.
  TaskProgress ProgressOf(const TaskId& task) const;
  // Returns how many of the job's tasks are done.
  std::uint64_t CountAllDone() const;
  // Removes the data that only an active job needs: the text for its runs and
  // the progress of each task, about nine tenths of its size. Finished jobs are
  // kept for minutes, and would otherwise make up most of each snapshot.
  void DropWorkingState();
  // Returns how many tasks of a step are done.
  std::uint32_t CountDone(std::uint32_t occurrence, std::uint32_t step) const;
  // True if all tasks of a step are done.
  bool IsStepDone(std::uint32_t occurrence, std::uint32_t step) const;
  // True if the steps that `step` waits for are done.
  bool IsStepReady(std::uint32_t occurrence, std::uint32_t step) const;
  // Returns the crashes that are recorded for a task, or null if there are
  // none.
  const TaskCrashes* FindCrashes(const TaskId& task) const;
  // True if the task exists in this job.
  bool HasTask(const TaskId& task) const;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("id", self.id);
    visitor.Field("queue", self.queue);
    visitor.Field("customer", self.customer);
    visitor.Field("is_beyond_share", self.is_beyond_share);
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
