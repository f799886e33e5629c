// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_PACE_CONTROL_H_
#define LIBRARIES_SCHEDULER_PACE_CONTROL_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "libraries/base/time.h"

namespace sumac::scheduler {

// What one report shows of a worker on which runs that fill stand beside runs
// that serve users.
struct SharingReport {
  // The worst tail of answer times against its target, in thousandths.
  std::int64_t worst_permille = 0;
  // What serves at that tail, and what fills beside it.
  std::string serving_image;
  std::string filler_image;
};

// The pace of the fillers on one worker.
struct PaceState {
  // The share of their full speed at which they may work, in hundredths.
  std::uint32_t percent = 100;
  SteadyTime changed_at{};
};

// Decides how fast fillers may work beside runs that serve users: down fast
// while a tail is near its target or over it, up slowly while it is well below.
// What was too fast for a pair of images is remembered, since tasks of one
// image behave alike. Pure.
class PaceControl {
 public:
  // Takes in a report and sets the pace that follows. True if it changed.
  bool Update(PaceState& pace, const SharingReport& report, SteadyTime now);

  // The pace at which a filler begins beside a run that serves.
  std::uint32_t FirstPercent(const std::string& serving_image,
                             const std::string& filler_image) const;

 private:
  using Images = std::pair<std::string, std::string>;

  // The highest pace, in hundredths, that has not been too fast lately.
  std::map<Images, std::uint32_t> ceilings;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_PACE_CONTROL_H_
