// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/return_times.h"

#include <algorithm>
#include <chrono>

namespace sumac::scheduler {

Milliseconds ReturnTimes::Stretch(const QueueName& queue,
                                  bool is_new,
                                  Milliseconds retry_after,
                                  SteadyTime now) {
  using Seconds = std::chrono::duration<double>;
  Rush& rush = this->rushes[queue];
  const bool is_over = now - rush.last_refusal > this->settings.pause;
  if (is_new) {
    rush.began = is_over ? now : rush.began;
    rush.last_refusal = now;
  }
  const Milliseconds age = is_over ? Milliseconds(0) : now - rush.began;
  const double factor =
      std::clamp(Seconds(age) / Seconds(this->settings.short_rush), 1.0,
                 this->settings.max_factor);
  return std::chrono::duration_cast<Milliseconds>(Seconds(retry_after) *
                                                  factor);
}

}  // namespace sumac::scheduler
