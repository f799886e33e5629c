// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/fair_queue_shares.h"

#include <algorithm>
#include <chrono>

namespace sumac::scheduler {
namespace {

using Seconds = std::chrono::duration<double>;
constexpr double kMillicoresPerCore = 1'000;
// Bounds the virtual time's rate while the fleet is not known yet.
constexpr double kLeastCores = 1;
// The least work that a job is counted with. A job that needs no processor time
// still costs a start and a place.
constexpr double kLeastWork = 0.1;
// A declaration without a weight owes the customer next to nothing.
constexpr double kLeastWeight = 1e-3;

}  // namespace

void FairQueueShares::SetCapacity(const jobs::Resources& capacity) {
  this->cores = static_cast<double>(capacity.millicores) / kMillicoresPerCore;
}

// Lets the virtual time advance to `now`. It slows down as customers get work
// and speeds up as their work is served, so it passes from one finish to the
// next.
void FairQueueShares::Advance(SteadyTime now) {
  double left = Seconds(now - this->advanced_at).count();
  this->advanced_at = std::max(now, this->advanced_at);
  const double speed = std::max(this->cores, kLeastCores);
  while (!this->finishing.empty()) {
    const auto [bound, customer] = this->finishing.top();
    const double needed =
        (bound - this->virtual_time) * this->active_weight / speed;
    if (needed > left) {
      this->virtual_time += std::max(left, 0.0) * speed / this->active_weight;
      return;
    }
    if (bound < customer->finish) {
      // The customer has submitted more work since.
      this->finishing.pop();
      this->finishing.emplace(customer->finish, customer);
      continue;
    }
    left -= std::max(needed, 0.0);
    this->virtual_time = std::max(this->virtual_time, bound);
    this->finishing.pop();
    customer->has_work = false;
    this->active_weight -= customer->weight;
  }
  // Rounding errors must not add up.
  this->active_weight = 0;
}

double FairQueueShares::AheadSeconds(const Customer& customer,
                                     double weight) const {
  const double all =
      customer.has_work ? this->active_weight : this->active_weight + weight;
  return std::max(customer.finish - this->virtual_time, 0.0) * all /
         std::max(this->cores, kLeastCores);
}

bool FairQueueShares::IsUsedUp(const jobs::CustomerDeclaration& customer,
                               SteadyTime now) {
  this->Advance(now);
  return this->AheadSeconds(this->customers[customer.name], customer.weight) >
         Seconds(this->settings.horizon).count();
}

bool FairQueueShares::CountJob(const jobs::CustomerDeclaration& declared,
                               const ShareRequest& request,
                               SteadyTime now) {
  if (this->IsUsedUp(declared, now)) {
    return true;
  }
  Customer& customer = this->customers[declared.name];
  const double weight = std::max(declared.weight, kLeastWeight);
  customer.finish = std::max(customer.finish, this->virtual_time) +
                    std::max(request.core_seconds, kLeastWork) / weight;
  if (!customer.has_work) {
    customer.has_work = true;
    customer.weight = weight;
    this->active_weight += weight;
    this->finishing.emplace(customer.finish, &customer);
  }
  return false;
}

}  // namespace sumac::scheduler
