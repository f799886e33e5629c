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
  // How long a refused job is remembered; longer than callers retry.
  Milliseconds kept{30'000};
  // The maximum number of remembered jobs; bounds memory to some 2 MB.
  std::size_t max_entries = 20'000;
};

// Remembers when callers that were refused asked first, since the time in which
// a job should be done is counted from then. Otherwise a caller that retries
// would appear to have all of its time left, and would take the place of one
// that does. The memory is not shared with other leaders. Pure.
class RefusedCallers {
 public:
  explicit RefusedCallers(RefusedCallersSettings settings = {})
      : settings(settings) {}

  // Records that a job was refused.
  void RecordRefusal(const JobId& job, SteadyTime now);

  // Returns how long the job's caller has been trying; 0 if the job was not
  // refused before.
  Milliseconds WaitingTimeOf(const JobId& job, SteadyTime now) const;

 private:
  // Removes old entries and makes room for one more.
  void DropOld(SteadyTime now);

  RefusedCallersSettings settings;
  std::unordered_map<std::string, SteadyTime> first_asked;
  // The same entries in the order of time.
  std::deque<std::pair<SteadyTime, std::string>> order;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_REFUSED_CALLERS_H_
