// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/admission.h"

#include <algorithm>

namespace sumac::scheduler {
namespace {

// A new reading counts for a half when the loop gets later, since a sudden rush
// fills it within two or three readings, and for an eighth when it gets better.
constexpr int kRise = 2;
constexpr int kFall = 8;

}  // namespace

void Admission::NoteLateness(Milliseconds late) {
  const Milliseconds change = late - this->smoothed;
  const int smoothing = change > Milliseconds(0) ? kRise : kFall;
  Milliseconds step = change / smoothing;
  if (step == Milliseconds(0)) {
    step = change;
  }
  this->smoothed += step;
}

double Admission::Share() const {
  const Milliseconds left = this->settings.none_from - this->smoothed;
  const Milliseconds range =
      this->settings.none_from - this->settings.all_up_to;
  return std::clamp(
      static_cast<double>(left.count()) / static_cast<double>(range.count()),
      0.0, 1.0);
}

std::size_t Admission::OpenStarts() const {
  const auto range = static_cast<double>(this->settings.most_open_starts -
                                         this->settings.fewest_open_starts);
  return this->settings.fewest_open_starts +
         static_cast<std::size_t>(range * this->Share());
}

bool Admission::Take() {
  const double share = this->Share();
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
  return this->Share() < kHalf ? this->settings.long_retry
                               : this->settings.short_retry;
}

}  // namespace sumac::scheduler
