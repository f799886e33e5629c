// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_PASS_PACER_H_
#define LIBRARIES_SCHEDULER_PASS_PACER_H_

#include <chrono>

#include "libraries/base/time.h"

namespace sumac::scheduler {

// How long a leader gathers news between two passes of its scheduler.
struct PacerSettings {
  // On an idle leader. A start waits for half of it in the mean, which is
  // little beside tasks of a second; each pass looks at all workers, so shorter
  // pauses cost processor time without starting anything earlier.
  Milliseconds shortest{10};
  // Bounds how late a start can be for the sake of the pace.
  Milliseconds longest{100};
  // The pause is this many times as long as a pass takes, so that passes use a
  // quarter of the loop at most and calls, heartbeats and commits get the rest.
  int rest_per_work = 3;
};

// Answers a rush on a leader whose processor is nearly used up: a pass costs
// the same whether it starts one task or fifty, so it waits the longer, and
// starts the more at once, the longer passes take. Pure.
class PassPacer {
 public:
  explicit PassPacer(PacerSettings settings = {}) : settings(settings) {}

  // Takes in how long a pass took by the clock, the time that the loop stood
  // still without the processor included.
  void NotePass(std::chrono::microseconds took);

  // How long to gather news before the next pass.
  Milliseconds NextPause() const;

 private:
  PacerSettings settings;
  // How long passes take, smoothed.
  std::chrono::microseconds smoothed{0};
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_PASS_PACER_H_
