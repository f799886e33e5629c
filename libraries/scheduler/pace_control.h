// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_PACE_CONTROL_H_
#define LIBRARIES_SCHEDULER_PACE_CONTROL_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "libraries/base/time.h"

namespace sumac::scheduler {

// The effect of fillers on user-serving runs on one worker, by one report.
struct SharingReport {
  // The worst tail latency relative to its target, in thousandths.
  std::int64_t worst_permille = 0;
  // The image of the serving run with that tail, and of a filler beside it.
  std::string serving_image;
  std::string filler_image;
};

// The pace of the fillers on one worker.
struct PaceState {
  // The share of their full speed at which fillers may run, in hundredths.
  std::uint32_t percent = 100;
  SteadyTime changed_at{};
};

// Decides how fast fillers may run beside user-serving runs: the pace falls
// fast while a tail latency is near or over its target, and rises slowly while
// the tail is well below. A pace that was too fast for a pair of images is
// remembered, since tasks of one image behave alike. Pure.
class PaceControl {
 public:
  // Applies a report to the pace. Returns true if the pace changed.
  bool Update(PaceState& pace, const SharingReport& report, SteadyTime now);

  // Returns the initial pace of a filler that starts beside a serving run.
  std::uint32_t FirstPercent(const std::string& serving_image,
                             const std::string& filler_image) const;

 private:
  using Images = std::pair<std::string, std::string>;

  // The highest pace that was not too fast recently, in hundredths.
  std::map<Images, std::uint32_t> ceilings;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_PACE_CONTROL_H_
