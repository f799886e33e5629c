// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/arrival_rate.h"

namespace sumac::scheduler {
namespace {

// Arrivals within this count. Short, since a rush lasts a few seconds and an
// instance needs one and a half to move.
constexpr Milliseconds kWindow{700};
// Fewer arrivals are taken for chance.
constexpr std::size_t kFewest = 4;

}  // namespace

void ArrivalRate::Add(std::int64_t millicore_time, SteadyTime now) {
  this->arrivals.push_back(Arrival{now, millicore_time});
  this->sum += millicore_time;
}

std::int64_t ArrivalRate::MillicoresBusy(SteadyTime now) {
  while (!this->arrivals.empty() && now - this->arrivals.front().at > kWindow) {
    this->sum -= this->arrivals.front().millicore_time;
    this->arrivals.pop_front();
  }
  return this->arrivals.size() < kFewest ? 0 : this->sum / kWindow.count();
}

}  // namespace sumac::scheduler
