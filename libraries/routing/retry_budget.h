// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_ROUTING_RETRY_BUDGET_H_
#define LIBRARIES_ROUTING_RETRY_BUDGET_H_

namespace sumac::routing {

// Limits retries to a share of first tries, so that they do not overload a
// failing service further.
class RetryBudget {
 public:
  // Adds `share` of a retry to the budget, for a first try.
  void AddFirstTry(double share);

  // Takes one retry from the budget; returns false if there is less than one.
  bool TakeRetry();

 private:
  double available_retries = kInitialRetries;

  // The initial budget, which allows a new service a few retries.
  static constexpr double kInitialRetries = 10;
  // Limits the budget that a service accumulates while it needs few retries.
  static constexpr double kMaxRetries = 100;
};

}  // namespace sumac::routing

#endif  // LIBRARIES_ROUTING_RETRY_BUDGET_H_
