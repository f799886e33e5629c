// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_STRAGGLERS_H_
#define LIBRARIES_SCHEDULER_STRAGGLERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/scheduler/placement.h"
#include "libraries/scheduler/run_times.h"
#include "libraries/scheduler/task_table.h"
#include "libraries/scheduler/worker_health.h"
#include "libraries/scheduler/worker_session.h"

namespace sumac::scheduler {

// A run that is stalled or slow and for whose task a better worker has room.
struct Straggler {
  WorkerSession* session;
  Run* run;
  RunPace pace;
};

// Finds runs that are stalled or slow, by the progress that workers report, and
// records what they show about the workers' health. Pure.
class Stragglers {
 public:
  using Sessions = std::map<WorkerId, WorkerSession>;
  // Returns the placement policy's advice for a job's queue; null if the queue
  // has no policy.
  using AdviceFor = std::function<const PlacementAdvice*(const jobs::Job&)>;

  // `max_moves` is the number of times that a run of one task is given up at
  // once; further times take a patience that doubles with each of them.
  Stragglers(const jobs::JobsState& state,
             const RunTimes& run_times,
             const TaskTable& tasks,
             const Placement& placement,
             WorkerHealth& health,
             AdviceFor advice_for,
             std::uint32_t max_moves)
      : state(state),
        run_times(run_times),
        tasks(tasks),
        placement(placement),
        health(health),
        advice_for(std::move(advice_for)),
        max_moves(max_moves) {}

  // Returns the stragglers according to the last reports.
  std::vector<Straggler> Find(Sessions& sessions, SteadyTime now);

 private:
  void FindOnWorker(WorkerSession& session,
                    SteadyTime now,
                    std::vector<Straggler>& found);
  std::optional<RunProgress> ProgressOf(const WorkerSession& session,
                                        const Run& run) const;
  bool IsBetterElsewhere(const WorkerSession& session,
                         const Run& run,
                         const RunProgress& progress,
                         RunPace pace) const;

  const jobs::JobsState& state;
  const RunTimes& run_times;
  const TaskTable& tasks;
  const Placement& placement;
  WorkerHealth& health;
  AdviceFor advice_for;
  std::uint32_t max_moves;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_STRAGGLERS_H_
