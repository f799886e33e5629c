// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_BACKLOG_H_
#define LIBRARIES_SCHEDULER_BACKLOG_H_

#include <cstddef>
#include <cstdint>

#include "libraries/base/time.h"

namespace sumac::scheduler {

// How many jobs may wait for a start.
struct BacklogSettings {
  // The leader accepts only as many jobs as can be begun within this time at
  // the best recent rate. Callers' jobs take some three seconds, and one that
  // takes three times as long is worth nothing to its caller. The limit is also
  // how long a backlog lasts after a load spike.
  Milliseconds longest_wait{10'000};
  // The number of waiting jobs that are accepted at any rate. It covers the
  // first seconds of a load spike, in which instances still move to a pool and
  // the best rate is not known yet. A leader with a third of a core begins them
  // within some five seconds.
  std::size_t always_accepted = 500;
  // The factor by which the best rate decays for each second in which it is not
  // reached: to one half after 14 s, which spans a few cycles of a queue's
  // demand.
  double retained_per_second = 0.95;
  // How long jobs keep finishing, after a loss of capacity, that had begun with
  // more of it.
  Milliseconds longest_job{3'000};
  // The earliest and latest time after which a refused caller should retry.
  Milliseconds shortest_retry{1'000};
  Milliseconds longest_retry{4'000};
};

// The jobs that wait for a start now.
struct WaitingCounts {
  std::size_t of_queue = 0;
  std::size_t of_all = 0;
  // The number of queues with waiting jobs.
  std::size_t queues = 0;
};

// Limits the backlog when more jobs arrive than can be begun for many seconds.
// Jobs beyond what can be worked off are refused at once, since each of them
// would be done late and delay the jobs that arrive after the load spike. A
// queue with less than its even share of the backlog is not refused because of
// the others. Without a limit, a leader of 1,100 workers had up to 3,965 jobs
// with nothing running 14 s after the last one arrived, and none with a limit
// of 6 s (seven simulated days). Pure.
class Backlog {
 public:
  explicit Backlog(BacklogSettings settings = {}) : settings(settings) {}

  // Records that a job has finished.
  void RecordFinished(SteadyTime now);

  // Scales the best rate, of which only this share is possible from now on.
  void ScaleRate(double left, SteadyTime now);

  // Returns true if one more job of a queue would wait too long.
  bool IsFull(const WaitingCounts& waiting) const;

  // Returns when a caller that is refused now should retry: once the waiting
  // jobs have begun.
  Milliseconds RetryAfter(const WaitingCounts& waiting) const;

 private:
  // Returns the number of jobs a second that can be begun, derived from the
  // jobs that finished.
  double BestRate() const;
  // Returns the rate in the second that is being counted, without what only the
  // capacity before a loss made possible.
  double CurrentRate() const;

  BacklogSettings settings;
  // The start of the second that is being counted, and the jobs finished in it.
  SteadyTime second_began{};
  std::uint64_t finished_in_second = 0;
  // The highest recent rate of finished jobs, in jobs a second.
  double best = 0;
  // The share of the finished jobs that counts, for seconds that begin before
  // `scaled_until`.
  double scale = 1;
  SteadyTime scaled_until{};
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_BACKLOG_H_
