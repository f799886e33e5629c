// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/run_times.h"

#include <algorithm>
#include <vector>

namespace sumac::scheduler {
namespace {

// Runs of a queue that must have been observed before their mean counts.
constexpr std::uint32_t kMinObservedRuns = 10;
// The weight of a new run in the mean, once there are many.
constexpr double kMinWeight = 0.05;

}  // namespace

void RunTimes::RecordRunTime(const QueueName& queue, Milliseconds took) {
  Observed& observed = this->queues[queue];
  ++observed.count;
  const double weight = std::max(kMinWeight, 1.0 / observed.count);
  observed.mean_ms +=
      weight * (static_cast<double>(took.count()) - observed.mean_ms);
}

bool RunTimes::IsKnown(const QueueName& queue) const {
  const auto observed = this->queues.find(queue);
  return observed != this->queues.end() &&
         observed->second.count >= kMinObservedRuns;
}

Milliseconds RunTimes::Expect(const QueueName& queue,
                              const jobs::StepSpec& step) const {
  const auto observed = this->queues.find(queue);
  if (observed == this->queues.end() ||
      observed->second.count < kMinObservedRuns) {
    return step.estimate;
  }
  // Half and half: the mean knows the queue, the estimate knows the job.
  const auto mean =
      Milliseconds(static_cast<std::int64_t>(observed->second.mean_ms));
  const Milliseconds bounded = std::clamp(step.estimate, mean / 2, mean * 2);
  return (mean + bounded) / 2;
}

template <typename IsDone>
Milliseconds RunTimes::LongestChain(const QueueName& queue,
                                    const jobs::JobSpec& spec,
                                    IsDone is_done) const {
  std::vector<Milliseconds> ends;
  Milliseconds longest{0};
  for (std::uint32_t number = 0; number < spec.steps.size(); ++number) {
    const jobs::StepSpec& step = spec.steps[number];
    Milliseconds start{0};
    for (const std::uint32_t earlier : step.after) {
      start = std::max(start, ends[earlier]);
    }
    const Milliseconds own =
        is_done(number) ? Milliseconds(0) : this->Expect(queue, step);
    ends.push_back(start + own);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

Milliseconds RunTimes::RemainingChain(const jobs::Job& job,
                                      std::uint32_t occurrence) const {
  return this->LongestChain(job.queue, job.spec, [&](std::uint32_t step) {
    return job.IsStepDone(occurrence, step);
  });
}

Milliseconds RunTimes::WholeChain(const QueueName& queue,
                                  const jobs::JobSpec& spec) const {
  return this->LongestChain(queue, spec, [](std::uint32_t) { return false; });
}

}  // namespace sumac::scheduler
