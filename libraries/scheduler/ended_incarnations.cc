// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/ended_incarnations.h"

#include <algorithm>
#include <utility>

namespace sumac::scheduler {

void EndedIncarnations::Add(const WorkerId& worker,
                            std::vector<jobs::CrashedRun> crashed_runs) {
  Incarnation& incarnation = this->incarnations[worker];
  std::move(crashed_runs.begin(), crashed_runs.end(),
            std::back_inserter(incarnation.crashed_runs));
}

std::vector<jobs::Command> EndedIncarnations::TakeDue(SteadyTime now,
                                                      Milliseconds retry) {
  std::vector<jobs::Command> commands;
  for (auto& [worker, incarnation] : this->incarnations) {
    if (now < incarnation.submit_at) {
      continue;
    }
    incarnation.submit_at = now + retry;
    commands.emplace_back(
        jobs::ForgetWorker{.worker = worker,
                           .is_over = true,
                           .crashed_runs = incarnation.crashed_runs});
  }
  return commands;
}

std::vector<jobs::CrashedRun> EndedIncarnations::Settle(
    const WorkerId& worker,
    const jobs::JobsState& state) {
  const auto found = this->incarnations.find(worker);
  if (found == this->incarnations.end()) {
    return {};
  }
  std::vector<jobs::CrashedRun>& runs = found->second.crashed_runs;
  const bool is_settled = std::all_of(
      runs.begin(), runs.end(),
      [&](const jobs::CrashedRun& run) { return state.IsCrashSettled(run); });
  if (!is_settled) {
    return {};
  }
  std::vector<jobs::CrashedRun> settled = std::move(runs);
  this->incarnations.erase(found);
  return settled;
}

}  // namespace sumac::scheduler
