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

// A simple model of disruption budgets: a long-running task is stopped only
// while the number of other tasks of its step that are away, because they were
// stopped as well or have been away for long, is below the budget. It observes
// only the workers.
class BudgetLedger {
 public:
  // Processes everything that has happened on all workers since the last call.
  void Observe(const FakeFleet& fleet);

  // The violation that was found; empty if there is none.
  std::string problem;
  // The number of stops of tasks with a disruption budget.
  std::uint64_t stops = 0;

 private:
  // The absence of a task that does not run anywhere.
  struct Absence {
    SteadyTime since{};
    // Whether its last run was stopped by an order.
    bool is_ordered = false;
  };

  void ReadEnds(const FakeFleet& fleet, const FakeWorker& worker);
  void RecordStop(const FakeFleet& fleet, const EndReport& end);
  void UpdateAbsences(const FakeFleet& fleet);
  void CountAbsent(const FakeFleet& fleet, const jobs::Job& job);

  std::map<WorkerId, std::size_t> read_ends;
  std::map<jobs::TaskId, std::optional<Absence>> absences;
};

}  // namespace sumac::scheduler

#endif  // TESTS_LIBRARIES_SCHEDULER_BUDGET_LEDGER_H_
