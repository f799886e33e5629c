// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_SUSPENSION_WATCH_H_
#define LIBRARIES_BASE_SUSPENSION_WATCH_H_

#include "libraries/base/time.h"

namespace sumac {

// Detects that this process was suspended. Bytes that arrived meanwhile are
// read as if they had just arrived, so nothing that is read soon after a
// suspension can be assumed to be recent. Pure.
class SuspensionWatch {
 public:
  // `now` is the time at which the process starts to run.
  explicit SuspensionWatch(SteadyTime now) : last_running(now) {}

  // Records that the process runs. It must be called at least every
  // kMaxGap, and late calls count as suspensions.
  void RecordRunning(SteadyTime now) {
    if (now - this->last_running > kMaxGap) {
      this->stale_until = now + kStaleReadTime;
    }
    this->last_running = now;
  }

  // Returns true if bytes that are read at `now` may have arrived long before.
  bool MayBeStale(SteadyTime now) const {
    return now - this->last_running > kMaxGap || now < this->stale_until;
  }

 private:
  // A loop that is late because of load stays below this gap.
  static constexpr Milliseconds kMaxGap{300};
  // The time after a suspension within which everything that arrived during it
  // has been read.
  static constexpr Milliseconds kStaleReadTime{1'000};

  SteadyTime last_running;
  SteadyTime stale_until{};
};

}  // namespace sumac

#endif  // LIBRARIES_BASE_SUSPENSION_WATCH_H_
