// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/job_address.h"

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"

namespace sumac::daemon {

absl::StatusOr<JobAddress> ResolveJobAddress(
    const jobs::JobsState& state,
    const std::string& host,
    const std::string& path,
    const jobs::Credentials& credentials) {
  const jobs::JobsDeclaration& declaration = state.declaration();
  if (declaration.version() == 0) {
    return MakeError(ResultCode::kNothingDeclared,
                     "no declaration is in force yet");
  }
  const jobs::QueueDeclaration* queue = declaration.FindByAddress(host, path);
  if (queue == nullptr) {
    return MakeError(ResultCode::kUnknownQueue,
                     StrCat("no queue at ", host, path, " in version ",
                            declaration.version()));
  }
  JobAddress address{queue, JobId(path.substr(queue->path_prefix.size()))};
  address.customer =
      TRY(jobs::AuthenticateCaller(declaration, *queue, credentials));
  if (const jobs::Job* job = state.FindJob(address.job)) {
    TRY(jobs::AuthorizeJobAccess(*queue, address.customer, *job));
  }
  return address;
}

}  // namespace sumac::daemon
