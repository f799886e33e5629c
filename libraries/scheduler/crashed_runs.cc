// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/crashed_runs.h"

#include <algorithm>

namespace sumac::scheduler {
namespace {

// A long-running task outlives many crashes of its workers, whatever causes
// them. One that had been running for this long on a worker is not considered a
// cause of its crash.
constexpr Milliseconds kUnsuspiciousTime{5'000};

// Returns a lower bound of how long a run had gone on when its worker last
// answered. The start of an adopted run is unknown, but a task that crashes its
// worker does so before another leader can adopt it.
Milliseconds SurvivedTime(const WorkerSession& session, const Run& run) {
  const Milliseconds known =
      std::max(session.last_answer - run.ordered_at, Milliseconds(0));
  return run.is_adopted ? std::max(known, jobs::TaskCrashes::kSuspectTime)
                        : known;
}

bool HasCommittedCrashes(const jobs::JobsState& state,
                         const jobs::TaskId& task) {
  const jobs::Job* job = state.FindJob(task.step.job);
  return job != nullptr && job->FindCrashes(task) != nullptr;
}

// Marks the only suspect of a crash, if there is exactly one. Suspects are the
// runs that began shortly before the crash: those of tasks with earlier crashes
// or, if there are none, all of them.
void MarkOnlySuspect(const jobs::JobsState& state,
                     std::vector<jobs::CrashedRun>& runs) {
  std::vector<jobs::CrashedRun*> recent;
  std::vector<jobs::CrashedRun*> repeated;
  for (jobs::CrashedRun& run : runs) {
    if (run.survived >= jobs::TaskCrashes::kSuspectTime) {
      continue;
    }
    recent.push_back(&run);
    if (HasCommittedCrashes(state, run.task)) {
      repeated.push_back(&run);
    }
  }
  const std::vector<jobs::CrashedRun*>& suspects =
      repeated.empty() ? recent : repeated;
  if (suspects.size() == 1) {
    suspects.front()->is_only_suspect = true;
  }
}

}  // namespace

std::vector<jobs::CrashedRun> FindCrashedRuns(const WorkerSession& session,
                                              const jobs::JobsState& state) {
  std::vector<jobs::CrashedRun> crashed;
  for (const auto& [key, run] : session.runs()) {
    const jobs::StepSpec* step = state.FindStep(run.task);
    const Milliseconds survived = SurvivedTime(session, run);
    const bool is_unsuspicious = step != nullptr && step->is_long_running &&
                                 survived >= kUnsuspiciousTime;
    if (step != nullptr && !is_unsuspicious) {
      crashed.push_back(
          jobs::CrashedRun{.task = run.task,
                           .run = run.number,
                           .has_begun = run.confirmed_clock.has_value(),
                           .survived = survived,
                           .may_have_ended = session.has_timed_out()});
    }
  }
  MarkOnlySuspect(state, crashed);
  return crashed;
}

}  // namespace sumac::scheduler
