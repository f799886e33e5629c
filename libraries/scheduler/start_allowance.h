// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_START_ALLOWANCE_H_
#define LIBRARIES_SCHEDULER_START_ALLOWANCE_H_

#include <cstddef>
#include <limits>

namespace sumac::scheduler {

// How many starts one planning pass of the scheduler may order.
struct StartAllowance {
  static constexpr std::size_t kAnyNumber =
      std::numeric_limits<std::size_t>::max();

  std::size_t all = kAnyNumber;
  // How many of these may be for jobs that can no longer be in time.
  std::size_t late = kAnyNumber;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_START_ALLOWANCE_H_
