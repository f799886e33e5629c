// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/scheduler/fake_worker.h"

#include <algorithm>
#include <utility>

namespace sumac::scheduler {

WorkerTime FakeWorker::ClockAt(SteadyTime now) const {
  constexpr std::int64_t kPermille = 1'000;
  const std::int64_t passed = now.time_since_epoch().count() *
                              (kPermille - this->slow_permille) / kPermille;
  return WorkerTime(this->clock_offset.count() + passed);
}

void FakeWorker::Tick(SteadyTime now) {
  std::vector<std::pair<jobs::TaskId, EndCause>> over;
  const bool has_lapsed = this->ClockAt(now) >= this->lease_end;
  for (const auto& [task, running] : this->tasks) {
    if (has_lapsed) {
      over.emplace_back(task, EndCause::kLeaseExpired);
    } else if (running.stops_at && now >= *running.stops_at) {
      over.emplace_back(task, EndCause::kStopped);
    } else if (now >= running.ends_at) {
      over.emplace_back(task,
                        running.fails ? EndCause::kFailed : EndCause::kDone);
    }
  }
  for (const auto& [task, cause] : over) {
    this->End(task, cause);
  }
}

void FakeWorker::End(const jobs::TaskId& task, EndCause cause) {
  const auto found = this->tasks.find(task);
  this->ended.push_back(EndReport{.number = this->next_end++,
                                  .task = task,
                                  .run = found->second.run,
                                  .cause = cause});
  this->every_end.push_back(this->ended.back());
  this->closed[task] = std::max(this->closed[task], found->second.run);
  this->tasks.erase(found);
}

OrderAnswer FakeWorker::Start(const StartOrder& order,
                              Milliseconds work,
                              bool fails,
                              const jobs::StepSpec& step,
                              SteadyTime now) {
  OrderAnswer answer{.clock = this->ClockAt(now)};
  if (order.epoch < this->fence) {
    answer.result = OrderResult::kFenced;
    return answer;
  }
  this->fence = order.epoch;
  if (order.lease_end <= this->ClockAt(now)) {
    answer.result = OrderResult::kTooLate;
    return answer;
  }
  this->lease_end = std::max(this->lease_end, order.lease_end);
  const auto present = this->tasks.find(order.task);
  if (present != this->tasks.end()) {
    answer.result = present->second.run == order.run ? OrderResult::kDone
                                                     : OrderResult::kOldRun;
    return answer;
  }
  const auto closed_run = this->closed.find(order.task);
  if (closed_run != this->closed.end() && order.run <= closed_run->second) {
    answer.result = OrderResult::kOldRun;
    return answer;
  }
  if (this->start_refusal) {
    answer.result = *this->start_refusal;
    return answer;
  }
  if (!this->tickets.empty() && !this->tickets.contains(order.ticket)) {
    answer.result = OrderResult::kBadTicket;
    return answer;
  }
  const SteadyTime ends_at =
      this->stalls_runs ? SteadyTime::max() : now + work * this->slowness;
  this->tasks[order.task] =
      Running{.run = order.run,
              .began_at = now,
              .ends_at = ends_at,
              .fails = fails,
              .is_long_running = step.is_long_running,
              .is_serving = step.latency_target > Milliseconds(0),
              .is_filler = step.is_filler};
  this->begun.emplace_back(order.task, order.run);
  answer.result = OrderResult::kDone;
  return answer;
}

OrderAnswer FakeWorker::Pace(const PaceOrder& order) {
  const auto found = this->tasks.find(order.task);
  if (found != this->tasks.end() && found->second.run == order.run) {
    found->second.pace = order.percent;
  }
  return {.result = OrderResult::kDone};
}

std::int64_t FakeWorker::LoadOf(const Running& running) const {
  constexpr std::int64_t kFullPace = 100;
  if (!running.is_serving) {
    return 0;
  }
  std::int64_t load = this->tail;
  for (const auto& [task, other] : this->tasks) {
    load +=
        other.is_filler ? this->tail_per_filler * other.pace / kFullPace : 0;
  }
  return load;
}

OrderAnswer FakeWorker::Stop(const StopOrder& order, SteadyTime now) {
  OrderAnswer answer{.clock = this->ClockAt(now)};
  if (order.epoch < this->fence) {
    answer.result = OrderResult::kFenced;
    return answer;
  }
  if (this->stop_refusal) {
    answer.result = *this->stop_refusal;
    return answer;
  }
  this->fence = order.epoch;
  const auto present = this->tasks.find(order.task);
  if (present != this->tasks.end() && present->second.run == order.run) {
    if (this->stop_time == Milliseconds(0)) {
      this->End(order.task, EndCause::kStopped);
    } else if (!present->second.stops_at) {
      present->second.stops_at = now + this->stop_time;
    }
  }
  this->closed[order.task] = std::max(this->closed[order.task], order.run);
  answer.result = OrderResult::kDone;
  return answer;
}

std::optional<RenewReport> FakeWorker::Renew(const RenewOrder& order,
                                             SteadyTime now) {
  if (order.epoch < this->fence) {
    return std::nullopt;
  }
  this->fence = order.epoch;
  if (order.lease_end) {
    this->lease_end = std::max(this->lease_end, *order.lease_end);
  }
  this->acknowledged = std::max(this->acknowledged, order.acknowledged_ends);
  std::erase_if(this->ended, [&](const EndReport& end) {
    return end.number <= order.acknowledged_ends;
  });
  RenewReport report{.clock = this->ClockAt(now), .ended = this->ended};
  report.has_more_ends = report.ended.size() >= this->most_listed_ends;
  report.ended.resize(std::min(report.ended.size(), this->most_listed_ends));
  for (const auto& [task, running] : this->tasks) {
    report.running.push_back(RunningReport{.task = task,
                                           .run = running.run,
                                           .checkpoint = this->checkpoint,
                                           .percent = PercentOf(running, now),
                                           .load = this->LoadOf(running)});
  }
  return report;
}

std::uint32_t FakeWorker::PercentOf(const Running& running, SteadyTime now) {
  constexpr std::int64_t kWholePercent = 100;
  if (running.ends_at == SteadyTime::max()) {
    return 0;
  }
  if (running.is_long_running) {
    return static_cast<std::uint32_t>(kWholePercent);
  }
  return static_cast<std::uint32_t>(
      (now - running.began_at) * kWholePercent /
      std::max(running.ends_at - running.began_at, Milliseconds(1)));
}

void FakeWorker::Crash() {
  this->tasks.clear();
  this->ended.clear();
  this->is_up = false;
}

}  // namespace sumac::scheduler
