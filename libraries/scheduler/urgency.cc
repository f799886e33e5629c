// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/urgency.h"

namespace sumac::scheduler {
namespace {

// A late job is still worth a little until this many times its objective has
// passed.
constexpr int kWorthlessAfter = 3;
// The usual overhead on top of a job's run times on a busy leader: starts and
// reports that wait, and the commit of the ends of its runs.
constexpr Milliseconds kUsualDelay{400};

// The time within which a job should be done, counted from when it was due.
Milliseconds ObjectiveOf(const jobs::QueueDeclaration& queue,
                         Milliseconds chain) {
  return Milliseconds(static_cast<std::int64_t>(
             static_cast<double>(chain.count()) * queue.stretch)) +
         queue.latency_target;
}

}  // namespace

void LatenessCounts::Count(Lateness lateness) {
  switch (lateness) {
    case Lateness::kInTime:
      ++this->in_time;
      break;
    case Lateness::kLate:
      ++this->late;
      break;
    case Lateness::kWorthless:
      ++this->worthless;
      break;
  }
}

LatenessCounts LatenessCounts::operator-(const LatenessCounts& other) const {
  return {.in_time = this->in_time - other.in_time,
          .late = this->late - other.late,
          .worthless = this->worthless - other.worthless};
}

Urgency UrgencyBasis::At(WallTime wall_now) const {
  Urgency urgency{.is_beyond_share = this->is_beyond_share,
                  .priority = this->priority,
                  .sequence = this->sequence};
  if (this->is_never_late) {
    return urgency;
  }
  if (wall_now > this->late_from) {
    urgency.lateness = wall_now > this->worthless_from ? Lateness::kWorthless
                                                       : Lateness::kLate;
    return urgency;
  }
  const Milliseconds slack = this->late_from - wall_now;
  urgency.is_new = this->is_new;
  urgency.rank = this->is_new ? -slack.count() : slack.count();
  return urgency;
}

std::optional<Milliseconds> TimeToSpare(const jobs::QueueDeclaration& queue,
                                        const jobs::JobSpec& spec,
                                        const RunTimes& run_times) {
  if (spec.repeats > 0 || spec.has_long_running_step()) {
    return std::nullopt;
  }
  const Milliseconds chain = run_times.WholeChain(queue.name, spec);
  return ObjectiveOf(queue, chain) - chain - kUsualDelay;
}

UrgencyBasis UrgencyBasisOf(const jobs::Job& job,
                            std::uint32_t occurrence,
                            const jobs::QueueDeclaration* queue,
                            const RunTimes& run_times,
                            bool orders_by_slack) {
  UrgencyBasis basis{.is_beyond_share = job.is_beyond_share,
                     .sequence = job.sequence};
  if (queue == nullptr) {
    return basis;
  }
  basis.priority = queue->priority;
  if (!orders_by_slack || job.has_long_running_step()) {
    return basis;
  }
  const WallTime due = job.DueAt(occurrence);
  const Milliseconds objective =
      ObjectiveOf(*queue, run_times.WholeChain(job.queue, job.spec));
  const Milliseconds left = run_times.RemainingChain(job, occurrence);
  basis.is_never_late = false;
  basis.is_new = !job.has_begun && job.occurrences.empty();
  basis.in_time_until = due + objective;
  basis.late_from = due + objective - left - kUsualDelay;
  basis.worthless_from = due + kWorthlessAfter * objective - left;
  return basis;
}

}  // namespace sumac::scheduler
