// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_TASK_CRASHES_H_
#define LIBRARIES_JOBS_TASK_CRASHES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/describe.h"
#include "libraries/jobs/task_id.h"

namespace sumac::jobs {

// A run that its worker's crash took with it, as a leader saw it.
struct CrashedRun {
  TaskId task;
  RunNumber run;
  // The worker had said that it began. Otherwise the start got no answer, and
  // may not have arrived.
  bool has_begun = false;
  // It alone of those that had just begun there has earlier crashes on record,
  // or none has any and no other had just begun.
  bool is_only_suspect = false;
  // For how long the worker had been heard of since the run was ordered.
  Milliseconds survived{0};

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("task", self.task);
    visitor.Required("run", self.run);
    visitor.Field("has_begun", self.has_begun);
    visitor.Field("is_only_suspect", self.is_only_suspect);
    visitor.Field("survived_ms", self.survived);
  }
};

// A crash as it is kept with the task.
struct TaskCrash {
  WorkerId worker;
  CrashedRun run;
  WallTime at{};

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("worker", self.worker);
    visitor.Required("run", self.run);
    visitor.Required("at", self.at);
  }
};

// The workers that crashed under one task, in the order of their records.
struct TaskCrashes {
  // A task under which so many workers crashed is not started again, if two of
  // them at least were certainly at work on it.
  static constexpr std::size_t kCrashLimit = 3;
  // The same whatever is confirmed: a start without an answer may never have
  // arrived, and a run may have ended unseen, but not each time.
  static constexpr std::size_t kUnconfirmedCrashLimit = 4;
  // The same where the last of them accuses this task alone, and each was
  // certainly at work on it.
  static constexpr std::size_t kOnlySuspectCrashLimit = 2;
  // A task whose worker was still heard of so long after its start is no
  // suspect after one crash: what crashes a worker does so as it starts.
  static constexpr Milliseconds kSuspectTime{250};

  TaskId task;
  std::vector<TaskCrash> crashes;

  // True if the crash of this run is on record.
  bool Has(const RunNumber& run) const;
  // How many of the workers were certainly at work on the task.
  std::size_t CountConfirmed() const;
  // True if the task must not be started again.
  bool IsOverLimit() const;
  // True if the task may be what crashes its workers.
  bool IsSuspect() const;
  // "worker W1 at T1, worker W2 at T2", for people; times as Unix milliseconds.
  std::string ToText() const;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("task", self.task);
    visitor.Required("crashes", self.crashes);
  }
};

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_TASK_CRASHES_H_
