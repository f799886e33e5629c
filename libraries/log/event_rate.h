// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_LOG_EVENT_RATE_H_
#define LIBRARIES_LOG_EVENT_RATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "libraries/base/time.h"

namespace sumac {

// Bounds how many lines of each kind are written in a second, and counts those
// that were left out. Pure.
class EventRate {
 public:
  using Counts = std::map<std::string, std::uint64_t, std::less<>>;

  explicit EventRate(std::uint64_t max_per_second)
      : max_per_second(max_per_second) {}

  // True if a line of this kind may be written now.
  bool Admit(std::string_view event, SteadyTime now);

  // The lines left out by kind, once the second in which that happened is
  // over; else nothing.
  Counts TakeLeftOut(SteadyTime now);

 private:
  void BeginSecond(SteadyTime now);

  std::uint64_t max_per_second;
  SteadyTime second_start{};
  Counts seen;
  Counts left_out;
};

}  // namespace sumac

#endif  // LIBRARIES_LOG_EVENT_RATE_H_
