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
#include "services/sumacd/move_log.h"

namespace sumac::daemon {

// Manages instances for a leader: fetches the platform's list of instances at
// an interval that depends on the need for it, and carries out the decisions of
// the maintenance and capacity planners. Exists for one leadership and runs on
// the core's event loop.
class InstanceManager : private kj::TaskSet::ErrorHandler {
 public:
  // The functions of the controller that the manager uses.
  struct Host {
    // Commits a command.
    std::function<kj::Promise<fleet::Answer>(jobs::Command)> propose;
    // True while this leader's lease holds.
    std::function<bool()> may_act;
    // Counts an order about an instance that is sent to the platform.
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

  // Runs the planners of waves and instances and refreshes the list if they are
  // due; to be called often.
  void Plan(WallTime wall_now, SteadyTime now);

  // Returns how many times its present capacity a pool will have soon.
  double ExpectedGrowth(const ServiceName& service) const {
    return this->capacity.ExpectedGrowth(service);
  }

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
  MoveLog move_log;
  SteadyTime last_plan{};
  SteadyTime last_list{};
  bool is_listing = false;
  std::vector<maintenance::ListedInstance> pages;
  // The number of rows of these pages that don't name their instance.
  std::size_t nameless_rows = 0;
  maintenance::InstanceListing listing;
  // The encoded commands that are being committed, so that none of them is
  // proposed twice.
  std::set<std::string> open_commands;
  kj::TaskSet tasks;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_INSTANCE_MANAGER_H_
