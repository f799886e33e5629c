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

// A renewal, and the same on a connection for orders.
struct RenewCall {
  scheduler::RenewOrder order;
};
struct ReportCall {
  scheduler::RenewOrder order;
};
// The worker's life is over, or another relay has it now.
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

struct RelayCall {
  // Of one opening of a relay; rises with each call.
  std::uint64_t id = 0;
  // The call leaves the relay before this, or not at all.
  RelayTime expires;
  CallBody body;
};

// What became of a call.
struct RelayAnswer {
  std::uint64_t id = 0;
  scheduler::OrderResult result = scheduler::OrderResult::kUnknown;
  // The worker's clock when it answered, if it told.
  std::optional<scheduler::WorkerTime> clock;
  // Only of a renewal or a report that went through.
  std::unique_ptr<scheduler::RenewReport> report;
  // The relay itself did not send it: its time was over, or the relay had no
  // connection to spare.
  bool is_refused_by_relay = false;
};

// The work that relays have done.
struct RelayCounts {
  std::uint64_t calls = 0;
  std::uint64_t batches = 0;
  std::uint64_t answers = 0;
  std::uint64_t answer_batches = 0;
  // Calls of which nobody knows what became, since their relay was lost.
  std::uint64_t lost = 0;

  RelayCounts& operator+=(const RelayCounts& other);
  RelayCounts operator-(const RelayCounts& other) const;
};

}  // namespace sumac::relay

#endif  // LIBRARIES_RELAY_RELAY_MESSAGES_H_
