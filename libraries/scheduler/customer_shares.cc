// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/customer_shares.h"

#include <algorithm>

namespace sumac::scheduler {

CustomerShares::Bucket& CustomerShares::Refill(
    const jobs::CustomerDeclaration& customer,
    SteadyTime now) {
  // A share below one job a second still allows a job at a time.
  const double span =
      std::chrono::duration<double>(this->settings.span).count();
  const double capacity = std::max(customer.weight * span, 1.0);
  Bucket& bucket =
      this->buckets.try_emplace(customer.name, Bucket{capacity, now})
          .first->second;
  const double passed =
      std::chrono::duration<double>(now - bucket.filled_at).count();
  bucket.tokens = std::min(capacity, bucket.tokens + passed * customer.weight);
  bucket.filled_at = now;
  return bucket;
}

bool CustomerShares::IsUsedUp(const jobs::CustomerDeclaration* customer,
                              SteadyTime now) {
  return customer != nullptr && this->Refill(*customer, now).tokens < 1;
}

bool CustomerShares::CountJob(const jobs::CustomerDeclaration* customer,
                              SteadyTime now) {
  if (customer == nullptr) {
    return false;
  }
  Bucket& bucket = this->Refill(*customer, now);
  if (bucket.tokens < 1) {
    return true;
  }
  bucket.tokens -= 1;
  return false;
}

}  // namespace sumac::scheduler
