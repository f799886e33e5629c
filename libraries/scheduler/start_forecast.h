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
  // Jobs that can still be in time and have not begun.
  std::size_t new_in_time = 0;
  std::size_t late = 0;
};

struct StartForecastSettings {
  // The time over which the rate of begun jobs is measured.
  Milliseconds window{1'000};
  // The number of waiting jobs of a queue that are accepted at any rate, since
  // a queue that was idle has no rate yet.
  std::size_t always_accepted = 16;
  // The share of its spare time that a job may be expected to wait. The rest is
  // a margin for a falling rate.
  double used_share = 0.5;
  // The earliest and latest time after which a refused caller should retry.
  Milliseconds shortest_retry{1'000};
  Milliseconds longest_retry{4'000};
};

// Predicts how long a new job of a queue waits until it begins, from how many
// jobs wait before it and how many begin a second. Under more load than can be
// started, a job that could not be in time behind the waiting ones is refused
// at once. Whatever limits the rate, the leader's processor time or the
// workers' room, is reflected in it. Pure.
class StartForecast {
 public:
  explicit StartForecast(StartForecastSettings settings = {})
      : settings(settings) {}

  // Records that a job of the queue has begun.
  void RecordFirstStart(const QueueName& queue, SteadyTime now);
  // Records that a job of the queue was accepted. It counts as waiting until
  // the next UpdateWaiting.
  void RecordAccepted(const QueueName& queue);
  // Scales the measured rate of a queue, of which only this share is possible
  // from now on.
  void ScaleRate(const QueueName& queue, double left);
  // Replaces the numbers of waiting jobs.
  void UpdateWaiting(const std::map<QueueName, QueueWaiting>& waiting);

  // Returns true if one more job of the queue, with this much time to spare,
  // would begin too late. A job that is already late is accepted while almost
  // none wait. `growth` is how many times as many jobs as now can begin a
  // second once the instances that are moving to the queue's pool are there.
  bool IsTooLate(const QueueName& queue,
                 Milliseconds to_spare,
                 SteadyTime now,
                 double growth = 1);

  // Returns when a caller that is refused now should retry. Callers get
  // separate times, spaced as jobs begin, so that they don't return all at
  // once.
  Milliseconds RetryAfter(const QueueName& queue, SteadyTime now);

 private:
  struct Queue {
    // When the queue's jobs began, within the window.
    std::deque<SteadyTime> begun;
    QueueWaiting waiting;
    // The latest retry time that was given to a refused caller.
    SteadyTime last_retry_at{};
  };

  void DropOld(Queue& queue, SteadyTime now) const;
  // Returns the number of jobs that began a second recently, at least 1.
  double RateOf(Queue& queue, SteadyTime now) const;

  StartForecastSettings settings;
  std::map<QueueName, Queue> queues;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_START_FORECAST_H_
