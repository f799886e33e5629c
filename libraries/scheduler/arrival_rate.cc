// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/arrival_rate.h"

#include <algorithm>

namespace sumac::scheduler {
namespace {

// The present rate is read from this time. Short, since a rush lasts a few
// seconds and an instance needs one and a half to move.
constexpr Milliseconds kWindow{700};
// Growth is read from two times of this length, one after the other: longer,
// since the difference of two counts is noisier than either.
constexpr Milliseconds kTrendWindow{1'000};
// Fewer arrivals are taken for chance.
constexpr std::size_t kMinArrivals = 4;
constexpr std::int64_t kPermille = 1'000;

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
      window.millicore_time += arrival.millicore_time;
      ++window.count;
    }
  }
  return window;
}

std::int64_t ArrivalRate::ForecastMillicores(const ForecastSettings& settings,
                                             SteadyTime now) {
  while (!this->arrivals.empty() &&
         now - this->arrivals.front().at > 2 * kTrendWindow) {
    this->arrivals.pop_front();
  }
  constexpr Milliseconds kNow{-1};
  const Window present = this->SumBetween(kWindow, kNow, now);
  if (present.count < kMinArrivals) {
    return 0;
  }
  const std::int64_t seen = present.millicore_time / kWindow.count();
  const Window recent = this->SumBetween(kTrendWindow, kNow, now);
  const Window before = this->SumBetween(2 * kTrendWindow, kTrendWindow, now);
  const std::int64_t growth = (recent.millicore_time - before.millicore_time) *
                              settings.horizon.count() /
                              (kTrendWindow.count() * kTrendWindow.count());
  return std::clamp(
      seen + growth, seen,
      std::max(seen, seen * settings.max_forecast_permille / kPermille));
}

}  // namespace sumac::scheduler
