// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_ARRIVAL_RATE_H_
#define LIBRARIES_SCHEDULER_ARRIVAL_RATE_H_

#include <cstdint>
#include <deque>

#include "libraries/base/time.h"

namespace sumac::scheduler {

// How a rate of arrivals is extrapolated.
struct ForecastSettings {
  // How far ahead a rising rate is extrapolated: the time that it takes to move
  // an instance, and to have it announced and renewed. 0 disables
  // extrapolation.
  Milliseconds horizon{1'800};
  // The maximum ratio of the forecast to the observed rate, in thousandths.
  std::int64_t max_forecast_permille = 2'000;
};

// Measures how much work arrives for one service: the capacity that its jobs
// will use if they keep arriving at this rate. Detects a load spike before it
// shows in the backlog, and extrapolates its growth.
class ArrivalRate {
 public:
  // The load of the arriving jobs, in thousandths of a core.
  struct Load {
    // The capacity that they use if they keep arriving at the present rate, and
    // after the horizon if the rate changes on as it has.
    std::int64_t seen = 0;
    std::int64_t forecast = 0;
    // True while the rate rises by more than jobs that arrive by chance would
    // show.
    bool is_rising = false;
  };

  // Records a job that will use `millicore_time` (thousandths of a core times
  // milliseconds).
  void Add(std::int64_t millicore_time, SteadyTime now);

  // Returns the present load; all 0 if there are too few arrivals to tell.
  Load Measure(const ForecastSettings& settings, SteadyTime now);

 private:
  struct Arrival {
    SteadyTime at;
    std::int64_t millicore_time = 0;
  };
  struct Window {
    std::int64_t millicore_time = 0;
    double sum_of_squares = 0;
    std::size_t count = 0;
  };

  // Sums up the arrivals of age `oldest` to `newest`.
  Window SumBetween(Milliseconds oldest,
                    Milliseconds newest,
                    SteadyTime now) const;

  std::deque<Arrival> arrivals;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_ARRIVAL_RATE_H_
