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

// A run that ended with the crash of its worker, as the leader observed it.
struct CrashedRun {
  TaskId task;
  RunNumber run;
  // True if the worker had reported that the run began. Otherwise the start was
  // not answered, and may not have reached the worker.
  bool has_begun = false;
  // True if, of the runs that had just begun on the worker, only this one has
  // earlier crashes recorded, or if none has any and no other run had just
  // begun.
  bool is_only_suspect = false;
  // The time from the start order of the run to the last message from the
  // worker.
  Milliseconds survived{0};
  // True if calls to the worker had timed out since that message, so that the
  // run may have ended before the crash.
  bool may_have_ended = false;

  // Returns true if the run had been at work for too long to be suspected: a
  // task that crashes its worker does so as it starts.
  bool IsBystander() const;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("task", self.task);
    visitor.Required("run", self.run);
    visitor.Field("has_begun", self.has_begun);
    visitor.Field("is_only_suspect", self.is_only_suspect);
    visitor.Field("survived_ms", self.survived);
    visitor.Field("may_have_ended", self.may_have_ended);
  }
};

// A crash as it is recorded for the task.
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

// The crashes of workers that were running one task, in the order in which they
// were recorded. Crashes in which the task was a bystander are no evidence
// against it: they put it on trial, but no number of them fails its job.
struct TaskCrashes {
  // The number of crashes, without those of bystanders, after which a task is
  // not started again, if at least two of the workers were certainly running
  // it.
  static constexpr std::size_t kCrashLimit = 3;
  // The number of crashes, without those of bystanders, after which a task is
  // not started again, however many of the workers were certainly running it. A
  // start without an answer may never have arrived, and a run may have ended
  // without a report, but not every time.
  static constexpr std::size_t kUnconfirmedCrashLimit = 4;
  // The number of crashes, without those of bystanders, after which a task is
  // not started again, if it is the only suspect of the last one and every
  // worker was certainly running it.
  static constexpr std::size_t kOnlySuspectCrashLimit = 2;
  // A run that had begun and whose worker still sent messages this long after
  // the start is a bystander of the crash.
  static constexpr Milliseconds kSuspectTime{250};
  // The number of crashes of bystanders that are kept. Only the latest are of
  // interest to an operator, and they are part of each snapshot.
  static constexpr std::size_t kMaxBystanderCrashes = 8;

  TaskId task;
  std::vector<TaskCrash> crashes;

  // Records a crash. The oldest crash of a bystander is dropped if there are
  // too many.
  void Add(TaskCrash crash);
  // True if the crash of this run is recorded, or was and has been dropped.
  bool Has(const RunNumber& run) const;
  // Returns how many of the crashes are evidence against the task.
  std::size_t CountEvidence() const;
  // Returns how many of the workers were certainly running the task when they
  // crashed shortly after its start.
  std::size_t CountConfirmed() const;
  // True if the task must not be started again.
  bool IsOverLimit() const;
  // True if the task may be the cause of the crashes.
  bool IsSuspect() const;
  // Returns a text for people, "worker W1 at T1, worker W2 at T2 (bystander)";
  // times are Unix milliseconds.
  std::string ToText() const;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("task", self.task);
    visitor.Required("crashes", self.crashes);
  }
};

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_TASK_CRASHES_H_
