// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_RESPONSE_LIMIT_H_
#define LIBRARIES_BASE_RESPONSE_LIMIT_H_

#include <algorithm>
#include <optional>

#include "libraries/base/time.h"

namespace sumac {

// Decides when an outstanding answer counts as missing, on an event loop that
// may be late itself. If the timer fires late, the answer may be in the socket,
// still unread. So the loop gets one more round after the timer, as long as its
// lateness, to read what has arrived. Without that, a leader that was short of
// processor time counted up to a sixth of its workers' answers as lost and sent
// twice the orders, which made it even later. Reads no clock.
class ResponseLimit {
 public:
  ResponseLimit(Milliseconds limit, SteadyTime now) : due(now + limit) {}

  // Returns how much longer to wait, or nullopt if the answer counts as
  // missing. To be called each time the timer has fired. `read_lateness` is the
  // time that received bytes wait until the loop reads them.
  std::optional<Milliseconds> ExtendWait(
      SteadyTime now,
      Milliseconds read_lateness = Milliseconds(0)) {
    if (now < this->due) {
      return this->due - now;
    }
    const Milliseconds late = std::max(now - this->due, read_lateness);
    // NOTE: The first timer is not enough, even if it is punctual: a stalled
    // loop may resume right at the limit, without having read its sockets.
    const bool had_round = this->rounds > 0 && late < kMaxTimerLateness;
    if (had_round || this->rounds == kMaxRounds) {
      return std::nullopt;
    }
    ++this->rounds;
    const Milliseconds more =
        std::clamp(late, kMaxTimerLateness, kMaxRoundTime);
    this->due = now + more;
    return more;
  }

 private:
  // The maximum lateness of the timers of a loop that is not overloaded.
  static constexpr Milliseconds kMaxTimerLateness{15};
  // These two bound how far beyond the limit a silent peer goes undetected. A
  // call takes three rounds of the loop: to connect or write, to read the
  // headers and to read the body.
  static constexpr Milliseconds kMaxRoundTime{250};
  static constexpr int kMaxRounds = 4;

  SteadyTime due;
  int rounds = 0;
};

}  // namespace sumac

#endif  // LIBRARIES_BASE_RESPONSE_LIMIT_H_
