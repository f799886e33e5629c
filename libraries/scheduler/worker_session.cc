// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/worker_session.h"

#include <algorithm>
#include <utility>

namespace sumac::scheduler {
namespace {

constexpr std::int64_t kPermille = 1'000;

}  // namespace

WorkerSession::WorkerSession(const jobs::Worker& worker,
                             LeaseSettings settings,
                             SteadyTime now)
    : last_answer(now),
      description(worker),
      settings(settings),
      session_began(now) {
  // Any lease that an earlier leader granted ends within one lease length from
  // now.
  const Milliseconds stretched =
      settings.length * kPermille / (kPermille - settings.slow_clock_permille);
  this->lease_bound = now + stretched + settings.margin;
}

Milliseconds WorkerSession::RenewalWait(std::size_t workers) const {
  const bool is_shared = this->serving_count > 0 && this->filler_count > 0;
  if (is_shared) {
    return this->settings.shared_renewal_wait;
  }
  const Milliseconds shortest = this->known_runs.empty()
                                    ? this->settings.idle_renewal_wait
                                    : this->settings.renewal_wait;
  constexpr std::int64_t kSecond = 1'000;
  const Milliseconds paced(static_cast<std::int64_t>(workers) * kSecond /
                           this->settings.max_renewals_per_second);
  // Some platforms allow only leases that are shorter than usual.
  const Milliseconds longest =
      std::min(this->settings.max_renewal_wait, this->settings.length / 3);
  return std::max(shortest, std::min(paced, longest));
}

RenewOrder WorkerSession::NextRenewal(LeaderEpoch epoch,
                                      std::size_t workers,
                                      SteadyTime now) {
  RenewOrder order{.worker = this->description.id,
                   .address = this->description.address,
                   .epoch = epoch,
                   .acknowledged_ends = this->acknowledged_ends};
  // The first renewal carries no lease: it only establishes the fencing token
  // and reads the worker's clock.
  // NOTE: While the worker does not answer, its lease is left to run out: an
  // unanswered renewal may still arrive, and each would postpone the time from
  // which the worker's tasks may run elsewhere.
  // A worker whose lease ran out while no call was sent to it is first called
  // without a lease, so that its silence shows within one call and not after
  // another lease.
  const bool has_run_out =
      this->IsLeaseOver(now) && this->last_answer < this->lease_bound;
  if (this->clock && this->has_answered && this->failures == 0 &&
      !has_run_out) {
    order.lease_end = this->GrantLease(now);
    const bool waits_here = workers > this->settings.max_waiting;
    (waits_here ? order.pause : order.wait) = this->RenewalWait(workers);
  }
  return order;
}

void WorkerSession::HandleEndsCommitted(std::uint64_t after) {
  this->uncommitted_ends.erase(after);
  this->acknowledged_ends = this->uncommitted_ends.empty()
                                ? this->seen_ends
                                : *this->uncommitted_ends.begin();
}

RenewOrder WorkerSession::NextReportRequest(LeaderEpoch epoch) const {
  return RenewOrder{.worker = this->description.id,
                    .address = this->description.address,
                    .epoch = epoch,
                    .acknowledged_ends = this->acknowledged_ends};
}

WorkerTime WorkerSession::ClockAt(SteadyTime now) const {
  const auto [reading, read_at] = *this->clock;
  const std::int64_t passed = (now - read_at).count() *
                              (kPermille - this->settings.slow_clock_permille) /
                              kPermille;
  return WorkerTime(reading.value() + passed);
}

WorkerTime WorkerSession::GrantLease(SteadyTime now) {
  const auto [reading, read_at] = *this->clock;
  const WorkerTime lease_end(this->ClockAt(now).value() +
                             this->settings.length.count());
  // The worker's clock showed `reading` at `read_at` or before, and may run
  // slow from then on.
  const Milliseconds longest((lease_end.value() - reading.value()) * kPermille /
                             (kPermille - this->settings.slow_clock_permille));
  this->lease_bound =
      std::max(this->lease_bound, read_at + longest + this->settings.margin);
  return lease_end;
}

void WorkerSession::RecordClock(WorkerTime reading, SteadyTime now) {
  // An answer that was read late gives a looser bound than the reading before
  // it.
  if (!this->clock || reading >= this->ClockAt(now)) {
    this->clock = {reading, now};
  }
}

void WorkerSession::RecordReport(WorkerTime report_clock, SteadyTime now) {
  this->last_report = report_clock;
  ++this->reports;
  // A slow clock advances by less than the time that has passed.
  const auto [reading, read_at] = *this->clock;
  const Milliseconds since(report_clock.value() - reading.value());
  const Milliseconds longest =
      since > Milliseconds(0)
          ? since * kPermille / (kPermille - this->settings.slow_clock_permille)
          : since;
  this->last_report_made_at = std::min(now, read_at + longest);
}

void WorkerSession::RecordAnswer(SteadyTime now) {
  this->has_answered = true;
  this->failures = 0;
  this->timed_out = false;
  this->last_answer = now;
}

bool WorkerSession::IsLeaseOver(SteadyTime now) const {
  // NOTE: A refused connection proves nothing: a network partition may refuse
  // connections to a worker that is still running.
  return now >= this->lease_bound;
}

bool WorkerSession::IsExpired(SteadyTime now) const {
  return this->IsLeaseOver(now) && this->last_failure >= this->lease_bound;
}

bool WorkerSession::IsUsable(SteadyTime now) const {
  return this->has_answered && this->failures == 0 &&
         !this->description.is_draining && this->clock.has_value() &&
         now >= this->full_until && !this->IsLeaseOver(now);
}

void WorkerSession::Reset() {
  this->has_answered = false;
  this->last_report = {};
  this->known_runs.clear();
  this->step_counts.clear();
  this->used = {};
  this->serving_count = 0;
  this->filler_count = 0;
  this->trial_count = 0;
}

Run* WorkerSession::FindRun(const jobs::TaskId& task, RunNumber number) {
  const auto found = this->known_runs.find({task, number});
  return found == this->known_runs.end() ? nullptr : &found->second;
}

Run& WorkerSession::AddRun(Run&& run) {
  std::pair key(run.task, run.number);
  auto [place, is_new] =
      this->known_runs.try_emplace(std::move(key), std::move(run));
  Run& added = place->second;
  if (is_new) {
    this->used.Add(added.need);
    ++this->step_counts[added.task.step];
    this->serving_count += static_cast<std::uint32_t>(added.is_serving);
    this->filler_count += static_cast<std::uint32_t>(added.is_filler);
    this->has_unsettled_runs =
        this->has_unsettled_runs || added.phase != RunPhase::kRunning;
  }
  return added;
}

void WorkerSession::BeginTrial(Run& run) {
  this->trial_count += static_cast<std::uint32_t>(!run.is_on_trial);
  run.is_on_trial = true;
}

void WorkerSession::EndTrial(Run& run) {
  this->trial_count -= static_cast<std::uint32_t>(run.is_on_trial);
  run.is_on_trial = false;
}

void WorkerSession::BeginStop(Run& run, SteadyTime due) {
  run.phase = RunPhase::kStopping;
  run.stop_due = due;
  this->has_unsettled_runs = true;
}

bool WorkerSession::RemoveRun(const jobs::TaskId& task, RunNumber number) {
  const auto found = this->known_runs.find({task, number});
  if (found == this->known_runs.end()) {
    return false;
  }
  this->EndTrial(found->second);
  this->used.Subtract(found->second.need);
  this->serving_count -= static_cast<std::uint32_t>(found->second.is_serving);
  this->filler_count -= static_cast<std::uint32_t>(found->second.is_filler);
  const auto count = this->step_counts.find(task.step);
  if (--count->second == 0) {
    this->step_counts.erase(count);
  }
  this->known_runs.erase(found);
  return true;
}

jobs::Resources WorkerSession::Room() const {
  jobs::Resources room = this->description.capacity;
  room.Subtract(this->used);
  return room;
}

std::uint32_t WorkerSession::CountTasksOf(const jobs::StepId& step) const {
  const auto found = this->step_counts.find(step);
  return found == this->step_counts.end() ? 0 : found->second;
}

}  // namespace sumac::scheduler
