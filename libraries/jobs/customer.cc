// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/customer.h"

#include "libraries/base/error.h"
#include "libraries/base/text.h"

namespace sumac::jobs {

absl::Status CheckAgainstQuota(const CustomerDeclaration& customer,
                               const JobSpec& spec) {
  for (std::size_t number = 0; number < spec.steps.size(); ++number) {
    const StepSpec& step = spec.steps[number];
    const Resources need = step.need.Times(step.is_gang ? step.count : 1);
    if (!IsWithinQuota(customer.quota, need)) {
      return MakeError(
          ResultCode::kAboveQuota,
          StrCat("step ", number, " needs ", need.millicores,
                 " thousandths of a core, ", need.memory_mb, " MB and ",
                 need.accelerators, " accelerators at once; the quota of ",
                 customer.name.value(), " is ", customer.quota.millicores, ", ",
                 customer.quota.memory_mb, " and ", customer.quota.accelerators,
                 " (0: no limit)"));
    }
  }
  return absl::OkStatus();
}

}  // namespace sumac::jobs
