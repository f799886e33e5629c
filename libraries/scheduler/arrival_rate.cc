// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/arrival_rate.h"

#include <algorithm>
#include <cmath>

namespace sumac::scheduler {
namespace {

// The time over which the present rate is measured. It is short, since a load
// spike lasts a few seconds and an instance needs one and a half to move.
constexpr Milliseconds kWindow{700};
// The length of the two consecutive times from which growth is measured. They
// are longer, since the difference of two counts is noisier than either.
constexpr Milliseconds kTrendWindow{1'000};
// Fewer arrivals than this are considered random.
constexpr std::size_t kMinArrivals = 4;
constexpr std::int64_t kPermille = 1'000;
// The number of standard deviations from which a change of the rate is not
// considered random.
constexpr double kSignificantDeviations = 2;

}  // namespace

void ArrivalRate::Add(std::int64_t millicore_time, SteadyTime now) {
  this->arrivals.push_back(Arrival{now, millicore_time});
}

ArrivalRate::Window ArrivalRate::SumBetween(Milliseconds oldest,
                                            Milliseconds newest,
                                            SteadyTime now) const {
  Window window;
  for (const Arrival& arrival : this->arrivals) {
    const Milliseconds age = now - arrival.at;
    if (age <= oldest && age > newest) {
      const auto size = static_cast<double>(arrival.millicore_time);
      window.millicore_time += arrival.millicore_time;
      window.sum_of_squares += size * size;
      ++window.count;
    }
  }
  return window;
}

ArrivalRate::Load ArrivalRate::Measure(const ForecastSettings& settings,
                                       SteadyTime now) {
  while (!this->arrivals.empty() &&
         now - this->arrivals.front().at > 2 * kTrendWindow) {
    this->arrivals.pop_front();
  }
  constexpr Milliseconds kNow{-1};
  const Window present = this->SumBetween(kWindow, kNow, now);
  if (present.count < kMinArrivals) {
    return {};
  }
  const Window recent = this->SumBetween(kTrendWindow, kNow, now);
  const Window before = this->SumBetween(2 * kTrendWindow, kTrendWindow, now);
  const Window latest = this->SumBetween(kWindow / 2, kNow, now);
  const std::int64_t change = recent.millicore_time - before.millicore_time;
  const std::int64_t growth = change * settings.horizon.count() /
                              (kTrendWindow.count() * kTrendWindow.count());
  const std::int64_t seen = present.millicore_time / kWindow.count();
  const double deviation =
      std::sqrt(recent.sum_of_squares + before.sum_of_squares);
  return {
      .seen = seen,
      .forecast = std::clamp(
          seen + growth, seen,
          std::max(seen, seen * settings.max_forecast_permille / kPermille)),
      // A rise that is over still shows in the longer windows.
      .is_rising =
          settings.horizon > Milliseconds(0) &&
          static_cast<double>(change) >= kSignificantDeviations * deviation &&
          2 * latest.millicore_time >= present.millicore_time};
}

}  // namespace sumac::scheduler
