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

// The answer to a renewal: a report, or the reason why there is none.
struct RenewAnswer {
  OrderResult result = OrderResult::kUnknown;
  RenewReport report;
};

// The calls by which a leader reaches workers; implemented by an adapter.
struct WorkerCalls {
  std::function<kj::Promise<RenewAnswer>(const RenewOrder&)> renew;
  // Requests a report that is answered immediately. It may be called while a
  // renewal is in progress.
  std::function<kj::Promise<RenewAnswer>(const RenewOrder&)> request_report;
  std::function<kj::Promise<OrderAnswer>(const Order&)> send;
  // Sends a question to the placement policy.
  std::function<kj::Promise<AdviceAnswer>(const AdviceQuestion&)> advise;
  // The maximum number of workers that may delay an answer at the same time:
  // each of them occupies a connection meanwhile.
  std::size_t max_waiting = std::numeric_limits<std::size_t>::max();
  // Called when the worker's incarnation is over.
  std::function<void(const WorkerId&)> forget;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_WORKER_CALLS_H_
