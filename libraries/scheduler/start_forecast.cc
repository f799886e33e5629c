// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/start_forecast.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace sumac::scheduler {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

void StartForecast::RecordFirstStart(const QueueName& queue, SteadyTime now) {
  Queue& known = this->queues[queue];
  this->DropOld(known, now);
  known.begun.push_back(now);
  known.waiting.new_in_time -=
      std::min<std::size_t>(known.waiting.new_in_time, 1);
}

void StartForecast::RecordAccepted(const QueueName& queue) {
  ++this->queues[queue].waiting.new_in_time;
}

void StartForecast::ScaleRate(const QueueName& queue, double left) {
  const auto known = this->queues.find(queue);
  if (known == this->queues.end()) {
    return;
  }
  std::deque<SteadyTime>& begun = known->second.begun;
  const auto kept = static_cast<std::size_t>(
      std::ceil(static_cast<double>(begun.size()) * left));
  while (begun.size() > kept) {
    begun.pop_front();
  }
}

void StartForecast::UpdateWaiting(
    const std::map<QueueName, QueueWaiting>& waiting) {
  for (auto& [name, queue] : this->queues) {
    queue.waiting = {};
  }
  for (const auto& [name, jobs] : waiting) {
    this->queues[name].waiting = jobs;
  }
}

void StartForecast::DropOld(Queue& queue, SteadyTime now) const {
  while (!queue.begun.empty() &&
         now - queue.begun.front() > this->settings.window) {
    queue.begun.pop_front();
  }
}

double StartForecast::RateOf(Queue& queue, SteadyTime now) const {
  this->DropOld(queue, now);
  return std::max(1.0, static_cast<double>(queue.begun.size()) /
                           Seconds(this->settings.window).count());
}

bool StartForecast::IsTooLate(const QueueName& queue,
                              Milliseconds to_spare,
                              SteadyTime now,
                              double growth) {
  Queue& known = this->queues[queue];
  const bool is_late = to_spare < Milliseconds(0);
  const std::size_t before =
      known.waiting.new_in_time + (is_late ? known.waiting.late : 0);
  if (before < this->settings.always_accepted) {
    return false;
  }
  const Seconds wait(static_cast<double>(before) /
                     (this->RateOf(known, now) * growth));
  return wait > Seconds(to_spare) * this->settings.used_share;
}

Milliseconds StartForecast::RetryAfter(const QueueName& queue, SteadyTime now) {
  Queue& known = this->queues[queue];
  const Seconds gap(1.0 / this->RateOf(known, now));
  known.last_retry_at = std::clamp(
      known.last_retry_at + std::chrono::ceil<Milliseconds>(gap),
      now + this->settings.shortest_retry, now + this->settings.longest_retry);
  return known.last_retry_at - now;
}

}  // namespace sumac::scheduler
