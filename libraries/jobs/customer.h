// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_CUSTOMER_H_
#define LIBRARIES_JOBS_CUSTOMER_H_

#include <cstdint>
#include <vector>

#include "absl/status/status.h"
#include "libraries/base/names.h"
#include "libraries/jobs/job_spec.h"
#include "libraries/jobs/resources.h"

namespace sumac::jobs {

// A customer as the operators declare it.
struct CustomerDeclaration {
  CustomerName name;
  // The digests of the keys that identify the customer's calls.
  std::vector<KeyDigest> keys;
  // The customer's share when all room is in use, in jobs per second.
  double weight = 0;
  // The maximum of each resource that the customer's tasks may use at the same
  // time on all workers; 0 for no limit.
  Resources quota;
};

// Returns true if `used` is within `quota`, where 0 means no limit.
inline bool IsWithinQuota(const Resources& quota, const Resources& used) {
  const auto is_within = [](std::int64_t limit, std::int64_t amount) {
    return limit == 0 || amount <= limit;
  };
  return is_within(quota.millicores, used.millicores) &&
         is_within(quota.memory_mb, used.memory_mb) &&
         is_within(quota.accelerators, used.accelerators);
}

// Returns kAboveQuota if a task or gang of the job needs more than the customer
// may ever use. Such a job would wait for ever.
absl::Status CheckAgainstQuota(const CustomerDeclaration& customer,
                               const JobSpec& spec);

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_CUSTOMER_H_
