// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/job_address.h"

#include <string>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/jobs/caller_access.h"
#include "libraries/jobs/jobs_state.h"

namespace sumac::jobs {

absl::StatusOr<JobAddress> ResolveJobAddress(const JobsState& state,
                                             const CallerAddress& address) {
  const JobsDeclaration& declaration = state.declaration();
  if (declaration.version() == 0) {
    return MakeError(ResultCode::kNothingDeclared,
                     "no declaration is in force yet");
  }
  const QueueDeclaration* queue =
      declaration.FindByAddress(address.host, address.path);
  if (queue == nullptr) {
    return MakeError(ResultCode::kUnknownQueue,
                     StrCat("no queue at ", address.host, address.path,
                            " in version ", declaration.version()));
  }
  JobAddress resolved{queue,
                      JobId(address.path.substr(queue->path_prefix.size()))};
  // NOTE: A queue below this one, in an earlier or a later declaration, has
  // this path too: its jobs would run twice, under two ids.
  if (resolved.job.value().find('/') != std::string::npos) {
    return MakeError(
        ResultCode::kUnknownQueue,
        StrCat("no queue takes a job at ", address.host, address.path,
               " in version ", declaration.version()));
  }
  resolved.customer =
      TRY(AuthenticateCaller(declaration, *queue, address.credentials));
  if (const Job* job = state.FindJob(resolved.job)) {
    TRY(AuthorizeJobAccess(*queue, resolved.customer, *job));
  }
  return resolved;
}

}  // namespace sumac::jobs
