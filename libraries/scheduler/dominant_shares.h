// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_DOMINANT_SHARES_H_
#define LIBRARIES_SCHEDULER_DOMINANT_SHARES_H_

#include <unordered_map>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/customer.h"
#include "libraries/jobs/resources.h"
#include "libraries/scheduler/share_request.h"

namespace sumac::scheduler {

// Shares a full fleet by dominant resources: of each customer counts the
// largest share of any one resource that its open jobs (those that were within
// its share) need, and compares it with the customer's weight among the
// customers that have open jobs. Handles customers whose jobs need unlike
// resources. Constant time a decision. A new leader relearns the state as the
// jobs end that it doesn't know. Pure.
class DominantShares {
 public:
  void SetCapacity(const jobs::Resources& total) { this->capacity = total; }

  bool CountJob(const jobs::CustomerDeclaration& customer,
                const ShareRequest& request,
                SteadyTime now);
  void CountEnd(const jobs::CustomerDeclaration& customer,
                const ShareRequest& request,
                SteadyTime now);

 private:
  struct Customer {
    jobs::Resources open;
    std::size_t jobs = 0;
    double weight = 0;
  };

  double DominantShareOf(const jobs::Resources& used) const;

  jobs::Resources capacity;
  // The sum of the weights of all customers with open jobs.
  double active_weight = 0;
  std::unordered_map<CustomerName, Customer> customers;
};

static_assert(ShareWay<DominantShares>);

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_DOMINANT_SHARES_H_
