// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_NEED_HISTORY_H_
#define LIBRARIES_MAINTENANCE_NEED_HISTORY_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "libraries/base/time.h"

namespace sumac::maintenance {

// The number of instances that a pool has needed recently, as means over spans
// of a fixed length. Handles late work beside pools whose demand varies: it may
// take what they have not needed for a while, and not what they will need again
// in a moment. The means leave out peaks that are over before an instance has
// moved. Pure.
class NeedHistory {
 public:
  // Records the pool's need at `now`. What is older than `oldest` is forgotten.
  void Record(std::int64_t instances, Milliseconds oldest, SteadyTime now);

  // Returns the highest mean of the spans that ended within the last `time`.
  std::int64_t HighestWithin(Milliseconds time, SteadyTime now) const;
  // True if the need has been recorded for at least `time`.
  bool Covers(Milliseconds time, SteadyTime now) const {
    return this->began_at && now - *this->began_at >= time;
  }

 private:
  struct Span {
    SteadyTime end;
    std::int64_t mean = 0;
  };

  std::optional<SteadyTime> began_at;
  std::deque<Span> spans;
  // The span that has not ended yet.
  SteadyTime span_began{};
  std::int64_t sum = 0;
  std::int64_t records = 0;
};

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_NEED_HISTORY_H_
