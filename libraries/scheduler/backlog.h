// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_BACKLOG_H_
#define LIBRARIES_SCHEDULER_BACKLOG_H_

#include <cstddef>
#include <cstdint>

#include "libraries/base/time.h"

namespace sumac::scheduler {

// How many jobs may wait for a start.
struct BacklogSettings {
  // The leader takes no more jobs than can be begun within this at the best
  // rate of late. Callers' jobs take some three seconds, and one that takes
  // three times as long is worth nothing to its caller. The bound is also how
  // long a backlog goes on after a rush.
  Milliseconds longest_wait{10'000};
  // It takes so many in any case: the first seconds of a rush, in which
  // instances still move to a pool and the best rate is not known yet. A leader
  // of a third of a core begins them within some five seconds.
  std::size_t always_accepted = 500;
  // What is left of the best rate after a second in which it was not reached: a
  // half after 14 s, some turns of a queue's demand.
  double retained_per_second = 0.95;
  // When a refused caller should come back, at the earliest and at the latest.
  Milliseconds shortest_retry{1'000};
  Milliseconds longest_retry{4'000};
};

// The jobs that wait for a start now.
struct WaitingCounts {
  std::size_t of_queue = 0;
  std::size_t of_all = 0;
  // Queues of which some job waits.
  std::size_t queues = 0;
};

// Answers a rush that brings more jobs than can be begun for many seconds: what
// would wait beyond what can be worked off is refused at once, since each such
// job would be done late and stand in the way of those that come after the
// rush. A queue that has less than its even share of the backlog is not refused
// for the others. A leader of 1,100 workers that took all had up to 3,965 jobs
// with nothing running 14 s after the last one came, and none with a bound of
// 6 s (seven simulated days). Pure.
class Backlog {
 public:
  explicit Backlog(BacklogSettings settings = {}) : settings(settings) {}

  // Takes in that a job has finished.
  void RecordFinished(SteadyTime now);

  // True if one more job of a queue would wait too long.
  bool IsFull(const WaitingCounts& waiting) const;

  // When a caller who is refused now should come back: once those that wait are
  // begun.
  Milliseconds RetryAfter(const WaitingCounts& waiting) const;

 private:
  // The jobs a second that can be begun, by what finished.
  double BestRate() const;

  BacklogSettings settings;
  // The second that is being counted, and the jobs that finished in it.
  SteadyTime second_began{};
  std::uint64_t finished_in_second = 0;
  // The most that finished in a second of late, jobs a second.
  double best = 0;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_BACKLOG_H_
