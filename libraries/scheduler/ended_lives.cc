// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/ended_lives.h"

#include <algorithm>
#include <utility>

namespace sumac::scheduler {

void EndedLives::Note(const WorkerId& worker,
                      std::vector<jobs::CrashedRun> crashed_runs) {
  Life& life = this->lives[worker];
  std::move(crashed_runs.begin(), crashed_runs.end(),
            std::back_inserter(life.crashed_runs));
}

std::vector<jobs::Command> EndedLives::TakeDue(SteadyTime now,
                                               Milliseconds retry) {
  std::vector<jobs::Command> commands;
  for (auto& [worker, life] : this->lives) {
    if (now < life.ask_at) {
      continue;
    }
    life.ask_at = now + retry;
    commands.emplace_back(jobs::ForgetWorker{
        .worker = worker, .is_over = true, .crashed_runs = life.crashed_runs});
  }
  return commands;
}

std::vector<jobs::CrashedRun> EndedLives::Settle(const WorkerId& worker,
                                                 const jobs::JobsState& state) {
  const auto found = this->lives.find(worker);
  if (found == this->lives.end()) {
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
  this->lives.erase(found);
  return settled;
}

}  // namespace sumac::scheduler
