// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/waiting_jobs.h"

#include <algorithm>
#include <utility>

#include "libraries/scheduler/urgency.h"

namespace sumac::scheduler {

void WaitingJobs::Reconsider(const JobId& id) {
  const jobs::Job* job = this->state.FindJob(id);
  if (job != nullptr && job->is_active()) {
    this->waiting[job->sequence].clear();
  }
}

// Adds the jobs that are new, and all active ones now and then: a job of which
// a change went unnoticed waits for that long at most.
void WaitingJobs::AddCandidates(SteadyTime now) {
  if (now - this->last_full_scan >= this->full_scan_interval) {
    this->last_full_scan = now;
    this->next_job = 0;
    // Run times are learned and declarations change.
    for (auto& [sequence, known] : this->waiting) {
      known.clear();
    }
  }
  const auto& active = this->state.active_jobs();
  for (auto item = active.lower_bound(this->next_job); item != active.end();
       ++item) {
    this->waiting.try_emplace(this->waiting.end(), item->first);
    this->next_job = item->first + 1;
  }
}

const UrgencyBasis& WaitingJobs::BasisOf(
    const jobs::Job& job,
    std::uint32_t occurrence,
    std::vector<UrgencyBasis>& known) const {
  while (known.size() <= occurrence) {
    known.push_back(
        UrgencyBasisOf(job, static_cast<std::uint32_t>(known.size()),
                       this->state.declaration().FindQueue(job.queue),
                       this->run_times, this->orders_by_slack));
  }
  return known[occurrence];
}

std::vector<DueOccurrence> WaitingJobs::Order(SteadyTime now,
                                              WallTime wall_now) {
  this->AddCandidates(now);
  std::vector<std::pair<Urgency, DueOccurrence>> order;
  order.reserve(this->waiting.size());
  this->counts.clear();
  this->lateness = {};
  this->by_queue.clear();
  ActiveJobs active(this->state);
  for (auto& [sequence, known] : this->waiting) {
    const jobs::Job* job = active.Find(sequence);
    if (job == nullptr) {
      continue;
    }
    ++this->counts[job->queue];
    for (std::uint32_t occurrence = 0; occurrence < job->spec.occurrences() &&
                                       job->DueAt(occurrence) <= wall_now;
         ++occurrence) {
      const Urgency urgency =
          this->BasisOf(*job, occurrence, known).At(wall_now);
      this->lateness.Count(urgency.lateness);
      if (urgency.lateness != Lateness::kInTime) {
        ++this->by_queue[job->queue].late;
      } else if (urgency.is_new) {
        ++this->by_queue[job->queue].new_in_time;
      }
      order.emplace_back(
          urgency,
          DueOccurrence{job, occurrence, urgency.lateness, urgency.is_new});
    }
  }
  std::sort(order.begin(), order.end(),
            [](const auto& left, const auto& right) {
              return left.first < right.first;
            });
  std::vector<DueOccurrence> due;
  due.reserve(order.size());
  for (const auto& [urgency, occurrence] : order) {
    due.push_back(occurrence);
  }
  return due;
}

WaitingCounts WaitingJobs::CountFor(const QueueName& queue) const {
  const auto found = this->counts.find(queue);
  return {.of_queue = found == this->counts.end() ? 0 : found->second,
          .of_all = this->waiting.size(),
          .queues = this->counts.size()};
}

}  // namespace sumac::scheduler
