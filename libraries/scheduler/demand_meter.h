// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_DEMAND_METER_H_
#define LIBRARIES_SCHEDULER_DEMAND_METER_H_

#include <cstdint>
#include <map>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/service_demand.h"
#include "libraries/scheduler/arrival_rate.h"
#include "libraries/scheduler/run_times.h"

namespace sumac::scheduler {

// Measures what the tasks of each service need: those that run, those that
// could, and those of the jobs that are arriving. Pure.
class DemandMeter {
 public:
  // Jobs numbered from `first_own_sequence` on were accepted under this leader;
  // earlier ones do not count as arrivals.
  DemandMeter(const jobs::JobsState& state,
              const RunTimes& run_times,
              ForecastSettings forecast,
              std::uint64_t first_own_sequence)
      : state(state),
        run_times(run_times),
        forecast(forecast),
        first_own_sequence(first_own_sequence) {}

  std::map<ServiceName, jobs::ServiceDemand> Measure(SteadyTime now,
                                                     WallTime wall_now);

 private:
  void AddOccurrence(const jobs::Job& job,
                     std::uint32_t occurrence,
                     WallTime wall_now,
                     jobs::ServiceDemand& service) const;
  void RecordArrivals(SteadyTime now);

  const jobs::JobsState& state;
  const RunTimes& run_times;
  ForecastSettings forecast;
  std::uint64_t first_own_sequence;
  std::map<ServiceName, ArrivalRate> arrivals;
  // Jobs numbered below this have been counted as arrivals.
  std::uint64_t next_arrival = 0;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_DEMAND_METER_H_
