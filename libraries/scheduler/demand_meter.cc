// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/demand_meter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libraries/scheduler/placement.h"

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

// Returns whether the job can be in time. A job that has begun can until its
// time is over: its tasks may be about to end.
Lateness DemandMeter::LatenessOf(const jobs::Job& job,
                                 std::uint32_t occurrence,
                                 WallTime wall_now) const {
  constexpr bool kBySlack = true;
  const UrgencyBasis urgency = UrgencyBasisOf(
      job, occurrence, this->state.declaration().FindQueue(job.queue),
      this->run_times, kBySlack);
  const bool has_begun = job.has_begun || !job.occurrences.empty();
  return has_begun && wall_now <= urgency.in_time_until
             ? Lateness::kInTime
             : urgency.At(wall_now).lateness;
}

// Adds the needs of one occurrence's steps that run or could run now.
void DemandMeter::AddOccurrence(const jobs::Job& job,
                                std::uint32_t occurrence,
                                WallTime wall_now,
                                QuotaLeft& quota_left,
                                Measured& measured) const {
  jobs::ServiceDemand& service = measured.demand;
  const Lateness lateness = this->LatenessOf(job, occurrence, wall_now);
  std::int64_t in_time_millicores = 0;
  for (std::uint32_t number = 0; number < job.spec.steps.size(); ++number) {
    const jobs::StepSpec& step = job.spec.steps[number];
    const bool is_counted = step.is_long_running || !step.is_filler;
    if (!is_counted || job.IsStepDone(occurrence, number) ||
        !job.IsStepReady(occurrence, number)) {
      continue;
    }
    const std::int64_t left = step.count - job.CountDone(occurrence, number);
    const jobs::Resources need = Placement::CountedNeed(step);
    const std::int64_t allowed = quota_left.Take(job, left * need.millicores);
    const std::int64_t allowed_tasks =
        need.millicores == 0 ? left : allowed / need.millicores;
    if (step.most_per_worker > 0 && allowed > 0) {
      service.min_instances =
          std::max(service.min_instances,
                   (left + step.most_per_worker - 1) / step.most_per_worker);
    }
    const jobs::TaskGroup group{.count = allowed_tasks,
                                .need = need,
                                .most_per_worker = step.most_per_worker,
                                .required_label = step.required_label};
    const bool is_late = !step.is_long_running && lateness != Lateness::kInTime;
    if (step.is_long_running) {
      service.long_running_millicores += allowed;
      service.long_running_tasks.push_back(group);
    } else if (lateness == Lateness::kInTime) {
      service.short_millicores += allowed;
      service.short_tasks.push_back(group);
      in_time_millicores += allowed;
    } else if (lateness == Lateness::kLate) {
      service.late_millicores += allowed;
    } else {
      service.worthless_millicores += allowed;
    }
    if (!step.required_label.empty()) {
      jobs::LabelDemand& labelled = service.by_label[step.required_label];
      (is_late ? labelled.late_millicores : labelled.millicores) += allowed;
    }
  }
  const auto size = static_cast<double>(in_time_millicores);
  measured.sum_of_squares += size * size;
}

// Adds the load of the jobs that arrive, and its growth if that is more than
// chance. While it grows, the deviation of the present demand says little about
// the demand when more instances have moved.
void DemandMeter::AddArrivals(Measured& measured,
                              const ArrivalRate::Load& load) {
  jobs::ServiceDemand& demand = measured.demand;
  const std::int64_t present = demand.short_millicores;
  demand.short_millicores =
      std::max(present, load.is_rising ? load.forecast : load.seen);
  if (present > 0 && !load.is_rising) {
    // The deviation grows with the root of the number of jobs.
    const double ratio = static_cast<double>(demand.short_millicores) /
                         static_cast<double>(present);
    demand.deviation_millicores =
        static_cast<std::int64_t>(std::sqrt(measured.sum_of_squares * ratio));
  }
}

std::map<ServiceName, jobs::ServiceDemand> DemandMeter::Measure(
    SteadyTime now,
    WallTime wall_now) {
  this->RecordArrivals(now);
  std::map<ServiceName, Measured> measured;
  QuotaLeft quota_left(this->state.declaration());
  for (const auto& [sequence, job] : this->state.active_jobs()) {
    for (std::uint32_t occurrence = 0; occurrence < job->spec.occurrences() &&
                                       job->DueAt(occurrence) <= wall_now;
         ++occurrence) {
      this->AddOccurrence(*job, occurrence, wall_now, quota_left,
                          measured[job->service]);
    }
  }
  this->customers_above_quota = quota_left.exhausted();
  for (auto& [service, rate] : this->arrivals) {
    measured[service];
  }
  std::map<ServiceName, jobs::ServiceDemand> demand;
  for (auto& [service, of_service] : measured) {
    const auto rate = this->arrivals.find(service);
    AddArrivals(of_service, rate == this->arrivals.end()
                                ? ArrivalRate::Load{}
                                : rate->second.Measure(this->forecast, now));
    demand[service] = std::move(of_service.demand);
  }
  return demand;
}

}  // namespace sumac::scheduler
