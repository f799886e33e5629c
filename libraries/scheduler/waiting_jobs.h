// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_WAITING_JOBS_H_
#define LIBRARIES_SCHEDULER_WAITING_JOBS_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/scheduler/backlog.h"
#include "libraries/scheduler/run_times.h"
#include "libraries/scheduler/start_forecast.h"
#include "libraries/scheduler/urgency.h"

namespace sumac::scheduler {

// One occurrence of a job that may have something to start.
struct DueOccurrence {
  const jobs::Job* job = nullptr;
  std::uint32_t occurrence = 0;
  // Whether it could still be in time when it was ordered.
  Lateness lateness = Lateness::kInTime;
  // No task of it had begun.
  bool is_new = false;
};

// The active jobs of which a task may have to be started, and their order.
// Answers the load of many long-running jobs beside a rush of short ones: a job
// leaves once all that can start has a place, and comes back when one of its
// runs is gone or an end of it is on record, so that a pass costs by what waits
// and not by all that is active (with 350 workers and 136 long-running jobs a
// third less processor time for the leader). Pure.
class WaitingJobs {
 public:
  // All active jobs are looked at every `full_scan_interval`, and in between
  // only those of which something changed.
  WaitingJobs(const jobs::JobsState& state,
              const RunTimes& run_times,
              bool orders_by_slack,
              Milliseconds full_scan_interval)
      : state(state),
        run_times(run_times),
        orders_by_slack(orders_by_slack),
        full_scan_interval(full_scan_interval) {}

  // Takes in that a run of the job is gone or an end of it is on record.
  void Reconsider(const JobId& id);

  // The occurrences that are due, of the jobs that wait or are new, the most
  // urgent first.
  std::vector<DueOccurrence> Order(SteadyTime now, WallTime wall_now);

  // Takes in which of the ordered jobs, by their numbers, still lack a place
  // for some task; the others wait no longer.
  template <typename Numbers = std::set<std::uint64_t>>
  void RemovePlaced(const Numbers& unplaced, WallTime wall_now) {
    ActiveJobs active(this->state);
    std::erase_if(this->waiting, [&](const auto& item) {
      const jobs::Job* job = active.Find(item.first);
      return job == nullptr ||
             (AreAllDue(*job, wall_now) && !unplaced.contains(item.first));
    });
  }

  std::size_t size() const { return this->waiting.size(); }
  // How many jobs waited when they were last ordered, as seen from one queue.
  WaitingCounts CountFor(const QueueName& queue) const;
  // How late the occurrences were that were last ordered.
  const LatenessCounts& lateness_counts() const { return this->lateness; }
  // The jobs that waited then, by queue; without those that are never late.
  const std::map<QueueName, QueueWaiting>& waiting_by_queue() const {
    return this->by_queue;
  }

 private:
  // Looks active jobs up by their numbers, in rising order, at the cost of one
  // walk.
  class ActiveJobs {
   public:
    explicit ActiveJobs(const jobs::JobsState& state)
        : next(state.active_jobs().begin()), end(state.active_jobs().end()) {}

    // Nothing if the job is not active.
    const jobs::Job* Find(std::uint64_t sequence) {
      while (this->next != this->end && this->next->first < sequence) {
        ++this->next;
      }
      return this->next != this->end && this->next->first == sequence
                 ? this->next->second
                 : nullptr;
    }

   private:
    std::map<std::uint64_t, const jobs::Job*>::const_iterator next;
    std::map<std::uint64_t, const jobs::Job*>::const_iterator end;
  };

  // True if each occurrence of the job is due.
  static bool AreAllDue(const jobs::Job& job, WallTime wall_now) {
    return job.DueAt(job.spec.occurrences() - 1) <= wall_now;
  }
  // What is known of an occurrence's urgency; works it out if it is not.
  const UrgencyBasis& BasisOf(const jobs::Job& job,
                              std::uint32_t occurrence,
                              std::vector<UrgencyBasis>& known) const;
  void AddCandidates(SteadyTime now);

  const jobs::JobsState& state;
  const RunTimes& run_times;
  bool orders_by_slack;
  Milliseconds full_scan_interval;
  // By the jobs' numbers, with the urgency of each occurrence that was due;
  // none where it has to be worked out (again).
  std::map<std::uint64_t, std::vector<UrgencyBasis>> waiting;
  // Jobs that waited when they were last ordered, by queue.
  std::map<QueueName, std::size_t> counts;
  // Their occurrences that were due, by lateness.
  LatenessCounts lateness;
  std::map<QueueName, QueueWaiting> by_queue;
  // Jobs numbered from here on have not been looked at.
  std::uint64_t next_job = 0;
  SteadyTime last_full_scan{};
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_WAITING_JOBS_H_
