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

// Time of one process since some start; for timeouts and leases that one
// process measures alone. It goes on while the machine is suspended, as the
// other machines' time does.
using SteadyTime =
    std::chrono::time_point<std::chrono::steady_clock, Milliseconds>;

// A source of both times. The real one is SystemClock; tests pass a
// ManualClock.
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
  // NOTE: Not std::chrono::steady_clock, which stands still while the machine
  // is suspended: a leader that wakes would believe in leases that have ended.
  SteadyTime SteadyNow() const {
    std::timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return SteadyTime(std::chrono::duration_cast<Milliseconds>(
        std::chrono::seconds(reading.tv_sec) +
        std::chrono::nanoseconds(reading.tv_nsec)));
  }
};

// A clock that moves only when told to; for tests and benchmarks.
class ManualClock {
 public:
  // The wall-clock time, which starts in 2026.
  WallTime Now() const {
    return WallTime(Milliseconds(1'790'000'000'000) + this->elapsed);
  }

  // The steady time, which starts at zero.
  SteadyTime SteadyNow() const { return SteadyTime(this->elapsed); }

  // Moves both times on by `step`.
  void Advance(Milliseconds step) { this->elapsed += step; }

 private:
  Milliseconds elapsed{0};
};

static_assert(Clock<SystemClock>);
static_assert(Clock<ManualClock>);

}  // namespace sumac

#endif  // LIBRARIES_BASE_TIME_H_
