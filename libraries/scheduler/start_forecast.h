// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_START_FORECAST_H_
#define LIBRARIES_SCHEDULER_START_FORECAST_H_

#include <cstddef>
#include <deque>
#include <map>

#include "libraries/base/names.h"
#include "libraries/base/time.h"

namespace sumac::scheduler {

// The jobs of a queue that wait for a start.
struct QueueWaiting {
  // Those that can still be in time and have not begun.
  std::size_t new_in_time = 0;
  std::size_t late = 0;
};

struct StartForecastSettings {
  // The rate at which jobs are begun is read over this time.
  Milliseconds window{1'000};
  // So many jobs of a queue may wait in any case: a queue that was idle has no
  // rate yet.
  std::size_t always_accepted = 16;
  // How much of the time that a job can spare it may be expected to wait. The
  // rest is for a rate that falls.
  double used_share = 0.5;
  // When a refused caller should come back, at the earliest and at the latest.
  Milliseconds shortest_retry{1'000};
  Milliseconds longest_retry{4'000};
};

// Predicts how long a new job of a queue waits until it is begun, from how many
// wait before it and how many a second are begun. Answers a rush of more jobs
// than can be begun: a job that could no longer be in time behind those that
// wait is refused at once. Whatever limits the rate, the leader's time or the
// workers' room, shows in it. Pure.
class StartForecast {
 public:
  explicit StartForecast(StartForecastSettings settings = {})
      : settings(settings) {}

  // Takes in that a job of the queue has been begun.
  void RecordFirstStart(const QueueName& queue, SteadyTime now);
  // Takes in that a job of the queue was taken; it counts as waiting until the
  // next UpdateWaiting.
  void RecordAccepted(const QueueName& queue);
  // Takes in what waits now.
  void UpdateWaiting(const std::map<QueueName, QueueWaiting>& waiting);

  // True if one more job of the queue, which can spare this much time, would
  // begin too late. One that is late already is taken while next to nothing
  // waits.
  bool IsTooLate(const QueueName& queue, Milliseconds to_spare, SteadyTime now);

  // When a caller who is refused now should come back. Each gets a turn of its
  // own, as far apart as jobs are begun, so that they don't come all at once.
  Milliseconds RetryAfter(const QueueName& queue, SteadyTime now);

 private:
  struct Queue {
    // When its jobs were begun, over the window.
    std::deque<SteadyTime> begun;
    QueueWaiting waiting;
    // When the last of the refused callers was told to come back.
    SteadyTime last_retry_at{};
  };

  void DropOld(Queue& queue, SteadyTime now) const;
  // The jobs a second that were begun of late, 1 at least.
  double RateOf(Queue& queue, SteadyTime now) const;

  StartForecastSettings settings;
  std::map<QueueName, Queue> queues;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_START_FORECAST_H_
