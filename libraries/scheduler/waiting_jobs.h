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

// One occurrence of a job that may have tasks to start.
struct DueOccurrence {
  const jobs::Job* job = nullptr;
  std::uint32_t occurrence = 0;
  // Its lateness when the occurrences were ordered.
  Lateness lateness = Lateness::kInTime;
  // Whether none of its tasks had begun.
  bool is_new = false;
};

// The active jobs that may have tasks to start, in their order of urgency.
// Handles many long-running jobs beside a load spike of short ones: a job
// leaves the set once every task that can start is placed, and returns when one
// of its runs is gone or the end of a run is committed. The cost of a planning
// pass thus depends on the waiting jobs and not on all active ones; with 350
// workers and 136 long-running jobs the leader uses a third less processor
// time. Pure.
class WaitingJobs {
 public:
  // All active jobs are considered once in every `full_scan_interval`, and in
  // between only the jobs that changed.
  WaitingJobs(const jobs::JobsState& state,
              const RunTimes& run_times,
              bool orders_by_slack,
              Milliseconds full_scan_interval)
      : state(state),
        run_times(run_times),
        orders_by_slack(orders_by_slack),
        full_scan_interval(full_scan_interval) {}

  // Adds the job again after one of its runs is gone or the end of a run is
  // committed.
  void Reconsider(const JobId& id);

  // Returns the due occurrences of the waiting and new jobs, the most urgent
  // first. The jobs of the customers in `held`, which their quota keeps
  // waiting, and those beyond a customer's share delay no others and are left
  // out of the counts.
  std::vector<DueOccurrence> Order(SteadyTime now,
                                   WallTime wall_now,
                                   const std::set<CustomerName>& held = {});

  // Removes the ordered jobs that no longer wait. `unplaced` holds the numbers
  // of those that still have a task without a place.
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
  // Returns how many jobs waited when they were last ordered, from the view of
  // one queue.
  WaitingCounts CountFor(const QueueName& queue) const;
  // Returns the lateness of the occurrences that were last ordered.
  const LatenessCounts& lateness_counts() const { return this->lateness; }
  // Returns the jobs that waited when they were last ordered, by queue, without
  // those that are never late.
  const std::map<QueueName, QueueWaiting>& waiting_by_queue() const {
    return this->by_queue;
  }

 private:
  // Finds active jobs by ascending numbers in a single traversal.
  class ActiveJobs {
   public:
    explicit ActiveJobs(const jobs::JobsState& state)
        : next(state.active_jobs().begin()), end(state.active_jobs().end()) {}

    // Returns null if the job is not active.
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

  // Returns true if every occurrence of the job is due.
  static bool AreAllDue(const jobs::Job& job, WallTime wall_now) {
    return job.DueAt(job.spec.occurrences() - 1) <= wall_now;
  }
  // Returns the basis of an occurrence's urgency, computing it if it is not
  // cached in `known`.
  const UrgencyBasis& BasisOf(const jobs::Job& job,
                              std::uint32_t occurrence,
                              std::vector<UrgencyBasis>& known) const;
  void AddCandidates(SteadyTime now);
  void CountOccurrence(const QueueName& queue, const Urgency& urgency);

  const jobs::JobsState& state;
  const RunTimes& run_times;
  bool orders_by_slack;
  Milliseconds full_scan_interval;
  // The waiting jobs by number, with the cached basis of each due occurrence;
  // empty where it must be computed (again).
  std::map<std::uint64_t, std::vector<UrgencyBasis>> waiting;
  // The number of jobs that waited when they were last ordered, by queue.
  std::map<QueueName, std::size_t> counts;
  // The number of waiting jobs that are left out of the counts.
  std::size_t held_count = 0;
  // The lateness of their due occurrences.
  LatenessCounts lateness;
  std::map<QueueName, QueueWaiting> by_queue;
  // Jobs with this number and above have not been considered yet.
  std::uint64_t next_job = 0;
  SteadyTime last_full_scan{};
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_WAITING_JOBS_H_
