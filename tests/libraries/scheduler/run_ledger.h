// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_SCHEDULER_RUN_LEDGER_H_
#define TESTS_LIBRARIES_SCHEDULER_RUN_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libraries/jobs/task_id.h"
#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {

// A simple model of the rule "at most one run of a task at a time, none after
// its recorded end, and none once it has failed the maximum number of times".
// It observes only the workers, not what a leader assumes.
class RunLedger {
 public:
  // Processes everything that has happened on all workers since the last call.
  void Observe(const FakeFleet& fleet);

  // The violation that was found; empty if there is none.
  std::string problem;

 private:
  // A run that ended as done or failed.
  struct FinalEnd {
    WorkerId worker;
    std::uint64_t number = 0;
    RunNumber run;
    bool is_done = false;
    // Whether the worker's lease was over before the end was recorded: then no
    // leader had to know of the end.
    bool is_excused = false;
    bool is_recorded = false;
    // The last start of the task after this end.
    std::string later_start;
  };
  // How much of a worker's history has been processed.
  struct Position {
    std::size_t ends = 0;
    std::size_t starts = 0;
  };

  void ReadEnds(const FakeFleet& fleet, const FakeWorker& worker);
  void UpdateRecordedEnds(const FakeFleet& fleet);
  void ReadStarts(const FakeFleet& fleet, const FakeWorker& worker);
  void RecordStart(const FakeFleet& fleet,
                   const jobs::TaskId& task,
                   const std::string& start);
  void CountRunning(const FakeFleet& fleet);

  std::map<WorkerId, Position> positions;
  std::map<jobs::TaskId, std::vector<FinalEnd>> final_ends;
};

}  // namespace sumac::scheduler

#endif  // TESTS_LIBRARIES_SCHEDULER_RUN_LEDGER_H_
