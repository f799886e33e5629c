// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_FAIR_QUEUE_SHARES_H_
#define LIBRARIES_SCHEDULER_FAIR_QUEUE_SHARES_H_

#include <functional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/customer.h"
#include "libraries/jobs/resources.h"
#include "libraries/scheduler/share_request.h"

namespace sumac::scheduler {

struct FairQueueSettings {
  // How long a customer's accepted work may take under fair service before
  // further jobs are beyond its share: what a customer may send at once after a
  // pause. With a longer one a customer that begins to flood delays the others
  // more in its first seconds; with a shorter one small customers, which send
  // rarely, get less.
  Milliseconds horizon{500};
};

// Shares a full fleet by weighted fair queueing of the work asked for: a
// virtual time advances as fast as a fleet would serve each unit of weight if
// it served all customers that have work, in proportion to their weights. A
// customer's own virtual time advances with the work that it submits; a job is
// beyond the share if that would put the customer ahead by more than the
// horizon. Handles customers that flood a full fleet with many or with large
// jobs: a customer that sends nothing leaves its share to the others. A new
// leader relearns the state within a horizon. The cost of a decision grows with
// the logarithm of the customers that have work. Pure.
class FairQueueShares {
 public:
  explicit FairQueueShares(FairQueueSettings settings = {})
      : settings(settings) {}
  FairQueueShares(const FairQueueShares&) = delete;
  FairQueueShares& operator=(const FairQueueShares&) = delete;

  void SetCapacity(const jobs::Resources& capacity);

  // Returns true if one more job would be beyond the customer's share now.
  bool IsUsedUp(const jobs::CustomerDeclaration& customer, SteadyTime now);

  bool CountJob(const jobs::CustomerDeclaration& customer,
                const ShareRequest& request,
                SteadyTime now);
  void CountEnd(const jobs::CustomerDeclaration& /*customer*/,
                const ShareRequest& /*request*/,
                SteadyTime /*now*/) {}

 private:
  struct Customer {
    // The virtual time at which the customer's accepted work is served, in
    // core-seconds per unit of weight.
    double finish = 0;
    double weight = 0;
    bool has_work = false;
  };

  void Advance(SteadyTime now);
  // Returns how long the customer's accepted work takes under fair service.
  double AheadSeconds(const Customer& customer, double weight) const;

  FairQueueSettings settings;
  double cores = 0;
  double virtual_time = 0;
  SteadyTime advanced_at{};
  // The sum of the weights of all customers that have work.
  double active_weight = 0;
  std::unordered_map<CustomerName, Customer> customers;
  // Customers that have work, by a lower bound of their finish; the soonest is
  // on top.
  using Entry = std::pair<double, Customer*>;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> finishing;
};

static_assert(ShareWay<FairQueueShares>);

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_FAIR_QUEUE_SHARES_H_
