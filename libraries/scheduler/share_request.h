// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_SHARE_REQUEST_H_
#define LIBRARIES_SCHEDULER_SHARE_REQUEST_H_

#include <concepts>

#include "libraries/base/time.h"
#include "libraries/jobs/customer.h"
#include "libraries/jobs/resources.h"

namespace sumac::scheduler {

// What one job asks for.
struct ShareRequest {
  // The work of all its tasks, in core-seconds.
  double core_seconds = 0;
  // What its widest step uses at the same time.
  jobs::Resources need;
};

// A way to share a full fleet between customers: it tells, as a job is
// accepted, whether the job is beyond its customer's share. Such jobs go after
// all others and are served where room is left.
template <typename Way>
concept ShareWay = requires(Way way,
                            const jobs::CustomerDeclaration& customer,
                            const ShareRequest& request,
                            const jobs::Resources& capacity,
                            SteadyTime now) {
  // Sets the resources of the whole fleet.
  way.SetCapacity(capacity);
  // Counts one accepted job. Returns true if it is beyond the share.
  { way.CountJob(customer, request, now) } -> std::same_as<bool>;
  // Counts the end of a job that was within the share.
  way.CountEnd(customer, request, now);
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_SHARE_REQUEST_H_
