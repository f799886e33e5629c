// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/demand_meter.h"

#include <algorithm>

#include "libraries/scheduler/urgency.h"

namespace sumac::scheduler {

std::int64_t DemandMeter::QuotaLeft::Take(const jobs::Job& job,
                                          std::int64_t wanted) {
  if (job.customer.value().empty()) {
    return wanted;
  }
  const jobs::CustomerDeclaration* customer =
      this->declaration.FindCustomer(job.customer);
  if (customer == nullptr || customer->quota.millicores == 0) {
    return wanted;
  }
  std::int64_t& left =
      this->left.try_emplace(job.customer, customer->quota.millicores)
          .first->second;
  const std::int64_t taken = std::min(left, wanted);
  left -= taken;
  if (taken < wanted) {
    this->exhausted_customers.insert(job.customer);
  }
  return taken;
}

// Counts the jobs that were accepted since the last call.
void DemandMeter::RecordArrivals(SteadyTime now) {
  const auto& active = this->state.active_jobs();
  for (auto item = active.lower_bound(this->next_arrival); item != active.end();
       ++item) {
    const jobs::Job& job = *item->second;
    this->next_arrival = item->first + 1;
    if (job.sequence < this->first_own_sequence || job.spec.repeats > 0 ||
        this->customers_above_quota.contains(job.customer)) {
      continue;
    }
    std::int64_t millicore_time = 0;
    for (const jobs::StepSpec& step : job.spec.steps) {
      if (!step.is_long_running && !step.is_filler) {
        millicore_time += step.count * step.need.millicores *
                          this->run_times.Expect(job.queue, step).count();
      }
    }
    if (millicore_time > 0) {
      this->arrivals[job.service].Add(millicore_time, now);
    }
  }
}

// Adds the needs of one occurrence's steps that run or could run now.
void DemandMeter::AddOccurrence(const jobs::Job& job,
                                std::uint32_t occurrence,
                                WallTime wall_now,
                                QuotaLeft& quota_left,
                                jobs::ServiceDemand& service) const {
  constexpr bool kBySlack = true;
  const UrgencyBasis urgency = UrgencyBasisOf(
      job, occurrence, this->state.declaration().FindQueue(job.queue),
      this->run_times, kBySlack);
  const bool is_worthless =
      urgency.At(wall_now).lateness == Lateness::kWorthless;
  for (std::uint32_t number = 0; number < job.spec.steps.size(); ++number) {
    const jobs::StepSpec& step = job.spec.steps[number];
    if (step.is_filler || job.IsStepDone(occurrence, number) ||
        !job.IsStepReady(occurrence, number)) {
      continue;
    }
    const std::int64_t left = step.count - job.CountDone(occurrence, number);
    const std::int64_t allowed =
        quota_left.Take(job, left * step.need.millicores);
    if (step.most_per_worker > 0 && allowed > 0) {
      service.min_instances =
          std::max(service.min_instances,
                   (left + step.most_per_worker - 1) / step.most_per_worker);
    }
    std::int64_t& millicores = step.is_long_running
                                   ? service.long_running_millicores
                               : is_worthless ? service.late_millicores
                                              : service.short_millicores;
    millicores += allowed;
    if (!step.required_label.empty()) {
      jobs::LabelDemand& labelled = service.by_label[step.required_label];
      const bool is_late = is_worthless && !step.is_long_running;
      (is_late ? labelled.late_millicores : labelled.millicores) += allowed;
    }
  }
}

std::map<ServiceName, jobs::ServiceDemand> DemandMeter::Measure(
    SteadyTime now,
    WallTime wall_now) {
  this->RecordArrivals(now);
  std::map<ServiceName, jobs::ServiceDemand> demand;
  QuotaLeft quota_left(this->state.declaration());
  for (const auto& [sequence, job] : this->state.active_jobs()) {
    for (std::uint32_t occurrence = 0; occurrence < job->spec.occurrences() &&
                                       job->DueAt(occurrence) <= wall_now;
         ++occurrence) {
      this->AddOccurrence(*job, occurrence, wall_now, quota_left,
                          demand[job->service]);
    }
  }
  this->customers_above_quota = quota_left.exhausted();
  for (auto& [service, rate] : this->arrivals) {
    jobs::ServiceDemand& needed = demand[service];
    needed.short_millicores = std::max(
        needed.short_millicores, rate.ForecastMillicores(this->forecast, now));
  }
  return demand;
}

}  // namespace sumac::scheduler
