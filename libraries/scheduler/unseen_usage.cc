// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/unseen_usage.h"

#include <algorithm>

namespace sumac::scheduler {
namespace {

// How long a run of a job that has ended can go on at most: until its worker's
// lease is over, with a margin for clocks that differ.
constexpr Milliseconds kLongestRunAfterEnd{15'000};
// How far the clock of an earlier leader may have been ahead of the time of the
// last command.
constexpr Milliseconds kClockMargin{10'000};

// Adds what the tasks of a step need that may run unseen.
void AddStep(const jobs::Job& job,
             const jobs::StepId& step,
             const UnseenUsage::IsKnown& is_known,
             jobs::Resources& usage) {
  const jobs::StepSpec& spec = job.spec.steps[step.step];
  for (std::uint32_t index = 0; index < spec.count; ++index) {
    const jobs::TaskId task{step, index};
    const bool may_run =
        !is_known(task) && (!job.is_active() || !job.ProgressOf(task).is_done);
    if (may_run) {
      usage.Add(spec.need);
    }
  }
}

void AddJob(const jobs::Job& job,
            WallTime due_by,
            const UnseenUsage::IsKnown& is_known,
            jobs::Resources& usage) {
  for (std::uint32_t occurrence = 0;
       occurrence < job.spec.occurrences() && job.DueAt(occurrence) <= due_by;
       ++occurrence) {
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
      if (!job.is_active() || job.IsStepReady(occurrence, step)) {
        AddStep(job, {job.id, occurrence, step}, is_known, usage);
      }
    }
  }
}

}  // namespace

UnseenUsage::UnseenUsage(const jobs::JobsState& state,
                         std::uint64_t first_own_sequence)
    : state(state),
      first_own_sequence(first_own_sequence),
      due_by(state.record().swept_at + kClockMargin) {
  for (const auto& [id, job] : state.record().jobs) {
    const bool may_run =
        !job.customer.value().empty() &&
        (job.state == jobs::JobState::kFailed ||
         job.state == jobs::JobState::kCancelled) &&
        job.finished_at + kLongestRunAfterEnd >= state.record().swept_at;
    if (may_run) {
      this->ended_jobs.push_back(id);
    }
  }
}

std::map<CustomerName, jobs::Resources> UnseenUsage::Measure(
    const jobs::Resources& capacity,
    const MayRunUnseen& may_run_unseen,
    const IsKnown& is_known) const {
  std::map<CustomerName, jobs::Resources> usage;
  const auto add = [&](const jobs::Job& job) {
    if (!job.customer.value().empty() && may_run_unseen(job)) {
      AddJob(job, this->due_by, is_known, usage[job.customer]);
    }
  };
  for (const auto& [sequence, job] : this->state.active_jobs()) {
    if (sequence >= this->first_own_sequence) {
      break;
    }
    add(*job);
  }
  for (const JobId& id : this->ended_jobs) {
    if (const jobs::Job* job = this->state.FindJob(id)) {
      add(*job);
    }
  }
  for (auto& [customer, used] : usage) {
    used.millicores = std::min(used.millicores, capacity.millicores);
    used.memory_mb = std::min(used.memory_mb, capacity.memory_mb);
    used.accelerators = std::min(used.accelerators, capacity.accelerators);
  }
  return usage;
}

}  // namespace sumac::scheduler
