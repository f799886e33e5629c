// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_FLEET_FLEET_HARNESS_H_
#define TESTS_LIBRARIES_FLEET_FLEET_HARNESS_H_

#include <string>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/fleet/fleet_machine.h"
#include "libraries/fleet/planner.h"
#include "libraries/fleet/soft_state.h"

namespace sumac::fleet {

// A state machine with its planner on a fake clock, and helpers that keep tests
// short.
class FleetHarness {
 public:
  FleetHarness();

  // Applies a command at the present time of the clock.
  Answer Apply(Command command);
  // Applies a declaration based on the current revision; it must be accepted.
  void Declare(Declaration declaration);
  // Returns a pool of `capacity` whose budget is `smallest_available`, with
  // short settle and silence times.
  static Pool MakePool(const std::string& name,
                       std::uint32_t capacity,
                       std::uint32_t smallest_available);

  // Adds targets that announce themselves and renew until they are silenced.
  void AddMinion(const std::string& name,
                 const std::string& pool,
                 const std::string& rack = "r1",
                 const std::string& data_centre = "dc-1");
  void AddWorker(const std::string& name,
                 const std::string& pool,
                 std::uint32_t millicores = 16'000,
                 std::uint32_t accelerators = 0);
  void Silence(const std::string& name);
  void EndSilence(const std::string& name);
  // Restarts the target with a new incarnation and without its tasks.
  void RestartTarget(const std::string& name);
  void SetInFlight(const std::string& name, std::uint32_t in_flight);
  // Sets the worker's report on a task that it was ordered to run. Without it
  // the worker reports nothing about its tasks.
  void ReportTask(const std::string& worker,
                  const std::string& job,
                  TaskState state);

  // Advances the clock by `time` in steps of `step`. In each step all targets
  // renew and the planner's commands are applied.
  void PassTime(Milliseconds time, Milliseconds step = Milliseconds(100));

  Answer Operate(InstanceRequest request,
                 const std::string& instance,
                 const std::string& pool = "",
                 const std::string& request_id = "");
  Answer Submit(JobSpec spec);

  const FleetState& state() const { return this->machine.state(); }
  InstanceState StateOf(const std::string& instance) const;
  const Job& JobOf(const std::string& id) const;
  std::uint32_t AvailableIn(const std::string& pool) const;

  // Replaces the leader, so that everything that only the old leader received
  // is lost.
  void ChangeLeader();
  // Replaces the state with its own snapshot.
  void RestartFromSnapshot();

  // Compares the indexes with indexes rebuilt from the state. Returns an empty
  // string if they agree.
  std::string CheckIndexes() const;

  ManualClock clock;
  FleetMachine machine;
  SoftState soft;
  PlannerSettings planner;

 private:
  struct Target {
    Announcement announcement;
    bool is_silent = false;
  };

  void RenewAll();

  std::map<std::string, Target> targets;
  std::uint64_t next_request = 1;
};

}  // namespace sumac::fleet

#endif  // TESTS_LIBRARIES_FLEET_FLEET_HARNESS_H_
