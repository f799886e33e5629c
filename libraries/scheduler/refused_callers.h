// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_REFUSED_CALLERS_H_
#define LIBRARIES_SCHEDULER_REFUSED_CALLERS_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "libraries/base/names.h"
#include "libraries/base/time.h"

namespace sumac::scheduler {

struct RefusedCallersSettings {
  // Longer than callers try.
  Milliseconds kept{30'000};
  // Bounds the memory: some 2 MB.
  std::size_t max_entries = 20'000;
};

// Remembers when callers that were refused asked first, since the time in which
// a job is to be done runs from then. Without it a caller who comes back passes
// for one who has all his time left, and takes the place of one who has.
// Another leader knows nothing of them. Pure.
class RefusedCallers {
 public:
  explicit RefusedCallers(RefusedCallersSettings settings = {})
      : settings(settings) {}

  // Takes in that a job was refused.
  void RecordRefusal(const JobId& job, SteadyTime now);

  // For how long the job's caller has been trying; 0 if it was not refused
  // before.
  Milliseconds WaitingTimeOf(const JobId& job, SteadyTime now) const;

 private:
  // Makes room for one more.
  void DropOld(SteadyTime now);

  RefusedCallersSettings settings;
  std::unordered_map<std::string, SteadyTime> first_asked;
  // The same in the order of time.
  std::deque<std::pair<SteadyTime, std::string>> order;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_REFUSED_CALLERS_H_
