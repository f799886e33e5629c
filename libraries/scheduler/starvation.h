// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_STARVATION_H_
#define LIBRARIES_SCHEDULER_STARVATION_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/task_id.h"
#include "libraries/scheduler/placement.h"
#include "libraries/scheduler/worker_health.h"
#include "libraries/scheduler/worker_session.h"

namespace sumac::scheduler {

// Finds the workers that a precaution, a cordon or a quarantine, keeps from new
// tasks although a task has no other place. A precaution acts on a guess about
// the future, a waiting task is there now: after a time the workers that could
// run it count as needed, and whoever took the precaution has to give way or to
// show that a start there may be lost. Pure.
class Starvation {
 public:
  // The time between reviews.
  static constexpr Milliseconds kInterval{250};
  // How long a task waits before its workers count as needed. A short
  // precaution ends by itself before; the rest of kLongWait is for giving way
  // and for the start.
  static constexpr Milliseconds kPatience{1'250};

  Starvation(const jobs::JobsState& state, const WorkerHealth& health)
      : state(state), health(health) {}

  // Returns true if a review is due.
  bool IsDue(SteadyTime now) const {
    return now - this->reviewed_at >= kInterval;
  }
  // Begins a review. Steps that are not recorded in it
  // count as no longer waiting.
  void Begin(const Placement::Sessions& sessions, SteadyTime now);
  // Returns true if a precaution is in force, so that steps should be recorded.
  bool HasKeptWorkers() const { return !this->kept.empty(); }
  // Returns true if this review has found another place for a step that needs
  // as much. In a rush thousands of steps wait, and this settles most of them.
  bool IsCovered(const PlacementRequest& request) const;
  // Records that tasks of a step wait for a place. Scans the workers of the
  // step's service until one is found that will have room for it.
  void RecordStep(const PlacementRequest& request, const Placement& placement);
  // Ends the review: determines which workers are needed.
  void End();

  // Returns true if a worker that no precaution keeps from tasks will have room
  // for the task once the runs there that end by themselves have ended.
  bool HasOtherPlace(const PlacementRequest& request,
                     const Placement& placement) const;

  // The workers that could run a task that has no other place.
  const std::set<WorkerId>& needed() const { return this->needed_workers; }

 private:
  struct Wait {
    SteadyTime since{};
    SteadyTime seen_at{};
    // The workers that could run a task of the step now, but for a precaution.
    std::vector<WorkerId> workers;
  };

  bool IsKept(const WorkerSession& session, SteadyTime now) const {
    return session.is_cordoned ||
           this->health.IsQuarantined(session.worker().id, now);
  }
  bool WillHaveRoom(const PlacementRequest& request,
                    const WorkerSession& session) const;

  const jobs::JobsState& state;
  const WorkerHealth& health;
  SteadyTime reviewed_at{};
  // The workers that only a precaution keeps from new tasks.
  std::vector<const WorkerSession*> kept;
  std::map<jobs::StepId, Wait> waits;
  // By service and label, needs for which this review found another place.
  std::map<std::pair<ServiceName, std::string>, std::vector<jobs::Resources>>
      covered;
  std::set<WorkerId> needed_workers;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_STARVATION_H_
