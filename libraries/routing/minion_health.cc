// SPDX-License-Identifier: Apache-2.0
#include "libraries/routing/minion_health.h"

#include <algorithm>

namespace sumac::routing {
bool IsFailure(TryOutcome outcome) {
  return outcome == TryOutcome::kUnreachable ||
         outcome == TryOutcome::kBroken || outcome == TryOutcome::kTimedOut;
}

void MinionHealth::RecordOutcome(TryOutcome outcome,
                                 const HealthSettings& settings,
                                 SteadyTime now,
                                 bool may_set_aside) {
  if (outcome == TryOutcome::kLeaving) {
    this->has_reported_leaving = true;
    return;
  }
  if (outcome == TryOutcome::kDeclined) {
    this->paused_until = now + settings.pause_after_decline;
    return;
  }
  if (outcome == TryOutcome::kAnswered) {
    this->failures_in_row = 0;
    if (this->successes_needed > 0 && --this->successes_needed == 0) {
      this->times_aside = 0;
    }
    return;
  }
  if (!IsFailure(outcome)) {
    return;
  }
  ++this->failures_in_row;
  // One failure is enough on probation.
  const bool has_failed_enough =
      this->failures_in_row >= settings.failures_until_aside ||
      this->is_on_probation();
  if (!has_failed_enough || !may_set_aside) {
    return;
  }
  const std::uint32_t doublings =
      std::min(this->times_aside, std::uint32_t{10});
  const Milliseconds wanted = settings.first_time_aside * (1U << doublings);
  this->aside_until = now + std::min(wanted, settings.longest_time_aside);
  ++this->times_aside;
  this->failures_in_row = 0;
  this->successes_needed = settings.successes_until_trusted;
}

}  // namespace sumac::routing
