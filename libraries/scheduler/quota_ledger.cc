// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/quota_ledger.h"

#include <utility>

namespace sumac::scheduler {

void QuotaLedger::Reservation::Swap(Reservation& other) {
  std::swap(this->used, other.used);
  std::swap(this->amount, other.amount);
}

QuotaLedger::Reservation QuotaLedger::Reserve(const CustomerName& customer,
                                              const jobs::Resources& need) {
  if (customer.value().empty()) {
    return {};
  }
  return Reservation(this->used[customer], need);
}

bool QuotaLedger::Allows(const jobs::CustomerDeclaration* customer,
                         const jobs::Resources& need,
                         std::uint32_t count) const {
  if (customer == nullptr) {
    return true;
  }
  jobs::Resources total = this->UsedBy(customer->name);
  total.Add(this->UnseenOf(customer->name));
  total.Add(need.Times(count));
  return jobs::IsWithinQuota(customer->quota, total);
}

jobs::Resources QuotaLedger::UsedBy(const CustomerName& customer) const {
  const auto found = this->used.find(customer);
  return found == this->used.end() ? jobs::Resources() : found->second;
}

jobs::Resources QuotaLedger::UnseenOf(const CustomerName& customer) const {
  const auto found = this->unseen.find(customer);
  return found == this->unseen.end() ? jobs::Resources() : found->second;
}

}  // namespace sumac::scheduler
