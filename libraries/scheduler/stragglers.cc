// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/stragglers.h"

#include <algorithm>
#include <set>

namespace sumac::scheduler {
namespace {

constexpr std::int64_t kWholePercent = 100;
// The patience with a run whose task was given up max_moves times already; it
// doubles with each further move, up to kMaxDoublings times.
constexpr Milliseconds kFirstPatience{5'000};
constexpr std::uint32_t kMaxDoublings = 6;

// Returns for how long a run must stand still, or how much longer than
// elsewhere it must still take, to be given up.
Milliseconds PatienceWith(std::uint32_t moves, std::uint32_t max_moves) {
  if (moves < max_moves) {
    return Milliseconds(0);
  }
  return kFirstPatience * (1 << std::min(moves - max_moves, kMaxDoublings));
}

}  // namespace

std::vector<Straggler> Stragglers::Find(Sessions& sessions, SteadyTime now) {
  std::vector<Straggler> found;
  for (auto& [id, session] : sessions) {
    if (session.is_answering()) {
      this->FindOnWorker(session, now, found);
    }
  }
  return found;
}

// Returns the progress of a run, or nothing if its progress does not depend on
// its worker alone: members of a gang wait for each other, and fillers yield to
// other runs.
std::optional<RunProgress> Stragglers::ProgressOf(const WorkerSession& session,
                                                  const Run& run) const {
  // The expected time until a long-running task is up and running.
  constexpr Milliseconds kLongRunningStart{1'500};
  // The session's own data excludes most runs before their jobs are looked up.
  const bool is_at_its_end = run.percent >= kWholePercent;
  if (run.phase != RunPhase::kRunning || run.is_filler || is_at_its_end) {
    return std::nullopt;
  }
  const jobs::Job* job = this->state.FindJob(run.task.step.job);
  if (job == nullptr || !job->HasTask(run.task)) {
    return std::nullopt;
  }
  const jobs::StepSpec* step = &job->spec.steps[run.task.step.step];
  if (step->is_gang) {
    return std::nullopt;
  }
  return RunProgress{
      .elapsed = session.last_answer - run.ordered_at,
      .percent = run.percent,
      .since_change = session.last_answer - run.percent_changed_at,
      .expected = step->is_long_running
                      ? kLongRunningStart
                      : this->run_times.Expect(job->queue, *step)};
}

void Stragglers::FindOnWorker(WorkerSession& session,
                              SteadyTime now,
                              std::vector<Straggler>& found) {
  struct Suspect {
    Run* run;
    RunProgress progress;
    RunPace pace;
  };
  std::vector<Suspect> suspects;
  std::set<JobId> slow_jobs;
  std::size_t normal = 0;
  bool is_slow = false;
  const WorkerId& worker = session.worker().id;
  for (auto& [key, run] : session.runs()) {
    const auto progress = this->ProgressOf(session, run);
    if (!progress) {
      continue;
    }
    const RunPace pace = ClassifyProgress(*progress);
    normal += static_cast<std::size_t>(pace == RunPace::kNormal);
    if (pace == RunPace::kStalled) {
      this->health.RecordStall(worker, now);
    } else if (pace == RunPace::kSlow || pace == RunPace::kVerySlow) {
      // The submitter's estimate alone is too unreliable.
      const jobs::Job* job = this->state.FindJob(run.task.step.job);
      if (!this->run_times.IsKnown(job->queue)) {
        continue;
      }
      slow_jobs.insert(job->id);
      is_slow = is_slow || pace == RunPace::kVerySlow;
    } else {
      continue;
    }
    suspects.push_back({&run, *progress, pace});
  }
  // A single slow run may just be a long task; slow runs of several jobs
  // indicate a slow worker.
  is_slow = is_slow || (slow_jobs.size() > 1 && suspects.size() > normal);
  if (is_slow) {
    this->health.RecordSlowness(worker, now);
  }
  for (const auto& [run, progress, pace] : suspects) {
    if ((pace == RunPace::kStalled || is_slow) &&
        this->IsBetterElsewhere(session, *run, progress, pace)) {
      found.push_back({&session, run, pace});
    }
  }
}

bool Stragglers::IsBetterElsewhere(const WorkerSession& session,
                                   const Run& run,
                                   const RunProgress& progress,
                                   RunPace pace) const {
  // The overhead of a stop, its report and another start.
  constexpr Milliseconds kRestart{700};
  const jobs::Job* job = this->state.FindJob(run.task.step.job);
  const TaskMemory* memory = this->tasks.Find(run.task);
  if (memory == nullptr) {
    return false;
  }
  const Milliseconds patience = PatienceWith(memory->moves, this->max_moves);
  if (pace == RunPace::kStalled) {
    if (progress.since_change < patience) {
      return false;
    }
  } else {
    const std::int64_t percent = std::max<std::int64_t>(run.percent, 1);
    const Milliseconds left =
        progress.elapsed * (kWholePercent - percent) / percent;
    if (left < progress.expected + kRestart + patience) {
      return false;
    }
  }
  const WorkerSession* other = this->placement.Choose(
      PlacementRequest{.job = job,
                       .task = run.task,
                       .memory = memory,
                       .other_than = session.worker().id,
                       .advice = this->advice_for(*job)});
  return other != nullptr && this->placement.IsHealthy(*other);
}

}  // namespace sumac::scheduler
