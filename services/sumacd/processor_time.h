// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_PROCESSOR_TIME_H_
#define SERVICES_SUMACD_PROCESSOR_TIME_H_

#include <chrono>
#include <ctime>

namespace sumac::daemon {

// Returns the processor time that the given clock counts, or 0 if the operating
// system doesn't provide it.
inline std::chrono::nanoseconds ReadProcessorTime(clockid_t which) {
  std::timespec reading{};
  if (clock_gettime(which, &reading) != 0) {
    return std::chrono::nanoseconds(0);
  }
  return std::chrono::seconds(reading.tv_sec) +
         std::chrono::nanoseconds(reading.tv_nsec);
}

// Returns the processor time of the calling thread.
inline std::chrono::nanoseconds ThreadProcessorTime() {
  return ReadProcessorTime(CLOCK_THREAD_CPUTIME_ID);
}

// Returns the processor time of all threads of this process.
inline std::chrono::nanoseconds ProcessProcessorTime() {
  return ReadProcessorTime(CLOCK_PROCESS_CPUTIME_ID);
}

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_PROCESSOR_TIME_H_
