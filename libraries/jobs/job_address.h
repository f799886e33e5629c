// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_JOB_ADDRESS_H_
#define SERVICES_SUMACD_JOB_ADDRESS_H_

#include <string>

#include "absl/status/statusor.h"
#include "libraries/base/names.h"
#include "libraries/jobs/caller_access.h"
#include "libraries/jobs/declaration.h"
#include "libraries/jobs/jobs_state.h"

namespace sumac::daemon {

// The queue and the id of a job, as given by the path of a request, and the
// customer on whose behalf it was sent. The id is empty if the path names only
// a queue.
struct JobAddress {
  const jobs::QueueDeclaration* queue = nullptr;
  JobId job;
  CustomerName customer;

  jobs::RequestOrigin origin() const {
    return {this->queue->name, this->customer};
  }
};

// Resolves the address of a caller's request and decides whether the caller may
// use it: every request about jobs goes through here.
absl::StatusOr<JobAddress> ResolveJobAddress(
    const jobs::JobsState& state,
    const std::string& host,
    const std::string& path,
    const jobs::Credentials& credentials);

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_JOB_ADDRESS_H_
