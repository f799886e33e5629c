// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_ARRIVAL_RATE_H_
#define LIBRARIES_SCHEDULER_ARRIVAL_RATE_H_

#include <cstdint>
#include <deque>

#include "libraries/base/time.h"

namespace sumac::scheduler {

// How a rate of arrivals is read.
struct ForecastSettings {
  // How far ahead a rising rate is carried on: what it takes to move an
  // instance, and to have it announced and renewed. 0 looks back only.
  Milliseconds horizon{1'800};
  // The most that the forecast may be of what was seen, in thousandths.
  std::int64_t max_forecast_permille = 2'000;
};

// How much work arrives for one service: what its jobs will keep busy if they
// go on arriving as they do. Tells a rush before its backlog does, and while it
// grows carries its growth on.
class ArrivalRate {
 public:
  // Takes in a job that will use `millicore_time` (thousandths of a core times
  // milliseconds).
  void Add(std::int64_t millicore_time, SteadyTime now);

  // The cores, in thousandths, that arrivals will keep busy after the horizon;
  // 0 while there are too few to tell.
  std::int64_t ForecastMillicores(const ForecastSettings& settings,
                                  SteadyTime now);

 private:
  struct Arrival {
    SteadyTime at;
    std::int64_t millicore_time = 0;
  };
  struct Window {
    std::int64_t millicore_time = 0;
    std::size_t count = 0;
  };

  // What arrived from `oldest` ago until `newest` ago.
  Window SumBetween(Milliseconds oldest,
                    Milliseconds newest,
                    SteadyTime now) const;

  std::deque<Arrival> arrivals;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_ARRIVAL_RATE_H_
