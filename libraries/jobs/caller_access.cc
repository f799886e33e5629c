// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/caller_access.h"

#include "libraries/base/error.h"
#include "libraries/base/text.h"

namespace sumac::jobs {

absl::StatusOr<CustomerName> AuthenticateCaller(
    const JobsDeclaration& declaration,
    const QueueDeclaration& queue,
    const Credentials& credentials) {
  if (queue.is_public || !declaration.has_customers()) {
    return CustomerName();
  }
  if (!credentials.is_present) {
    return MakeError(
        ResultCode::kNoCredentials,
        StrCat("queue ", queue.name.value(), " takes calls with a key only"));
  }
  const CustomerDeclaration* customer =
      declaration.FindCustomerByKey(credentials.key);
  if (customer == nullptr) {
    return MakeError(
        ResultCode::kUnknownKey,
        StrCat("no customer has this key in version ", declaration.version()));
  }
  return customer->name;
}

absl::Status AuthorizeJobAccess(const QueueDeclaration& queue,
                                const CustomerName& caller,
                                const Job& job) {
  // NOTE: Only the public queue that took the job opens it. A job's id under
  // the address of another public queue does not.
  const bool is_open = job.customer.value().empty() || job.customer == caller ||
                       (queue.is_public && job.queue == queue.name);
  if (!is_open) {
    return MakeError(ResultCode::kForeignJob,
                     "the job belongs to another customer");
  }
  return absl::OkStatus();
}

}  // namespace sumac::jobs
