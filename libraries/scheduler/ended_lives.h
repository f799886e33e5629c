// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_ENDED_LIVES_H_
#define LIBRARIES_SCHEDULER_ENDED_LIVES_H_

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
class EndedLives {
 public:
  // Adds an incarnation that is over.
  void Note(const WorkerId& worker) { this->lives.try_emplace(worker); }
  void Note(const WorkerId& worker, std::vector<jobs::CrashedRun> crashed_runs);

  bool Has(const WorkerId& worker) const {
    return this->lives.contains(worker);
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
  struct Life {
    SteadyTime ask_at{};
    std::vector<jobs::CrashedRun> crashed_runs;
  };

  std::map<WorkerId, Life> lives;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_ENDED_LIVES_H_
