// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_WORKER_HEALTH_H_
#define LIBRARIES_SCHEDULER_WORKER_HEALTH_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

#include "libraries/base/names.h"
#include "libraries/base/time.h"

namespace sumac::scheduler {

// The progress of one run.
struct RunProgress {
  Milliseconds elapsed{0};
  // The share of the run's work that is done, in hundredths.
  std::uint32_t percent = 0;
  // The time from the last change of `percent` to the last report.
  Milliseconds since_change{0};
  // The expected duration of a run of this kind; 0 if unknown.
  Milliseconds expected{0};
};

enum class RunPace {
  // There is too little data to judge.
  kUnknown,
  kNormal,
  // The run will take several times its expected duration: either the task is
  // long or the worker is slow.
  kSlow,
  // The run will take so many times its expected duration that the worker must
  // be slow.
  kVerySlow,
  // The run makes no progress at all.
  kStalled,
};

// Classifies a run by its progress.
RunPace ClassifyProgress(const RunProgress& progress);

// Tracks the health of workers by the outcome and progress of their runs. A
// worker that fails tasks of several jobs, or on which runs stall, gets no new
// work for a while (quarantine) and is then tried again. A worker on which runs
// are slow is chosen last. Failures of a job that fails on several workers are
// attributed to the job. Pure.
class WorkerHealth {
 public:
  // Record how a run on the worker ended, or how its progress was judged.
  void RecordSuccess(const WorkerId& worker, SteadyTime now);
  void RecordFailure(const WorkerId& worker, const JobId& job, SteadyTime now);
  void RecordStall(const WorkerId& worker, SteadyTime now);
  void RecordSlowness(const WorkerId& worker, SteadyTime now);

  // Removes the record of a worker.
  void RemoveRecord(const WorkerId& worker) { this->workers.erase(worker); }

  // Returns true while no task should be started on the worker.
  bool IsQuarantined(const WorkerId& worker, SteadyTime now) const;
  // Returns true while the worker is considered slow.
  bool IsSlow(const WorkerId& worker, SteadyTime now) const;

 private:
  // Returns false only if no worker is quarantined or slow.
  bool MayHaveExclusions(SteadyTime now) const {
    return now < this->last_exclusion_ends_at;
  }
  struct Failure {
    SteadyTime at;
    JobId job;
  };
  struct Record {
    std::deque<Failure> failures;
    // When runs ended done, within the window.
    std::deque<SteadyTime> successes;
    SteadyTime quarantined_until{};
    // The number of quarantines since the worker's last recovery.
    int quarantines = 0;
    SteadyTime slow_until{};
  };

  void Quarantine(Record& record, SteadyTime now);
  void DropOld(Record& record, SteadyTime now);
  bool IsBad(const Record& record) const;

  // The time from which no worker is quarantined or slow any more, as far as is
  // known now.
  SteadyTime last_exclusion_ends_at{};
  std::unordered_map<WorkerId, Record> workers;
  // The workers on which tasks of a job failed recently.
  std::map<JobId, std::set<WorkerId>> failed_on;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_WORKER_HEALTH_H_
