// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_SCHEDULER_BUDGET_LEDGER_H_
#define TESTS_LIBRARIES_SCHEDULER_BUDGET_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libraries/base/time.h"
#include "libraries/jobs/task_id.h"
#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {

// A plain model of disruption budgets: a task of a lasting step is stopped only
// while fewer others of its step than its budget are away, each stopped as well
// or away for long. It looks only at what workers do.
class BudgetLedger {
 public:
  // Takes in what has happened on all workers since the last call.
  void Observe(const FakeFleet& fleet);

  // What was found broken; empty while all holds.
  std::string problem;
  // How many tasks with a budget were stopped.
  std::uint64_t stops = 0;

 private:
  // A task that does not run anywhere.
  struct Absence {
    SteadyTime since{};
    // Its last run was stopped.
    bool is_ordered = false;
  };

  void ReadEnds(const FakeFleet& fleet, const FakeWorker& worker);
  void TakeStop(const FakeFleet& fleet, const EndReport& end);
  void FollowAbsences(const FakeFleet& fleet);
  void CountAbsent(const FakeFleet& fleet, const jobs::Job& job);

  std::map<WorkerId, std::size_t> read_ends;
  std::map<jobs::TaskId, std::optional<Absence>> absences;
};

}  // namespace sumac::scheduler

#endif  // TESTS_LIBRARIES_SCHEDULER_BUDGET_LEDGER_H_
