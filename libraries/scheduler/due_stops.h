// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_DUE_STOPS_H_
#define LIBRARIES_SCHEDULER_DUE_STOPS_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/scheduler/worker_session.h"

namespace sumac::scheduler {

// The maximum number of open stops on one worker for runs that this leader did
// not order. A worker may list any number of them, also runs that nobody
// ordered, and each would be stopped again and again.
constexpr std::size_t kMaxOpenForeignStops = 64;

// Returns the runs of a worker whose stop is to be sent now. All due runs that
// this leader ordered are among them; of the others as many as
// kMaxOpenForeignStops allows, runs of known tasks first, then those that have
// waited for the longest. A stop is open from its sending until it is due
// again.
std::vector<Run*> SelectDueStops(
    WorkerSession& session,
    const std::function<bool(const Run&)>& is_known,
    SteadyTime now);

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_DUE_STOPS_H_
