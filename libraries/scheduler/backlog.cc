// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/backlog.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace sumac::scheduler {
namespace {

using Seconds = std::chrono::duration<double>;
constexpr Milliseconds kSecond{1'000};

}  // namespace

void Backlog::RecordFinished(SteadyTime now) {
  const Milliseconds passed = now - this->second_began;
  if (passed >= kSecond) {
    const double kept =
        this->best *
        std::pow(this->settings.retained_per_second, Seconds(passed).count());
    this->best = std::max(this->CurrentRate(), kept);
    this->second_began = now;
    this->finished_in_second = 0;
  }
  ++this->finished_in_second;
}

void Backlog::ScaleRate(double left, SteadyTime now) {
  this->best *= left;
  const bool is_scaled = now < this->scaled_until;
  this->scale = is_scaled ? this->scale * left : left;
  this->scaled_until = now + this->settings.longest_job;
}

double Backlog::CurrentRate() const {
  const double share =
      this->second_began < this->scaled_until ? this->scale : 1;
  return static_cast<double>(this->finished_in_second) * share;
}

double Backlog::BestRate() const {
  return std::max(this->best, this->CurrentRate());
}

bool Backlog::IsFull(const WaitingCounts& waiting) const {
  const double most =
      std::max(static_cast<double>(this->settings.always_accepted),
               this->BestRate() * Seconds(this->settings.longest_wait).count());
  const double share =
      most / static_cast<double>(std::max<std::size_t>(waiting.queues, 1));
  return static_cast<double>(waiting.of_all) >= most &&
         static_cast<double>(waiting.of_queue) >= share;
}

Milliseconds Backlog::RetryAfter(const WaitingCounts& waiting) const {
  const Seconds until_begun(static_cast<double>(waiting.of_all) /
                            std::max(this->BestRate(), 1.0));
  return std::clamp(std::chrono::duration_cast<Milliseconds>(until_begun),
                    this->settings.shortest_retry,
                    this->settings.longest_retry);
}

}  // namespace sumac::scheduler
