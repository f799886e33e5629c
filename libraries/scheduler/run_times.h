// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_RUN_TIMES_H_
#define LIBRARIES_SCHEDULER_RUN_TIMES_H_

#include <cstdint>
#include <map>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/job.h"

namespace sumac::scheduler {

// What tasks of each queue really took. Submitters' estimates are far off on
// some queues; what was seen is used once there is enough of it.
class RunTimes {
 public:
  // Takes in a run that ended done.
  void RecordRunTime(const QueueName& queue, Milliseconds took);

  // How long one task of a step probably takes.
  Milliseconds Expect(const QueueName& queue, const jobs::StepSpec& step) const;

  // True once enough runs of the queue were seen for Expect to be near.
  bool IsKnown(const QueueName& queue) const;

  // How long the steps of an occurrence that are not done take one after the
  // other, by their longest chain.
  Milliseconds RemainingChain(const jobs::Job& job,
                              std::uint32_t occurrence) const;
  // The same for all steps.
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
