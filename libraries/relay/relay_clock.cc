// SPDX-License-Identifier: Apache-2.0
#include "libraries/relay/relay_clock.h"

#include <algorithm>

namespace sumac::relay {
namespace {

// Two spans of readings are used. Over both of them clocks that drift by one
// part in two hundred differ by 20 ms, less than half of the margin on a
// leader's lease.
constexpr Milliseconds kSpanLength{2'000};

}  // namespace

void RelayClock::RecordReading(RelayTime reading, SteadyTime now) {
  const std::int64_t difference =
      reading.value() - now.time_since_epoch().count();
  if (this->current && now - this->current->began < kSpanLength) {
    this->current->difference = std::max(this->current->difference, difference);
    return;
  }
  this->previous = this->current;
  this->current = Span{now, difference};
}

std::optional<RelayTime> RelayClock::LowerBoundAt(SteadyTime time,
                                                  SteadyTime now) const {
  std::optional<std::int64_t> difference;
  for (const std::optional<Span>& span : {this->current, this->previous}) {
    if (span && now - span->began < 2 * kSpanLength) {
      difference =
          std::max(difference.value_or(span->difference), span->difference);
    }
  }
  if (!difference) {
    return std::nullopt;
  }
  return RelayTime(time.time_since_epoch().count() + *difference);
}

}  // namespace sumac::relay
