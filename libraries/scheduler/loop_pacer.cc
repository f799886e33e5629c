// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/loop_pacer.h"

#include <algorithm>

namespace sumac::scheduler {
namespace {

// A new pass counts for a quarter: a rush shows within some passes, and one
// pass that a stopped process made long does not slow down the next ten.
constexpr int kSmoothing = 4;

}  // namespace

void LoopPacer::RecordPass(std::chrono::microseconds took) {
  this->smoothed += (took - this->smoothed) / kSmoothing;
}

Milliseconds LoopPacer::PassPause() const {
  const auto rest = std::chrono::duration_cast<Milliseconds>(
      this->smoothed * this->settings.rest_per_work);
  return std::clamp(rest + this->late / 2, this->settings.shortest,
                    this->settings.longest);
}

// Twice the lateness: the end was seen that late, too, and a worker that is
// asked again at once would answer into the same queue.
Milliseconds LoopPacer::ReportPause() const {
  return std::min(this->settings.shortest_report_pause + 2 * this->late,
                  this->settings.longest_report_pause);
}

// A part of the lateness, since a commit stands between each step of a job and
// the next.
Milliseconds LoopPacer::CommitPause() const {
  return std::min(this->settings.shortest_commit_pause + this->late / 4,
                  this->settings.longest_commit_pause);
}

}  // namespace sumac::scheduler
