// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_ARRIVAL_RATE_H_
#define LIBRARIES_SCHEDULER_ARRIVAL_RATE_H_

#include <cstdint>
#include <deque>

#include "libraries/base/time.h"

namespace sumac::scheduler {

// How much work arrives for one service: what its jobs will keep busy if they
// go on arriving as they do. Tells the start of a rush before its backlog does.
class ArrivalRate {
 public:
  // Takes in a job that will use `millicore_time` (thousandths of a core times
  // milliseconds).
  void Add(std::int64_t millicore_time, SteadyTime now);

  // The cores, in thousandths, that the arrivals of the last moment keep busy;
  // 0 while there are too few to tell.
  std::int64_t MillicoresBusy(SteadyTime now);

 private:
  struct Arrival {
    SteadyTime at;
    std::int64_t millicore_time = 0;
  };

  std::deque<Arrival> arrivals;
  std::int64_t sum = 0;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_ARRIVAL_RATE_H_
