// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/refused_callers.h"

namespace sumac::scheduler {

void RefusedCallers::RecordRefusal(const JobId& job, SteadyTime now) {
  if (this->first_asked.contains(job.value())) {
    return;
  }
  this->DropOld(now);
  this->first_asked.emplace(job.value(), now);
  this->order.emplace_back(now, job.value());
}

Milliseconds RefusedCallers::WaitingTimeOf(const JobId& job,
                                           SteadyTime now) const {
  const auto found = this->first_asked.find(job.value());
  return found == this->first_asked.end() ? Milliseconds(0)
                                          : now - found->second;
}

void RefusedCallers::DropOld(SteadyTime now) {
  while (!this->order.empty() &&
         (now - this->order.front().first > this->settings.kept ||
          this->order.size() >= this->settings.max_entries)) {
    this->first_asked.erase(this->order.front().second);
    this->order.pop_front();
  }
}

}  // namespace sumac::scheduler
