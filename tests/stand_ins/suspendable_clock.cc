// SPDX-License-Identifier: Apache-2.0
#include "tests/stand_ins/suspendable_clock.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <ctime>

namespace sumac {
namespace {

std::atomic<std::int64_t> suspended_ms{0};

}  // namespace

void SimulateSuspension(Milliseconds time) {
  suspended_ms += time.count();
}

}  // namespace sumac

// Replaces the C library's function in this program.
extern "C" int clock_gettime(clockid_t clock, std::timespec* reading) noexcept {
  constexpr std::int64_t kSecond = 1'000;
  constexpr std::int64_t kNanoseconds = 1'000'000;
  const auto result =
      static_cast<int>(syscall(SYS_clock_gettime, clock, reading));
  if (result == 0 && (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME)) {
    const std::int64_t jumped = sumac::suspended_ms;
    reading->tv_sec += jumped / kSecond;
    reading->tv_nsec += jumped % kSecond * kNanoseconds;
    if (reading->tv_nsec >= kSecond * kNanoseconds) {
      reading->tv_nsec -= kSecond * kNanoseconds;
      ++reading->tv_sec;
    }
  }
  return result;
}
