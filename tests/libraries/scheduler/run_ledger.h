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

// A plain model of "at most one run of a task at a time, none after its noted
// end, and none once it failed as often as it may". It looks only at what
// workers do, never at what a leader believes.
class RunLedger {
 public:
  // Takes in what has happened on all workers since the last call.
  void Observe(const FakeFleet& fleet);

  // What was found broken; empty while all holds.
  std::string problem;

 private:
  // A run that ended as done or failed.
  struct FinalEnd {
    WorkerId worker;
    std::uint64_t number = 0;
    RunNumber run;
    bool is_done = false;
    // Its worker's lease was over before the end was noted: then nobody had to
    // know of it.
    bool is_excused = false;
    bool is_noted = false;
    // A start that came after it.
    std::string later_start;
  };
  // How much of a worker's history was read.
  struct Position {
    std::size_t ends = 0;
    std::size_t starts = 0;
  };

  void ReadEnds(const FakeFleet& fleet, const FakeWorker& worker);
  void FollowNotes(const FakeFleet& fleet);
  void ReadStarts(const FakeFleet& fleet, const FakeWorker& worker);
  void TakeStart(const FakeFleet& fleet,
                 const jobs::TaskId& task,
                 const std::string& start);
  void CountRunning(const FakeFleet& fleet);

  std::map<WorkerId, Position> positions;
  std::map<jobs::TaskId, std::vector<FinalEnd>> final_ends;
};

}  // namespace sumac::scheduler

#endif  // TESTS_LIBRARIES_SCHEDULER_RUN_LEDGER_H_
