// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_JOB_QUERIES_H_
#define SERVICES_SUMACD_JOB_QUERIES_H_

#include <string>
#include <vector>

#include "libraries/fleet/answer.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/replication/replica.h"
#include "libraries/scheduler/scheduler.h"

namespace sumac::daemon {

// The state of a leader that queries read.
struct JobSources {
  const jobs::JobsState& state;
  const scheduler::Scheduler& scheduler;
  const replication::Replica& replica;
  // The data centres that the settings name.
  const std::vector<DataCentre>& data_centres;
};

// Answers an operator's query. The kind is jobs, why-job, workers, waiting,
// waves, queues, pools, customers, data-centres or controllers; a name selects
// one job, worker, customer or data centre.
// Returns kBadArgument for another kind and kUnknownName for an unknown name.
fleet::Answer AnswerQuery(const JobSources& sources,
                          const std::string& kind,
                          const std::string& name,
                          SteadyTime now);

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_JOB_QUERIES_H_
