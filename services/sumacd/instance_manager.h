// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_INSTANCE_MANAGER_H_
#define SERVICES_SUMACD_INSTANCE_MANAGER_H_

#include <kj/async.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/maintenance/capacity_planner.h"
#include "libraries/maintenance/instance_calls.h"
#include "libraries/maintenance/instance_listing.h"
#include "libraries/maintenance/maintenance_planner.h"
#include "libraries/scheduler/scheduler.h"

namespace sumac::daemon {

// What a leader does about instances: it keeps the platform's list fresh while
// that is of use, and carries out what the maintenance planner decides. Lives
// as long as one leadership and belongs to the core's event loop.
class InstanceManager : private kj::TaskSet::ErrorHandler {
 public:
  // What the keeper needs of its controller.
  struct Host {
    // Commits a command.
    std::function<kj::Promise<fleet::Answer>(jobs::Command)> propose;
    // True while this leader's lease holds.
    std::function<bool()> may_act;
    // Counts an order about an instance that leaves.
    std::function<void()> count_order = [] {};
  };

  InstanceManager(const jobs::JobsState& state,
                  scheduler::Scheduler& scheduler,
                  maintenance::InstanceCalls calls,
                  Host host,
                  maintenance::MaintenanceSettings maintenance_settings,
                  maintenance::CapacitySettings capacity_settings,
                  ProcessName holder,
                  SteadyTime now);

  // Looks at waves and instances; called often.
  void Plan(WallTime wall_now, SteadyTime now);

 private:
  void taskFailed(kj::Exception&& exception) override;

  void PlanCapacity(std::map<InstanceName, maintenance::InstanceFacts>& facts,
                    maintenance::MaintenanceOutput& wave_output,
                    SteadyTime now);
  std::vector<jobs::Command> HandleInstanceResult(
      const maintenance::InstanceOrder& order,
      maintenance::InstanceResult result);
  void Commit(std::vector<jobs::Command> commands);
  void Send(const maintenance::InstanceOrder& order);
  void RefreshList(SteadyTime now);
  void UpdateInstanceStatuses();
  void LogList() const;
  kj::Promise<void> FetchPages(std::string token);

  const jobs::JobsState& state;
  scheduler::Scheduler& scheduler;
  maintenance::InstanceCalls calls;
  Host host;
  SystemClock clock;
  maintenance::MaintenancePlanner waves;
  maintenance::CapacityPlanner capacity;
  SteadyTime last_plan{};
  SteadyTime last_list{};
  bool is_listing = false;
  std::vector<maintenance::ListedInstance> pages;
  // Rows of these pages that don't tell which instance they are about.
  std::size_t nameless_rows = 0;
  maintenance::InstanceListing listing;
  // Commands that are being committed, as their bytes; none is proposed twice.
  std::set<std::string> open_commands;
  kj::TaskSet tasks;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_INSTANCE_MANAGER_H_
