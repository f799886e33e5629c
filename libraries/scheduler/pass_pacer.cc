// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/pass_pacer.h"

#include <algorithm>

namespace sumac::scheduler {
namespace {

// A new pass counts for a quarter: a rush shows within some passes, and one
// pass that a stopped process made long does not slow down the next ten.
constexpr int kSmoothing = 4;

}  // namespace

void PassPacer::NotePass(std::chrono::microseconds took) {
  this->smoothed += (took - this->smoothed) / kSmoothing;
}

Milliseconds PassPacer::NextPause() const {
  const auto wanted = std::chrono::duration_cast<Milliseconds>(
      this->smoothed * this->settings.rest_per_work);
  return std::clamp(wanted, this->settings.shortest, this->settings.longest);
}

}  // namespace sumac::scheduler
