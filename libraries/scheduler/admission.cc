// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/admission.h"

#include <algorithm>

namespace sumac::scheduler {
namespace {

// A new reading counts for a half when the loop gets later, since a sudden rush
// fills it within two or three readings, and for an eighth when it gets better.
constexpr int kRiseDivisor = 2;
constexpr int kFallDivisor = 8;

}  // namespace

double LatenessRange::ShareAt(Milliseconds late) const {
  const Milliseconds left = this->none_from - late;
  const Milliseconds range = this->none_from - this->all_up_to;
  return std::clamp(
      static_cast<double>(left.count()) / static_cast<double>(range.count()),
      0.0, 1.0);
}

void Admission::RecordLateness(Milliseconds late) {
  const Milliseconds change = late - this->smoothed;
  const int smoothing = change > Milliseconds(0) ? kRiseDivisor : kFallDivisor;
  Milliseconds step = change / smoothing;
  if (step == Milliseconds(0)) {
    step = change;
  }
  this->smoothed += step;
}

std::size_t Admission::StartsLeft(const LatenessRange& range,
                                  std::size_t open_starts) const {
  const auto span = static_cast<double>(this->settings.max_open_starts -
                                        this->settings.min_open_starts);
  const std::size_t most =
      this->settings.min_open_starts +
      static_cast<std::size_t>(span * range.ShareAt(this->smoothed));
  return std::min(this->settings.max_starts_per_pass,
                  most - std::min(most, open_starts));
}

StartAllowance Admission::AllowStarts(std::size_t open_starts) const {
  return {.all = this->StartsLeft(this->settings.starts, open_starts),
          .late = this->StartsLeft(this->settings.late_starts, open_starts)};
}

bool Admission::AdmitJob() {
  const double share = this->settings.jobs.ShareAt(this->smoothed);
  const double most = 1.0 + (this->settings.burst - 1.0) * share;
  this->credit = std::min(this->credit + share, most);
  if (this->credit < 1.0) {
    return false;
  }
  this->credit -= 1.0;
  return true;
}

Milliseconds Admission::RetryAfter() const {
  constexpr double kHalf = 0.5;
  return this->settings.jobs.ShareAt(this->smoothed) < kHalf
             ? this->settings.long_retry
             : this->settings.short_retry;
}

}  // namespace sumac::scheduler
