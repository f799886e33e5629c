// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_ROUTING_MINION_HEALTH_H_
#define LIBRARIES_ROUTING_MINION_HEALTH_H_

#include <cstdint>

#include "libraries/base/time.h"

namespace sumac::routing {

// How one try at a minion ended, as far as the minion is to blame.
enum class TryOutcome {
  kAnswered,
  // The minion said itself that it did not run the request, since it is full.
  kDeclined,
  // The minion said itself that it is leaving and did not run the request.
  kLeaving,
  // No connection, so nothing was sent.
  kUnreachable,
  // Sent, but no whole answer of its own came back.
  kBroken,
  // Sent, and the deadline passed.
  kTimedOut,
  // The caller went away; says nothing about the minion.
  kAbandoned,
};

// True for the outcomes that speak against the minion.
bool IsFailure(TryOutcome outcome);

// Times and counts of setting minions aside.
struct HealthSettings {
  // Failures in a row after which a minion is set aside.
  std::uint32_t failures_until_aside = 3;
  // The first time aside; it doubles each time in a row up to the longest.
  Milliseconds first_time_aside{1'000};
  Milliseconds longest_time_aside{30'000};
  // A minion that declined gets nothing for this long, unless no other can take
  // it.
  Milliseconds pause_after_decline{5};
  // After its time aside a minion gets one request at a time until this many
  // went well.
  std::uint32_t successes_until_trusted = 5;
};

// What an entry has seen of one minion.
class MinionHealth {
 public:
  // Takes in how a try ended. With `may_set_aside` false too many others are
  // aside already, and this one goes on whatever it does.
  void RecordOutcome(TryOutcome outcome,
                     const HealthSettings& settings,
                     SteadyTime now,
                     bool may_set_aside = true);

  // True while the minion is set aside.
  bool IsAside(SteadyTime now) const { return now < this->aside_until; }
  // True while a decline is fresh.
  bool IsPaused(SteadyTime now) const { return now < this->paused_until; }
  // True after its own word that it is leaving, until it starts anew.
  bool is_leaving() const { return this->has_reported_leaving; }
  // True from its time aside on until enough requests went well.
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
