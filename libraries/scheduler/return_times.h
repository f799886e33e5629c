// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_RETURN_TIMES_H_
#define LIBRARIES_SCHEDULER_RETURN_TIMES_H_

#include <unordered_map>

#include "libraries/base/names.h"
#include "libraries/base/time.h"

namespace sumac::scheduler {

struct ReturnTimesSettings {
  // A rush that lasts for longer than this makes refused callers wait longer:
  // as many times as long as the rush lasts as many times this.
  Milliseconds short_rush{4'000};
  // The greatest such factor. Callers give up after some 10 to 20 s, and those
  // that are told to wait for longer than 8 s do so before their second try.
  double max_factor = 2;
  // A rush is over once no new caller was refused for this long.
  Milliseconds pause{1'000};
};

// Tells refused callers to wait longer the longer a rush has lasted. Handles a
// rush of many seconds on a queue, in which callers that return after a few
// seconds are refused again and again, each at the cost of a call. A rush that
// has lasted for some time is expected to last as long again; a short one is
// over when its callers return, so they wait no longer. Callers that were
// refused before don't prolong a rush. Pure.
class ReturnTimes {
 public:
  explicit ReturnTimes(ReturnTimesSettings settings = {})
      : settings(settings) {}

  // Returns when a caller of the queue that is refused now should retry, if it
  // should retry after `retry_after` in a short rush. `is_new`: it has not been
  // refused before.
  Milliseconds Stretch(const QueueName& queue,
                       bool is_new,
                       Milliseconds retry_after,
                       SteadyTime now);

 private:
  struct Rush {
    SteadyTime began{};
    // When a new caller was last refused.
    SteadyTime last_refusal{};
  };

  ReturnTimesSettings settings;
  std::unordered_map<QueueName, Rush> rushes;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_RETURN_TIMES_H_
