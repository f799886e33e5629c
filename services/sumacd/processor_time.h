// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_PROCESSOR_TIME_H_
#define SERVICES_SUMACD_PROCESSOR_TIME_H_

#include <chrono>
#include <ctime>

namespace sumac::daemon {

// The processor time that something has used, as the operating system counts
// it; zero where it does not.
inline std::chrono::nanoseconds ReadProcessorTime(clockid_t which) {
  std::timespec reading{};
  if (clock_gettime(which, &reading) != 0) {
    return std::chrono::nanoseconds(0);
  }
  return std::chrono::seconds(reading.tv_sec) +
         std::chrono::nanoseconds(reading.tv_nsec);
}

// Of the calling thread.
inline std::chrono::nanoseconds ThreadProcessorTime() {
  return ReadProcessorTime(CLOCK_THREAD_CPUTIME_ID);
}

// Of all threads of this process.
inline std::chrono::nanoseconds ProcessProcessorTime() {
  return ReadProcessorTime(CLOCK_PROCESS_CPUTIME_ID);
}

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_PROCESSOR_TIME_H_
