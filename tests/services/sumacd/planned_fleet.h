// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_SERVICES_SUMACD_PLANNED_FLEET_H_
#define TESTS_SERVICES_SUMACD_PLANNED_FLEET_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/maintenance/capacity_planner.h"
#include "libraries/maintenance/maintenance_planner.h"
#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::daemon {

// Leaders of a fake fleet that run the planners of instances in every step of
// time, and a platform that carries out their orders.
class PlannedFleet {
 public:
  // What the platform does with an order. Without a result there is no answer
  // at all, and the order stays under way.
  struct Reaction {
    std::optional<maintenance::InstanceResult> result;
    // The time until the answer is there.
    Milliseconds delay{0};
    // Whether it is carried out although its answer is lost.
    bool is_carried_out = false;
  };

  explicit PlannedFleet(std::size_t workers, std::uint64_t seed = 1);

  // Runs the planners of instances and then the scheduler, in the order of a
  // leader.
  void PassTime(Milliseconds time);
  void ChangeLeader();

  WallTime wall() const { return WallTime(this->fleet.now.time_since_epoch()); }
  bool IsCordoned(const InstanceName& name) const;
  // Returns true if an order about the instance may still be carried out.
  bool MayOrderBeOpen(const InstanceName& name) const;
  // Returns the worker of the instance that is up, or null.
  const scheduler::FakeWorker* FindWorkerOf(const InstanceName& name) const;

  scheduler::FakeFleet fleet;
  // How the platform reacts to an order; by default it stays silent.
  std::function<Reaction(const maintenance::InstanceOrder&)> react =
      [](const maintenance::InstanceOrder&) { return Reaction{}; };
  // Called in every step.
  std::function<void()> observe = [] {};
  std::vector<maintenance::InstanceOrder> orders;
  std::vector<maintenance::CordonReturn> cordon_returns;
  // The number of tasks that ran on the instances of the orders when these were
  // given.
  std::size_t ended_tasks = 0;

 private:
  struct Answer {
    maintenance::InstanceOrder order;
    maintenance::InstanceResult result;
    SteadyTime at{};
    LeaderEpoch epoch;
  };

  void BeginPlanners();
  void RunPlanners();
  void Send(const maintenance::InstanceOrder& order);
  void DeliverAnswers();
  void TakeDown(const maintenance::InstanceOrder& order);

  std::optional<maintenance::MaintenancePlanner> waves;
  std::optional<maintenance::CapacityPlanner> capacity;
  std::set<InstanceName> cordoned;
  std::vector<Answer> answers;
  // Until when an order about each instance may be carried out.
  std::map<InstanceName, SteadyTime> open_until;
};

}  // namespace sumac::daemon

#endif  // TESTS_SERVICES_SUMACD_PLANNED_FLEET_H_
