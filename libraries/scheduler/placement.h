// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_PLACEMENT_H_
#define LIBRARIES_SCHEDULER_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/job.h"
#include "libraries/jobs/resources.h"
#include "libraries/scheduler/data_centre_spread.h"
#include "libraries/scheduler/placement_advice.h"
#include "libraries/scheduler/reservations.h"
#include "libraries/scheduler/task_table.h"
#include "libraries/scheduler/worker_health.h"
#include "libraries/scheduler/worker_session.h"

namespace sumac::scheduler {

// The requirements and preferences for a task's worker.
struct PlacementRequest {
  const jobs::Job* job = nullptr;
  jobs::TaskId task;
  // The history of the task's earlier runs; null if there is none.
  const TaskMemory* memory = nullptr;
  // If not empty, only workers of this rack are considered.
  Rack rack;
  // If not empty, this worker is excluded.
  WorkerId other_than;
  // The task may crash its worker, so a worker on which few other runs would be
  // lost is preferred.
  bool is_suspect = false;
  // If not null, only workers that the queue's placement policy admits are
  // considered; null for a queue without a policy.
  const PlacementAdvice* advice = nullptr;
  // If not null, ranks data centres by where the step's other tasks are.
  const DataCentreSpread* spread = nullptr;
  // How long the task is expected to run. If it is not known, the task is not
  // started on a worker that is reserved for another step.
  std::optional<Milliseconds> expected;

  const jobs::StepSpec& step() const {
    return this->job->spec.steps[this->task.step.step];
  }
};

// Chooses workers for tasks, among those that accept work in one planning pass
// of the scheduler. Pure.
class Placement {
 public:
  using Sessions = std::map<WorkerId, WorkerSession>;

  explicit Placement(const WorkerHealth& health) : health(health) {}

  // Begins a planning pass: determines which workers accept work at `now`. The
  // sessions must outlive the pass. A quarantine does not keep the workers in
  // `needed` from tasks.
  void BeginPass(Sessions& sessions,
                 SteadyTime now,
                 const std::set<WorkerId>& needed = {});

  // Returns false only if no worker of the service can have room for `need`.
  // Checks no single worker, since most waiting tasks find no room anywhere.
  bool HasRoom(const ServiceName& service, const jobs::Resources& need) const;

  // Returns true if at least half of the processor capacity of the service's
  // workers that accept work was free when the pass began.
  bool IsHalfFree(const ServiceName& service) const;

  // Returns the best worker for the task, or null if none has room.
  WorkerSession* Choose(const PlacementRequest& request) const;

  // Returns true if the worker is near the task's data, or if the step names no
  // location of its data.
  static bool IsNear(const jobs::StepSpec& step, const jobs::Worker& worker);
  // Returns true if some healthy worker near the task's data will have room for
  // the task once the worker's present runs have ended.
  bool CanRunNearData(const PlacementRequest& request) const;

  // The racks that have workers of the service, and the service's workers that
  // accept work.
  std::set<Rack> RacksOf(const ServiceName& service) const;
  const std::vector<WorkerSession*>& WorkersOf(
      const ServiceName& service) const;
  // The workers, of all services, that would accept work if their data centres
  // were not evacuated.
  const std::vector<const WorkerSession*>& EvacuatedWorkers() const {
    return this->evacuated;
  }
  // Returns the workers that have room for the task, regardless of any
  // placement policy, those with the most room first.
  std::vector<WorkerId> ListWorkersWithRoom(
      const PlacementRequest& request) const;

  // Returns true if the worker can run the task now, regardless of any
  // placement policy.
  static bool Fits(const PlacementRequest& request,
                   const WorkerSession& session);

  // Returns true if the worker is reserved for other steps, so that the task
  // may not start there now.
  bool IsReservedForOther(const PlacementRequest& request,
                          const WorkerSession& session) const;
  // Returns the workers that could hold the task if they were idle.
  std::vector<const WorkerSession*> ListWorkersThatCouldHold(
      const PlacementRequest& request) const;
  Reservations& reservations() { return this->reserved; }
  const Reservations& reservations() const { return this->reserved; }

  // Returns true if the worker is neither quarantined nor slow.
  bool IsHealthy(const WorkerSession& session) const;

  // Returns true if one more worker of the service may be used for a trial.
  bool HasTrialCapacity(const ServiceName& service) const;
  // Records that a trial began on a worker of the service in this pass.
  void RecordTrial(const ServiceName& service) {
    ++this->PoolOf(service).trials;
  }

  // Returns the resources that a task of the step is counted with on its
  // worker. Processor time of fillers is not counted.
  static jobs::Resources CountedNeed(const jobs::StepSpec& step);

 private:
  struct Pool {
    std::vector<WorkerSession*> workers;
    // Workers that are excluded because of failed or stalled runs.
    std::vector<WorkerSession*> quarantined;
    // The number of workers with a run on trial.
    std::size_t trials = 0;
    // For each resource, the most that any one worker had free at the start of
    // the pass.
    jobs::Resources largest_room;
    // The processor capacity of all workers, and what of it was free then.
    std::int64_t capacity_millicores = 0;
    std::int64_t free_millicores = 0;
    // Needs for which this pass found no room on any worker. Free room only
    // shrinks within a pass, so an equal or larger need finds none either.
    mutable std::vector<jobs::Resources> failed_needs;
  };

  // Returns the pool of a service, creating it if needed.
  Pool& PoolOf(const ServiceName& service);
  Pool& PoolOf(WorkerSession& session);
  // Returns null for a service that has had no worker yet.
  const Pool* FindPool(const ServiceName& service) const;
  void RecordFailedNeed(const PlacementRequest& request) const;

  void ReleaseLostReservations(const Sessions& sessions);

  const WorkerHealth& health;
  SteadyTime now{};
  Reservations reserved;
  // Cleared in each pass but kept, so that a pass allocates no memory.
  std::vector<Pool> pools;
  std::vector<const WorkerSession*> evacuated;
  std::unordered_map<ServiceName, std::size_t> pool_numbers;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_PLACEMENT_H_
