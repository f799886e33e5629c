// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_ORDER_GATE_H_
#define SERVICES_SUMACD_ORDER_GATE_H_

#include "libraries/base/names.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/scheduler/worker_calls.h"

namespace sumac::daemon {

// Returns false if operators have evacuated the worker's data centre, as far as
// `state` shows. A worker that it does not contain is not in the way: a relay
// may be behind the leader.
bool MayStartOn(const jobs::JobsState& state, const WorkerId& worker);

// Returns true if the order may leave this process. `may_act` is whether this
// process still has its lease. Nothing but a start depends on the use of a data
// centre.
bool MayLeave(const scheduler::Order& order,
              const jobs::JobsState& state,
              bool may_act);

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_ORDER_GATE_H_
