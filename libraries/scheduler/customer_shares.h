// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_CUSTOMER_SHARES_H_
#define LIBRARIES_SCHEDULER_CUSTOMER_SHARES_H_

#include <unordered_map>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/customer.h"

namespace sumac::scheduler {

struct CustomerSharesSettings {
  // The time for which a customer's share is kept if it sends nothing.
  Milliseconds span{1'000};
};

// Tells which jobs a customer submits beyond its share: more than `weight` jobs
// a second. Each customer has a token bucket that holds its share of the span.
// Handles a customer that floods a full fleet: its jobs beyond the share go
// after those of the others. Pure.
class CustomerShares {
 public:
  explicit CustomerShares(CustomerSharesSettings settings = {})
      : settings(settings) {}

  // Returns true if one more job now would be beyond the customer's share;
  // never for a null customer.
  bool IsUsedUp(const jobs::CustomerDeclaration* customer, SteadyTime now);

  // Counts one accepted job. Returns true if it is beyond the customer's share.
  bool CountJob(const jobs::CustomerDeclaration* customer, SteadyTime now);

 private:
  struct Bucket {
    double tokens = 0;
    SteadyTime filled_at{};
  };

  Bucket& Refill(const jobs::CustomerDeclaration& customer, SteadyTime now);

  CustomerSharesSettings settings;
  std::unordered_map<CustomerName, Bucket> buckets;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_CUSTOMER_SHARES_H_
