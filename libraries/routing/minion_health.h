// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_ROUTING_MINION_HEALTH_H_
#define LIBRARIES_ROUTING_MINION_HEALTH_H_

#include <cstdint>

#include "libraries/base/time.h"

namespace sumac::routing {

// The outcome of one try at a minion, as far as the minion is responsible.
enum class TryOutcome {
  kAnswered,
  // The minion reported that it did not run the request because it is full.
  kDeclined,
  // The minion reported that it is leaving and did not run the request.
  kLeaving,
  // No connection could be made, so nothing was sent.
  kUnreachable,
  // The request was sent, but no complete answer of the minion arrived.
  kBroken,
  // The request was sent, and the deadline passed.
  kTimedOut,
  // The caller disconnected, which is no evidence about the minion.
  kAbandoned,
};

// Returns true for the outcomes that count as a failure of the minion.
bool IsFailure(TryOutcome outcome);

// The times and counts for setting minions aside: one that fails repeatedly
// gets no requests for a while.
struct HealthSettings {
  // The number of consecutive failures after which a minion is set aside.
  std::uint32_t failures_until_aside = 3;
  // The duration of the first time aside. It doubles each consecutive time, up
  // to the longest.
  Milliseconds first_time_aside{1'000};
  Milliseconds longest_time_aside{30'000};
  // The time for which a minion that declined a request gets no further ones.
  Milliseconds pause_after_decline{5};
  // After its time aside a minion gets one request at a time until this many
  // have succeeded.
  std::uint32_t successes_until_trusted = 5;
};

// The health of one minion, as observed by one entry.
class MinionHealth {
 public:
  // Records the outcome of a try. `may_set_aside` is false if too many other
  // minions are set aside already; the minion then stays in use despite
  // failures.
  void RecordOutcome(TryOutcome outcome,
                     const HealthSettings& settings,
                     SteadyTime now,
                     bool may_set_aside = true);

  // Returns true while the minion is set aside.
  bool IsAside(SteadyTime now) const { return now < this->aside_until; }
  // Returns true for pause_after_decline after the minion declined a request.
  bool IsPaused(SteadyTime now) const { return now < this->paused_until; }
  // True once the minion has reported that it is leaving. A new incarnation of
  // the minion gets a new MinionHealth.
  bool is_leaving() const { return this->has_reported_leaving; }
  // True from the moment the minion is set aside until enough requests have
  // succeeded.
  bool is_on_probation() const { return this->successes_needed > 0; }

 private:
  std::uint32_t failures_in_row = 0;
  std::uint32_t times_aside = 0;
  std::uint32_t successes_needed = 0;
  bool has_reported_leaving = false;
  SteadyTime aside_until{};
  SteadyTime paused_until{};
};

}  // namespace sumac::routing

#endif  // LIBRARIES_ROUTING_MINION_HEALTH_H_
