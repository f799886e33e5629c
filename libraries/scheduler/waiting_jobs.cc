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

// Adds new jobs, and periodically all active ones: a job whose change was
// missed is delayed by at most that interval.
void WaitingJobs::AddCandidates(SteadyTime now) {
  if (now - this->last_full_scan >= this->full_scan_interval) {
    this->last_full_scan = now;
    this->next_job = 0;
    // Learned run times and declarations may have changed.
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

std::vector<DueOccurrence> WaitingJobs::Order(
    SteadyTime now,
    WallTime wall_now,
    const std::set<CustomerName>& held) {
  this->AddCandidates(now);
  std::vector<std::pair<Urgency, DueOccurrence>> order;
  order.reserve(this->waiting.size());
  this->counts.clear();
  this->held_count = 0;
  this->lateness = {};
  this->by_queue.clear();
  ActiveJobs active(this->state);
  for (auto& [sequence, known] : this->waiting) {
    const jobs::Job* job = active.Find(sequence);
    if (job == nullptr) {
      continue;
    }
    const bool is_held =
        job->is_beyond_share || (!held.empty() && held.contains(job->customer));
    if (is_held) {
      ++this->held_count;
    } else {
      ++this->counts[job->queue];
    }
    for (std::uint32_t occurrence = 0; occurrence < job->spec.occurrences() &&
                                       job->DueAt(occurrence) <= wall_now;
         ++occurrence) {
      const Urgency urgency =
          this->BasisOf(*job, occurrence, known).At(wall_now);
      if (!is_held) {
        this->CountOccurrence(job->queue, urgency);
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

void WaitingJobs::CountOccurrence(const QueueName& queue,
                                  const Urgency& urgency) {
  this->lateness.Count(urgency.lateness);
  if (urgency.lateness != Lateness::kInTime) {
    ++this->by_queue[queue].late;
  } else if (urgency.is_new) {
    ++this->by_queue[queue].new_in_time;
  }
}

WaitingCounts WaitingJobs::CountFor(const QueueName& queue) const {
  const auto found = this->counts.find(queue);
  return {.of_queue = found == this->counts.end() ? 0 : found->second,
          .of_all = this->waiting.size() -
                    std::min(this->waiting.size(), this->held_count),
          .queues = this->counts.size()};
}

}  // namespace sumac::scheduler
