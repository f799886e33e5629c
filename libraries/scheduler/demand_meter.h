// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_DEMAND_METER_H_
#define LIBRARIES_SCHEDULER_DEMAND_METER_H_

#include <cstdint>
#include <map>
#include <set>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/service_demand.h"
#include "libraries/scheduler/arrival_rate.h"
#include "libraries/scheduler/run_times.h"
#include "libraries/scheduler/urgency.h"

namespace sumac::scheduler {

// Measures the resources that the tasks of each service need: the running
// tasks, those that could run now, and those of arriving jobs. Pure.
class DemandMeter {
 public:
  // Jobs with the number `first_own_sequence` and above were accepted under
  // this leader; earlier ones do not count as arrivals.
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
  // What each customer's quota still allows, in thousandths of cores. What a
  // quota forbids is no demand: instances moved to a pool for it would be idle.
  class QuotaLeft {
   public:
    explicit QuotaLeft(const jobs::JobsDeclaration& declaration)
        : declaration(declaration) {}
    // Returns the part of `wanted` that the job's customer may run.
    std::int64_t Take(const jobs::Job& job, std::int64_t wanted);
    // The customers that wanted more than their quota allows.
    const std::set<CustomerName>& exhausted() const {
      return this->exhausted_customers;
    }

   private:
    const jobs::JobsDeclaration& declaration;
    std::map<CustomerName, std::int64_t> left;
    std::set<CustomerName> exhausted_customers;
  };

  // The demand of one service while it is being measured.
  struct Measured {
    jobs::ServiceDemand demand;
    // The sum of the squares of the processor time that each job in time asks
    // for, in thousandths of cores. If jobs arrive by chance, it is the
    // variance of their demand.
    double sum_of_squares = 0;
  };

  Lateness LatenessOf(const jobs::Job& job,
                      std::uint32_t occurrence,
                      WallTime wall_now) const;
  void AddOccurrence(const jobs::Job& job,
                     std::uint32_t occurrence,
                     WallTime wall_now,
                     QuotaLeft& quota_left,
                     Measured& measured) const;
  static void AddArrivals(Measured& measured, const ArrivalRate::Load& load);
  void RecordArrivals(SteadyTime now);

  const jobs::JobsState& state;
  const RunTimes& run_times;
  ForecastSettings forecast;
  std::uint64_t first_own_sequence;
  std::map<ServiceName, ArrivalRate> arrivals;
  // The customers that ask for more than their quota; their arrivals are not
  // counted.
  std::set<CustomerName> customers_above_quota;
  // Jobs below this number have been counted as arrivals.
  std::uint64_t next_arrival = 0;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_DEMAND_METER_H_
