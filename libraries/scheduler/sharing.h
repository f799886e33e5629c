// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_SHARING_H_
#define LIBRARIES_SCHEDULER_SHARING_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/scheduler/pace_control.h"
#include "libraries/scheduler/worker_messages.h"
#include "libraries/scheduler/worker_session.h"

namespace sumac::scheduler {

// Keeps fillers (runs that use spare capacity) from slowing down user-serving
// runs on the same worker: evaluates the workers' reports and orders paces.
// Pure.
class Sharing {
 public:
  using Sessions = std::map<WorkerId, WorkerSession>;

  explicit Sharing(const jobs::JobsState& state) : state(state) {}

  // Sets the fillers' pace after a run was added to the worker.
  void SetFirstPace(WorkerSession& session, SteadyTime now);

  // Evaluates the worker's last report. Returns the reason if the pace of the
  // worker's fillers changes.
  std::optional<std::string> ApplyReport(WorkerSession& session,
                                         SteadyTime now);

  // Returns orders for the fillers whose last ordered pace differs from their
  // worker's.
  static std::vector<PaceOrder> NextOrders(Sessions& sessions,
                                           LeaderEpoch epoch);

  // Handles the result of an order.
  static void ApplyResult(WorkerSession& session,
                          const PaceOrder& order,
                          OrderResult result);

 private:
  std::optional<SharingReport> Measure(const WorkerSession& session) const;

  const jobs::JobsState& state;
  PaceControl pace_control;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_SHARING_H_
