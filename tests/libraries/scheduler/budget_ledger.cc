// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/scheduler/budget_ledger.h"

#include "libraries/base/text.h"

namespace sumac::scheduler {
namespace {

// A task that has been away for this long counts as away whatever the cause,
// under the platform's terms.
constexpr Milliseconds kCountedAbsence{4'500};

}  // namespace

void BudgetLedger::Observe(const FakeFleet& fleet) {
  for (const auto& [id, worker] : fleet.all_workers()) {
    this->ReadEnds(fleet, worker);
  }
  this->UpdateAbsences(fleet);
}

void BudgetLedger::ReadEnds(const FakeFleet& fleet, const FakeWorker& worker) {
  std::size_t& read = this->read_ends[worker.description.id];
  for (; read < worker.all_ends().size(); ++read) {
    const EndReport& end = worker.all_ends()[read];
    if (end.cause == EndCause::kStopped) {
      this->RecordStop(fleet, end);
    }
  }
}

void BudgetLedger::RecordStop(const FakeFleet& fleet, const EndReport& end) {
  const jobs::Job* job = fleet.state.FindJob(end.task.step.job);
  const jobs::StepSpec* step = fleet.state.FindStep(end.task);
  if (job == nullptr || !job->is_active() || !step->has_disruption_budget) {
    return;
  }
  ++this->stops;
  std::uint32_t away = 0;
  jobs::TaskId other{end.task.step, 0};
  for (; other.index < step->count; ++other.index) {
    const auto& absence = this->absences[other];
    const bool is_counted =
        absence &&
        (absence->is_ordered || fleet.now - absence->since >= kCountedAbsence);
    away += static_cast<std::uint32_t>(other != end.task && is_counted);
  }
  this->absences[end.task] = Absence{.since = fleet.now, .is_ordered = true};
  if (away >= step->disruption_budget) {
    this->problem = StrCat(end.task.ToText(), " run ", end.run.value(),
                           " was stopped while ", away, " others were away");
  }
}

void BudgetLedger::UpdateAbsences(const FakeFleet& fleet) {
  for (const auto& [sequence, job] : fleet.state.active_jobs()) {
    this->CountAbsent(fleet, *job);
  }
  for (const auto& [id, worker] : fleet.all_workers()) {
    for (const auto& [task, run] : worker.running()) {
      if (worker.is_up) {
        this->absences[task].reset();
      }
    }
  }
}

// Counts every task as absent from when it is first seen absent.
void BudgetLedger::CountAbsent(const FakeFleet& fleet, const jobs::Job& job) {
  for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
    jobs::TaskId task{{job.id, 0, step}, 0};
    for (; task.index < job.spec.steps[step].count; ++task.index) {
      auto& absence = this->absences[task];
      if (!absence) {
        absence = Absence{.since = fleet.now};
      }
    }
  }
}

}  // namespace sumac::scheduler
