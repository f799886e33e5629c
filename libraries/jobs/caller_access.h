// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_CALLER_ACCESS_H_
#define LIBRARIES_JOBS_CALLER_ACCESS_H_

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/base/names.h"
#include "libraries/jobs/caller_address.h"
#include "libraries/jobs/declaration.h"
#include "libraries/jobs/job.h"

namespace sumac::jobs {

// Decides, by one declaration, on behalf of which customer a call to a queue is
// made. Returns an empty name if the queue is public or no customers are
// declared, and kNoCredentials or kUnknownKey if the call must be refused.
absl::StatusOr<CustomerName> AuthenticateCaller(
    const JobsDeclaration& declaration,
    const QueueDeclaration& queue,
    const Credentials& credentials);

// Decides whether a call to `queue` on behalf of `caller` may read, change or
// repeat a job. Returns kForeignJob if not.
absl::Status AuthorizeJobAccess(const QueueDeclaration& queue,
                                const CustomerName& caller,
                                const Job& job);

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_CALLER_ACCESS_H_
