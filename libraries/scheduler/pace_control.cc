// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/pace_control.h"

#include <algorithm>

namespace sumac::scheduler {
namespace {

constexpr std::uint32_t kFullPercent = 100;
// A tail above this share of its target slows the fillers, in thousandths; the
// figure is rough, so there is room to the target itself.
constexpr std::int64_t kHighPermille = 850;
// A tail this far over its target stops them at once.
constexpr std::int64_t kStopPermille = 1'300;
// A tail below this lets them work faster.
constexpr std::int64_t kLowPermille = 650;
// Workers report a mean over half a second: a change shows after that.
constexpr Milliseconds kSettleTime{600};
// Between two steps up.
constexpr Milliseconds kStepUpTime{1'000};
constexpr std::uint32_t kStepUpPercent = 10;
// Less than this is no use to anyone.
constexpr std::uint32_t kMinPercent = 10;
// A pace this far below one that was too fast is the highest that is tried.
constexpr std::uint32_t kCeilingMargin = 5;
// By how much that bound rises with each step that would pass it.
constexpr std::uint32_t kCeilingStep = 3;
// Pairs of images that are remembered; bounds memory.
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
      // At the ceiling: raise it a little instead, to find out if it still
      // holds.
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
