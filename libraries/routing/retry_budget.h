// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_ROUTING_RETRY_BUDGET_H_
#define LIBRARIES_ROUTING_RETRY_BUDGET_H_

namespace sumac::routing {

// Keeps retries to a share of first tries, so that a broken service is not made
// worse by them.
class RetryBudget {
 public:
  // Counts a first try, which earns `share` of a retry.
  void AddFirstTry(double share);

  // Takes one retry if there is one.
  bool TakeRetry();

 private:
  double saved = kInitialRetries;

  // Lets a service that has just begun retry a few times, and bounds what a
  // quiet one saves up.
  static constexpr double kInitialRetries = 10;
  static constexpr double kMaxRetries = 100;
};

}  // namespace sumac::routing

#endif  // LIBRARIES_ROUTING_RETRY_BUDGET_H_
