// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/scheduler/run_ledger.h"

#include "libraries/base/text.h"

namespace sumac::scheduler {

void RunLedger::Observe(const FakeFleet& fleet) {
  for (const auto& [id, worker] : fleet.all_workers()) {
    this->ReadEnds(fleet, worker);
  }
  this->UpdateRecordedEnds(fleet);
  // Within one step of the clock, runs end before others start.
  for (const auto& [id, worker] : fleet.all_workers()) {
    this->ReadStarts(fleet, worker);
  }
  this->CountRunning(fleet);
}

void RunLedger::ReadEnds(const FakeFleet& fleet, const FakeWorker& worker) {
  const WorkerId& id = worker.description.id;
  std::size_t& read = this->positions[id].ends;
  for (; read < worker.all_ends().size(); ++read) {
    const EndReport& end = worker.all_ends()[read];
    const bool is_done = end.cause == EndCause::kDone;
    const jobs::StepSpec* step = fleet.state.FindStep(end.task);
    const bool is_final = is_done || end.cause == EndCause::kFailed;
    // Long-running tasks are started again however they end.
    if (is_final && step != nullptr && !step->is_long_running) {
      this->final_ends[end.task].push_back(FinalEnd{.worker = id,
                                                    .number = end.number,
                                                    .run = end.run,
                                                    .is_done = is_done});
    }
  }
}

void RunLedger::UpdateRecordedEnds(const FakeFleet& fleet) {
  for (auto& [task, ends] : this->final_ends) {
    for (FinalEnd& end : ends) {
      const FakeWorker& worker = fleet.all_workers().at(end.worker);
      if (end.is_recorded || end.is_excused) {
        continue;
      }
      end.is_recorded = worker.acknowledged_ends() >= end.number;
      end.is_excused = !end.is_recorded && !worker.HasLease(fleet.now);
      if (end.is_recorded && end.is_done && !end.later_start.empty()) {
        this->problem =
            StrCat(task.ToText(), " run ", end.run.value(), " was done on ",
                   end.worker.value(), ", then started ", end.later_start);
      }
    }
  }
}

void RunLedger::ReadStarts(const FakeFleet& fleet, const FakeWorker& worker) {
  const WorkerId& id = worker.description.id;
  std::size_t& read = this->positions[id].starts;
  for (; read < worker.begun_runs().size(); ++read) {
    const auto& [task, run] = worker.begun_runs()[read];
    this->RecordStart(fleet, task,
                      StrCat("run ", run.value(), " on ", id.value()));
  }
}

void RunLedger::RecordStart(const FakeFleet& fleet,
                            const jobs::TaskId& task,
                            const std::string& start) {
  std::uint32_t failures = 0;
  for (FinalEnd& end : this->final_ends[task]) {
    end.later_start = start;
    failures += static_cast<std::uint32_t>(!end.is_done && end.is_recorded);
    if (end.is_done && end.is_recorded) {
      this->problem =
          StrCat(task.ToText(), " was recorded as done, then started ", start);
    }
  }
  const jobs::Job* job = fleet.state.FindJob(task.step.job);
  if (job == nullptr) {
    this->problem = StrCat(task.ToText(), " belongs to no known job");
  } else if (failures >= job->most_attempts) {
    this->problem = StrCat(task.ToText(), " failed ", failures,
                           " times, then started ", start);
  }
}

void RunLedger::CountRunning(const FakeFleet& fleet) {
  std::map<jobs::TaskId, std::string> running;
  for (const auto& [id, worker] : fleet.all_workers()) {
    if (!worker.is_up) {
      continue;
    }
    for (const auto& [task, present] : worker.running()) {
      const std::string here =
          StrCat("run ", present.run.value(), " on ", id.value());
      const auto [other, is_only] = running.try_emplace(task, here);
      if (!is_only) {
        this->problem =
            StrCat(task.ToText(), " runs twice at once: ", other->second,
                   " and ", here);
      }
    }
  }
}

}  // namespace sumac::scheduler
