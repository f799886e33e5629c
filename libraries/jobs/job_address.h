// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_JOB_ADDRESS_H_
#define LIBRARIES_JOBS_JOB_ADDRESS_H_

#include "absl/status/statusor.h"
#include "libraries/base/names.h"
#include "libraries/jobs/caller_address.h"
#include "libraries/jobs/declaration.h"
#include "libraries/jobs/job_tombstones.h"

namespace sumac::jobs {

class JobsState;

// The queue and the id of a job, as given by the path of a request, and the
// customer on whose behalf it was sent. The id is empty if the path names only
// a queue.
struct JobAddress {
  const QueueDeclaration* queue = nullptr;
  JobId job;
  CustomerName customer;

  RequestOrigin origin() const { return {this->queue->name, this->customer}; }
};

// Resolves the address of a caller's request by the declaration in force and
// decides whether the caller may use it. Every request about jobs goes through
// here: as a leader reads it and, if it changes anything, again where it is
// applied, so that one declaration decides on the whole of it.
absl::StatusOr<JobAddress> ResolveJobAddress(const JobsState& state,
                                             const CallerAddress& address);

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_JOB_ADDRESS_H_
