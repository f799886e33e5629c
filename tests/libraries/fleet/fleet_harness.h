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

  // Applies a command now.
  Answer Apply(Command command);
  // Applies a declaration over the present one; must be accepted.
  void Declare(Declaration declaration);
  // One pool of `capacity` whose budget is `smallest_available`, with short
  // times.
  static Pool MakePool(const std::string& name,
                       std::uint32_t capacity,
                       std::uint32_t smallest_available);

  // Announces targets that keep renewing until silenced.
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
  // Starts the target anew.
  void RestartTarget(const std::string& name);
  void SetInFlight(const std::string& name, std::uint32_t in_flight);
  // A worker's answers to the tasks it was ordered: by default it says nothing
  // of them.
  void ReportTask(const std::string& worker,
                  const std::string& job,
                  TaskState state);

  // Lets time pass: renewals, plans and their commands, in steps of `step`.
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

  // Replaces the leader: what only the old one heard is forgotten.
  void ChangeLeader();
  // Replaces the state by its own snapshot.
  void RestartFromSnapshot();

  // Checks the indexes against the state; empty when they fit.
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
