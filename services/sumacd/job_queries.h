// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_JOB_QUERIES_H_
#define SERVICES_SUMACD_JOB_QUERIES_H_

#include <string>

#include "libraries/fleet/answer.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/replication/replica.h"
#include "libraries/scheduler/scheduler.h"

namespace sumac::daemon {

// What a leader's answers are read from.
struct JobSources {
  const jobs::JobsState& state;
  const scheduler::Scheduler& scheduler;
  const replication::Replica& replica;
};

// Answers an operator's question: kind is jobs, workers, waves, queues, pools
// or controllers; a name picks one job or worker. kBadArgument for another
// kind, kUnknownName for a name that is not known.
fleet::Answer AnswerQuery(const JobSources& sources,
                          const std::string& kind,
                          const std::string& name,
                          SteadyTime now);

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_JOB_QUERIES_H_
