// SPDX-License-Identifier: Apache-2.0
#include "libraries/routing/retry_budget.h"

#include <algorithm>

namespace sumac::routing {

void RetryBudget::AddFirstTry(double share) {
  this->available_retries =
      std::min(this->available_retries + share, kMaxRetries);
}

bool RetryBudget::TakeRetry() {
  if (this->available_retries < 1) {
    return false;
  }
  this->available_retries -= 1;
  return true;
}

}  // namespace sumac::routing
