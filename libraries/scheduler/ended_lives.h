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

// Workers' lives that are over for certain, until that is on record together
// with the runs that a crash took with them.
class EndedLives {
 public:
  // Takes in that a life is over.
  void Note(const WorkerId& worker) { this->lives.try_emplace(worker); }
  void Note(const WorkerId& worker, std::vector<jobs::CrashedRun> crashed_runs);

  bool Has(const WorkerId& worker) const {
    return this->lives.contains(worker);
  }

  // The records to ask for now; one that does not come is asked for again after
  // `retry`.
  std::vector<jobs::Command> TakeDue(SteadyTime now, Milliseconds retry);

  // Forgets a life that is off the record, and gives the runs whose crash
  // waited for that. Nothing while one of them is not on record.
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
