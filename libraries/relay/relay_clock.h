// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RELAY_RELAY_CLOCK_H_
#define LIBRARIES_RELAY_RELAY_CLOCK_H_

#include <cstdint>
#include <optional>

#include "libraries/base/time.h"
#include "libraries/relay/relay_messages.h"

namespace sumac::relay {

// A leader's estimate of a relay's steady clock: a lower bound of the time that
// the clock shows. A reading is as old as its transmission to the leader took,
// so the reading with the shortest transmission gives the tightest bound. It is
// used for a few seconds, in which the clocks drift apart by less than the
// margin on the leader's lease. Pure.
class RelayClock {
 public:
  // Records a reading that arrived at `now` or earlier.
  void RecordReading(RelayTime reading, SteadyTime now);

  // Returns a lower bound of what the clock shows at `time`, or nothing without
  // a fresh reading.
  std::optional<RelayTime> LowerBoundAt(SteadyTime time, SteadyTime now) const;

 private:
  // The largest difference between the two clocks (the relay's minus the
  // leader's) among the readings of one time span.
  struct Span {
    SteadyTime began{};
    std::int64_t difference = 0;
  };

  std::optional<Span> current;
  std::optional<Span> previous;
};

}  // namespace sumac::relay

#endif  // LIBRARIES_RELAY_RELAY_CLOCK_H_
