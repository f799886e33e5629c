// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_PLACEMENT_H_
#define LIBRARIES_SCHEDULER_PLACEMENT_H_

#include <cstddef>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/job.h"
#include "libraries/jobs/resources.h"
#include "libraries/scheduler/placement_advice.h"
#include "libraries/scheduler/task_table.h"
#include "libraries/scheduler/worker_health.h"
#include "libraries/scheduler/worker_session.h"

namespace sumac::scheduler {

// What a task's worker must have and should have.
struct PlacementRequest {
  const jobs::Job* job = nullptr;
  jobs::TaskId task;
  // What is known of the task's earlier runs; nothing for none.
  const TaskMemory* memory = nullptr;
  // Only workers of this rack, where it is not empty.
  Rack rack;
  // Not on this worker, where it is not empty.
  WorkerId other_than;
  // It may crash its worker, and goes where the fewest runs are lost with it.
  bool is_suspect = false;
  // Only workers that the queue's placement policy admits; nothing for a queue
  // without one.
  const PlacementAdvice* advice = nullptr;

  const jobs::StepSpec& step() const {
    return this->job->spec.steps[this->task.step.step];
  }
};

// Chooses workers for tasks, among those that take work in one turn of the
// scheduler. Pure.
class Placement {
 public:
  using Sessions = std::map<WorkerId, WorkerSession>;

  explicit Placement(const WorkerHealth& health) : health(health) {}

  // Begins a turn: finds which workers take work at `now`. The sessions must
  // stay until the next turn.
  void BeginPass(Sessions& sessions, SteadyTime now);

  // True unless no worker of the service can have room for `need`. It looks at
  // no single worker, since most tasks that wait find no room anywhere.
  bool HasRoom(const ServiceName& service, const jobs::Resources& need) const;

  // The best worker for the task, or nothing if none has room.
  WorkerSession* Choose(const PlacementRequest& request) const;

  // True if the worker is near the task's data, or its place does not matter.
  static bool IsNear(const jobs::StepSpec& step, const jobs::Worker& worker);
  // True if some good worker near the task's data will have room for it once
  // what runs there has ended.
  bool CanRunNearData(const PlacementRequest& request) const;

  // The racks that have workers of the service, and the workers that take work.
  std::set<Rack> RacksOf(const ServiceName& service) const;
  const std::vector<WorkerSession*>& WorkersOf(
      const ServiceName& service) const;
  // Workers that have room for the task whatever a policy says, those with most
  // room first.
  std::vector<WorkerId> ListWorkersWithRoom(
      const PlacementRequest& request) const;

  // True if the worker can hold the task now, whatever a policy says.
  static bool Fits(const PlacementRequest& request,
                   const WorkerSession& session);

  // True if nothing is known against the worker.
  bool IsHealthy(const WorkerSession& session) const;

  // True if one more worker of the service may be risked on a trial.
  bool HasTrialCapacity(const ServiceName& service) const;
  // Takes in that a trial began on a worker of the service in this turn.
  void RecordTrial(const ServiceName& service) {
    ++this->PoolOf(service).trials;
  }

  // What a task of the step takes of its worker's room.
  static jobs::Resources CountedNeed(const jobs::StepSpec& step);

 private:
  struct Pool {
    std::vector<WorkerSession*> workers;
    // Those that are kept from work because of how their runs went.
    std::vector<WorkerSession*> quarantined;
    // Workers with a run on trial.
    std::size_t trials = 0;
    // The most that one worker had left of each resource when the turn began.
    jobs::Resources largest_room;
    // Needs for which this turn found no room on any worker. Rooms only shrink
    // within a turn, so nothing that needs as much finds any.
    mutable std::vector<jobs::Resources> failed_needs;
  };

  // The pool of a service, made if it is new.
  Pool& PoolOf(const ServiceName& service);
  Pool& PoolOf(WorkerSession& session);
  // Nothing for a service that had no worker yet.
  const Pool* FindPool(const ServiceName& service) const;
  void RecordFailedNeed(const PlacementRequest& request) const;

  const WorkerHealth& health;
  SteadyTime now{};
  // Emptied in each turn and kept, so that a turn allocates nothing.
  std::vector<Pool> pools;
  std::unordered_map<ServiceName, std::size_t> pool_numbers;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_PLACEMENT_H_
