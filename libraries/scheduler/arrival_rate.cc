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
  constexpr std::int64_t kTrendSquare =
      kTrendWindow.count() * kTrendWindow.count();
  const double deviation =
      std::sqrt(recent.sum_of_squares + before.sum_of_squares);
  return {.seen = present.millicore_time / kWindow.count(),
          .growth = (recent.millicore_time - before.millicore_time) *
                    settings.horizon.count() / kTrendSquare,
          .growth_deviation = static_cast<std::int64_t>(
              deviation * static_cast<double>(settings.horizon.count()) /
              kTrendSquare)};
}

std::int64_t ArrivalRate::ForecastMillicores(const ForecastSettings& settings,
                                             SteadyTime now) {
  const Load load = this->Measure(settings, now);
  return std::clamp(
      load.seen + load.growth, load.seen,
      std::max(load.seen,
               load.seen * settings.max_forecast_permille / kPermille));
}

}  // namespace sumac::scheduler
