// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_RUN_TIMES_H_
#define LIBRARIES_SCHEDULER_RUN_TIMES_H_

#include <cstdint>
#include <map>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/job.h"

namespace sumac::scheduler {

// The observed run times of each queue's tasks. Submitters' estimates are far
// off on some queues, so observed times are used once there are enough of them.
class RunTimes {
 public:
  // Records the duration of a run that ended done.
  void RecordRunTime(const QueueName& queue, Milliseconds took);

  // Returns the expected duration of one task of a step.
  Milliseconds Expect(const QueueName& queue, const jobs::StepSpec& step) const;

  // Returns true once enough runs of the queue were observed for Expect to be
  // accurate.
  bool IsKnown(const QueueName& queue) const;

  // Returns the length of the longest chain of steps of an occurrence that are
  // not done yet.
  Milliseconds RemainingChain(const jobs::Job& job,
                              std::uint32_t occurrence) const;
  // Returns the length of the longest chain of all steps.
  Milliseconds WholeChain(const QueueName& queue,
                          const jobs::JobSpec& spec) const;

 private:
  struct Observed {
    std::uint32_t count = 0;
    double mean_ms = 0;
  };

  template <typename IsDone>
  Milliseconds LongestChain(const QueueName& queue,
                            const jobs::JobSpec& spec,
                            IsDone is_done) const;

  std::map<QueueName, Observed> queues;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_RUN_TIMES_H_
