// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RELAY_RELAY_CLOCK_H_
#define LIBRARIES_RELAY_RELAY_CLOCK_H_

#include <cstdint>
#include <optional>

#include "libraries/base/time.h"
#include "libraries/relay/relay_messages.h"

namespace sumac::relay {

// What a leader knows of a relay's steady clock: a time that it has surely
// reached. A reading is as old as its way to the leader, so the one that took
// the shortest way tells most; it is used for some seconds, in which clocks
// drift apart by less than a leader's margin on its lease. Pure.
class RelayClock {
 public:
  // Takes in a reading that came at `now` at the latest.
  void RecordReading(RelayTime reading, SteadyTime now);

  // What the clock shows at `time` at least; nothing without a fresh reading.
  std::optional<RelayTime> LowerBoundAt(SteadyTime time, SteadyTime now) const;

 private:
  // The largest difference between the two clocks in one span of time.
  struct Span {
    SteadyTime began{};
    std::int64_t difference = 0;
  };

  std::optional<Span> current;
  std::optional<Span> previous;
};

}  // namespace sumac::relay

#endif  // LIBRARIES_RELAY_RELAY_CLOCK_H_
