// SPDX-License-Identifier: Apache-2.0
#include "libraries/routing/retry_budget.h"

#include <algorithm>

namespace sumac::routing {

void RetryBudget::AddFirstTry(double share) {
  this->saved = std::min(this->saved + share, kMaxRetries);
}

bool RetryBudget::TakeRetry() {
  if (this->saved < 1) {
    return false;
  }
  this->saved -= 1;
  return true;
}

}  // namespace sumac::routing
