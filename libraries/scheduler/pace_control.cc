// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/pace_control.h"

#include <algorithm>

namespace sumac::scheduler {
namespace {

constexpr std::uint32_t kFullPercent = 100;
// A tail above this share of its target, in thousandths, slows the fillers
// down. The figure is rough, so a margin to the target is left.
constexpr std::int64_t kHighPermille = 850;
// A tail above this share of its target stops the fillers at once.
constexpr std::int64_t kStopPermille = 1'300;
// A tail below this share of its target lets the fillers speed up.
constexpr std::int64_t kLowPermille = 650;
// The time until a change of pace shows in the reports: workers report a mean
// over half a second.
constexpr Milliseconds kSettleTime{600};
// The minimum time between two increases of the pace.
constexpr Milliseconds kStepUpTime{1'000};
constexpr std::uint32_t kStepUpPercent = 10;
// A pace below this is too slow to be useful, so the fillers are stopped
// instead.
constexpr std::uint32_t kMinPercent = 10;
// The ceiling is set this far below a pace that was too fast.
constexpr std::uint32_t kCeilingMargin = 5;
// How far the ceiling rises with each increase that would exceed it.
constexpr std::uint32_t kCeilingStep = 3;
// The maximum number of pairs of images that are remembered; bounds memory.
constexpr std::size_t kMaxPairs = 1'000;

}  // namespace

std::uint32_t PaceControl::FirstPercent(const std::string& serving_image,
                                        const std::string& filler_image) const {
  const auto found = this->ceilings.find({serving_image, filler_image});
  return found == this->ceilings.end() ? kFullPercent : found->second;
}

bool PaceControl::Update(PaceState& pace,
                         const SharingReport& report,
                         SteadyTime now) {
  const std::uint32_t before = pace.percent;
  const Images images(report.serving_image, report.filler_image);
  if (report.worst_permille > kHighPermille) {
    if (now - pace.changed_at < kSettleTime || pace.percent == 0) {
      return false;
    }
    if (this->ceilings.size() >= kMaxPairs) {
      this->ceilings.clear();
    }
    this->ceilings[images] =
        pace.percent > kCeilingMargin ? pace.percent - kCeilingMargin : 0;
    pace.percent = report.worst_permille > kStopPermille ? 0 : pace.percent / 2;
    if (pace.percent < kMinPercent) {
      pace.percent = 0;
    }
  } else if (report.worst_permille < kLowPermille &&
             now - pace.changed_at >= kStepUpTime) {
    const auto ceiling = this->ceilings.find(images);
    std::uint32_t next = std::min(kFullPercent, pace.percent + kStepUpPercent);
    if (ceiling != this->ceilings.end() && next > ceiling->second) {
      // Raises the ceiling a little instead of passing it, to test whether it
      // still holds.
      ceiling->second = std::min(kFullPercent, ceiling->second + kCeilingStep);
      next = std::max(pace.percent, ceiling->second);
    }
    pace.percent = next;
    pace.changed_at = now;
    return pace.percent != before;
  }
  if (pace.percent != before) {
    pace.changed_at = now;
  }
  return pace.percent != before;
}

}  // namespace sumac::scheduler
