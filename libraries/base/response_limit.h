// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_RESPONSE_LIMIT_H_
#define LIBRARIES_BASE_RESPONSE_LIMIT_H_

#include <algorithm>
#include <optional>

#include "libraries/base/time.h"

namespace sumac {

// Decides when an answer that has not come counts as missing, on an event loop
// that may be late itself. A timer that fires late says as much about this
// process as about the other side: the answer may lie in the socket, unread. So
// the loop gets one more round after its timer, as long as it was late, to read
// what has come. Without that a leader short of processor time took up to
// a sixth of its workers' answers for lost and gave twice the orders, which
// made it later still. Pure.
class ResponseLimit {
 public:
  ResponseLimit(Milliseconds limit, SteadyTime now) : due(now + limit) {}

  // Asked whenever a timer has fired: how long to wait on, or nothing if the
  // answer is missing. `read_lateness` is how long what has come waits until
  // the loop reads it.
  std::optional<Milliseconds> ExtendWait(
      SteadyTime now,
      Milliseconds read_lateness = Milliseconds(0)) {
    if (now < this->due) {
      return this->due - now;
    }
    const Milliseconds late = std::max(now - this->due, read_lateness);
    // NOTE: The first timer says nothing, however punctual: a loop that stood
    // still may come back right at the limit.
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
  // A loop that is not short of time fires its timers within this.
  static constexpr Milliseconds kMaxTimerLateness{15};
  // These bound how long a silent peer can go unnoticed beyond its limit. A
  // call takes three rounds of the loop: to connect or write, to read the head
  // and to read the body.
  static constexpr Milliseconds kMaxRoundTime{250};
  static constexpr int kMaxRounds = 4;

  SteadyTime due;
  int rounds = 0;
};

}  // namespace sumac

#endif  // LIBRARIES_BASE_RESPONSE_LIMIT_H_
