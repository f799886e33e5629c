// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_ENDED_INCARNATIONS_H_
#define LIBRARIES_SCHEDULER_ENDED_INCARNATIONS_H_

#include <map>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/commands.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/task_crashes.h"

namespace sumac::scheduler {

// Incarnations of workers that are certainly over, kept until this is committed
// together with the runs that were lost in a crash.
class EndedIncarnations {
 public:
  // Adds an incarnation that is over.
  void Add(const WorkerId& worker) { this->incarnations.try_emplace(worker); }
  void Add(const WorkerId& worker, std::vector<jobs::CrashedRun> crashed_runs);

  bool Has(const WorkerId& worker) const {
    return this->incarnations.contains(worker);
  }

  // Returns the commands that must be submitted now. A command whose effect
  // does not show is submitted again after `retry`.
  std::vector<jobs::Command> TakeDue(SteadyTime now, Milliseconds retry);

  // Removes an incarnation whose record is gone and returns the runs that
  // waited for the commit of its crash. Returns nothing while one of these
  // crashes is not committed.
  std::vector<jobs::CrashedRun> Settle(const WorkerId& worker,
                                       const jobs::JobsState& state);

 private:
  struct Incarnation {
    SteadyTime submit_at{};
    std::vector<jobs::CrashedRun> crashed_runs;
  };

  std::map<WorkerId, Incarnation> incarnations;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_ENDED_INCARNATIONS_H_
