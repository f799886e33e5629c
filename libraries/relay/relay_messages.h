// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RELAY_RELAY_MESSAGES_H_
#define LIBRARIES_RELAY_RELAY_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "libraries/base/names.h"
#include "libraries/base/strong_type.h"
#include "libraries/base/time.h"
#include "libraries/scheduler/worker_messages.h"

namespace sumac::relay {

// A time on one relay's own steady clock, in milliseconds.
using RelayTime = StrongType<std::int64_t, struct RelayTimeTag>;

// Renews a worker's lease on the connection for renewals.
struct RenewCall {
  scheduler::RenewOrder order;
};
// Renews a worker's lease and requests a report at once, on the connection for
// orders, while a renewal is in flight on the other one.
struct ReportCall {
  scheduler::RenewOrder order;
};
// Closes the connections to a worker whose incarnation has ended or whose calls
// another relay now carries.
struct ForgetCall {
  WorkerId worker;
};

// One call that a leader has a relay make.
using CallBody = std::variant<RenewCall,
                              ReportCall,
                              scheduler::StartOrder,
                              scheduler::StopOrder,
                              scheduler::PaceOrder,
                              ForgetCall>;

// A call together with its id and its deadline.
struct RelayCall {
  // Unique within one opening of a relay; increases with each call.
  std::uint64_t id = 0;
  // The deadline by which the call has to leave the relay; after it the relay
  // refuses the call.
  RelayTime expires;
  CallBody body;
};

// The outcome of a call.
struct RelayAnswer {
  std::uint64_t id = 0;
  scheduler::OrderResult result = scheduler::OrderResult::kUnknown;
  // The worker's clock when it answered, if the answer contains it.
  std::optional<scheduler::WorkerTime> clock;
  // Set only for a renewal or a report request that succeeded.
  std::unique_ptr<scheduler::RenewReport> report;
  // True if the relay did not send the call, because its deadline had passed or
  // the relay had no free connection.
  bool is_refused_by_relay = false;
};

// Counters of the calls and answers that relays have carried.
struct RelayCounts {
  std::uint64_t calls = 0;
  std::uint64_t batches = 0;
  std::uint64_t answers = 0;
  std::uint64_t answer_batches = 0;
  // Calls with an unknown outcome, because their relay was lost.
  std::uint64_t lost = 0;

  RelayCounts& operator+=(const RelayCounts& other);
  RelayCounts operator-(const RelayCounts& other) const;
};

}  // namespace sumac::relay

#endif  // LIBRARIES_RELAY_RELAY_MESSAGES_H_
