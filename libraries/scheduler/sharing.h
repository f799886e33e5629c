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

// Keeps runs that fill what others leave from slowing down runs that serve
// users on the same worker: follows the workers' reports and orders paces.
// Pure.
class Sharing {
 public:
  using Sessions = std::map<WorkerId, WorkerSession>;

  explicit Sharing(const jobs::JobsState& state) : state(state) {}

  // Takes in that a run was added to the worker.
  void SetFirstPace(WorkerSession& session, SteadyTime now);

  // Takes in the worker's last report. If the pace of its fillers changes, why.
  std::optional<std::string> ApplyReport(WorkerSession& session,
                                         SteadyTime now);

  // Orders for the fillers that were told another pace than their worker's.
  static std::vector<PaceOrder> NextOrders(Sessions& sessions,
                                           LeaderEpoch epoch);

  // Takes in what became of an order.
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
