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

// How one run gets on.
struct RunProgress {
  Milliseconds elapsed{0};
  // Of its work, in hundredths.
  std::uint32_t percent = 0;
  // Since its percent last changed, up to the last report.
  Milliseconds since_change{0};
  // What a run of this kind should take; 0 if that is not known.
  Milliseconds expected{0};
};

enum class RunPace {
  // Too little was seen to tell.
  kUnknown,
  kNormal,
  // It will take several times as long as it should: the task may be a long
  // one, or the worker slow.
  kSlow,
  // It will take so many times as long that the worker must be slow.
  kVerySlow,
  // It does not get on at all.
  kStalled,
};

// Judges a run by its progress.
RunPace ClassifyProgress(const RunProgress& progress);

// What runs tell about the workers that they run on: one that fails the tasks
// of several jobs, or on which runs stand still, is kept from new work for a
// while and then tried again; one on which runs are slow is taken last.
// Failures of a job that fails on several workers are the job's own. Pure.
class WorkerHealth {
 public:
  // Takes in how a run ended, or how it is seen to get on.
  void RecordSuccess(const WorkerId& worker, SteadyTime now);
  void RecordFailure(const WorkerId& worker, const JobId& job, SteadyTime now);
  void RecordStall(const WorkerId& worker, SteadyTime now);
  void RecordSlowness(const WorkerId& worker, SteadyTime now);

  // Forgets a worker.
  void RemoveRecord(const WorkerId& worker) { this->workers.erase(worker); }

  // True while nothing should be started there.
  bool IsQuarantined(const WorkerId& worker, SteadyTime now) const;
  // True while it is known to be slow.
  bool IsSlow(const WorkerId& worker, SteadyTime now) const;

 private:
  // False for sure if no worker is kept from work or known to be slow.
  bool MayHaveExclusions(SteadyTime now) const {
    return now < this->last_exclusion_ends_at;
  }
  struct Failure {
    SteadyTime at;
    JobId job;
  };
  struct Record {
    std::deque<Failure> failures;
    // Runs that ended done within the window.
    std::deque<SteadyTime> successes;
    SteadyTime quarantined_until{};
    // How often it was quarantined without a success since.
    int quarantines = 0;
    SteadyTime slow_until{};
  };

  void Quarantine(Record& record, SteadyTime now);
  void DropOld(Record& record, SteadyTime now);
  bool IsBad(const Record& record) const;

  // When the last worker that is set aside now is so no more.
  SteadyTime last_exclusion_ends_at{};
  std::unordered_map<WorkerId, Record> workers;
  // Where tasks of a job failed lately.
  std::map<JobId, std::set<WorkerId>> failed_on;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_WORKER_HEALTH_H_
