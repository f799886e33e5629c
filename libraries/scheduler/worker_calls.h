// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_WORKER_CALLS_H_
#define LIBRARIES_SCHEDULER_WORKER_CALLS_H_

#include <kj/async.h>

#include <cstddef>
#include <functional>
#include <limits>

#include "libraries/base/names.h"
#include "libraries/scheduler/scheduler.h"
#include "libraries/scheduler/worker_messages.h"

namespace sumac::scheduler {

// The answer to a renewal: a report, or why there is none.
struct RenewAnswer {
  OrderResult result = OrderResult::kUnknown;
  RenewReport report;
};

// How a leader reaches workers; an adapter provides it.
struct WorkerCalls {
  std::function<kj::Promise<RenewAnswer>(const RenewOrder&)> renew;
  // The same without waiting, beside a renewal that is under way.
  std::function<kj::Promise<RenewAnswer>(const RenewOrder&)> request_report;
  std::function<kj::Promise<OrderAnswer>(const Order&)> send;
  // Asks the placement policy.
  std::function<kj::Promise<AdviceAnswer>(const AdviceQuestion&)> advise;
  // How many workers may keep an answer back at once: each of them takes a
  // connection for that time.
  std::size_t most_waiting = std::numeric_limits<std::size_t>::max();
  // The worker's life is over.
  std::function<void(const WorkerId&)> forget;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_WORKER_CALLS_H_
