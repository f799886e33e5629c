// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_TIME_H_
#define LIBRARIES_BASE_TIME_H_

#include <chrono>
#include <concepts>
#include <ctime>

namespace sumac {

using Milliseconds = std::chrono::milliseconds;

// Wall-clock time in milliseconds since the Unix epoch; the only time that is
// stored or sent.
using WallTime = std::chrono::sys_time<Milliseconds>;

// Monotonic time of one process since an arbitrary start, for timeouts and
// leases that this process alone measures. It advances while the machine is
// suspended, as the time of the other machines does.
using SteadyTime =
    std::chrono::time_point<std::chrono::steady_clock, Milliseconds>;

// A source of both times: SystemClock in production, ManualClock in tests.
template <typename T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<WallTime>;
  { clock.SteadyNow() } -> std::same_as<SteadyTime>;
};

// The machine's clocks.
class SystemClock {
 public:
  // The wall-clock time.
  WallTime Now() const {
    return std::chrono::time_point_cast<Milliseconds>(
        std::chrono::system_clock::now());
  }

  // The steady time.
  // NOTE: Not from std::chrono::steady_clock, which stops while the machine is
  // suspended: a leader would count expired leases as valid after the resume.
  SteadyTime SteadyNow() const {
    std::timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return SteadyTime(std::chrono::duration_cast<Milliseconds>(
        std::chrono::seconds(reading.tv_sec) +
        std::chrono::nanoseconds(reading.tv_nsec)));
  }
};

// A clock that advances only on request; for tests and benchmarks.
class ManualClock {
 public:
  // The wall-clock time, which starts in 2026.
  WallTime Now() const {
    return WallTime(Milliseconds(1'790'000'000'000) + this->elapsed);
  }

  // The steady time, which starts at zero.
  SteadyTime SteadyNow() const { return SteadyTime(this->elapsed); }

  // Advances both times by `step`.
  void Advance(Milliseconds step) { this->elapsed += step; }

 private:
  Milliseconds elapsed{0};
};

static_assert(Clock<SystemClock>);
static_assert(Clock<ManualClock>);

}  // namespace sumac

#endif  // LIBRARIES_BASE_TIME_H_
