// SPDX-License-Identifier: Apache-2.0
#include "tests/stand_ins/soak_checks.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "libraries/base/text.h"

namespace sumac::stand_ins {
namespace {

using Texts = std::vector<std::string>;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

// The disruption budget that the stand-in callers give each lasting step, in
// tasks.
constexpr std::int64_t kBudget = 1;
// The platform's notice_ms, contact_ms and visible_ms as docs/PROTOCOLS.md
// defines them: after kNotice a missing task counts as away for any cause; a
// fault of a link excuses orders over it for kContact; an accepted job is known
// everywhere after kVisible.
constexpr Milliseconds kNotice{4'500};
constexpr Milliseconds kContact{3'000};
constexpr Milliseconds kVisible{3'000};
// A start order may be in flight while another controller learns of the end.
constexpr Milliseconds kDoneSlack{1'000};
// No order is valid for longer than a lease of 6 s, and faults last up to 4 s.
constexpr Milliseconds kCancelSlack{10'000};

std::string Describe(const SeenRun& run) {
  return StrCat(run.task.ToText(), " run ", run.number, " at ", run.worker,
                " from ", run.began_at.time_since_epoch().count(), " to ",
                run.ended_at == WallTime::max()
                    ? std::string("now")
                    : StrCat(run.ended_at.time_since_epoch().count()),
                " ", run.cause);
}

std::string JobOf(const SeenRun& run) {
  return run.task.step.job.value();
}

using RunsByTask = std::map<jobs::TaskId, std::vector<const SeenRun*>>;

// Groups the runs by task, in the order of their starts.
RunsByTask GroupByTask(const SoakHistory& history) {
  RunsByTask groups;
  for (const SeenRun& run : history.runs()) {
    groups[run.task].push_back(&run);
  }
  return groups;
}

bool IsRefusal(const SeenCall& call) {
  return call.status == kTooMany || call.status == kUnavailable ||
         call.status == kNotFound;
}

bool WasRefused(const SeenJob& job) {
  return !job.submits.empty() &&
         std::all_of(job.submits.begin(), job.submits.end(), IsRefusal);
}

const SeenCall* FirstWithStatus(const std::vector<SeenCall>& calls,
                                int status) {
  const auto found =
      std::find_if(calls.begin(), calls.end(),
                   [&](const SeenCall& call) { return call.status == status; });
  return found == calls.end() ? nullptr : &*found;
}

const SeenCall* FirstShown(const SeenJob& job, const std::string& state) {
  const auto found =
      std::find_if(job.shows.begin(), job.shows.end(),
                   [&](const SeenCall& call) { return call.state == state; });
  return found == job.shows.end() ? nullptr : &*found;
}

// Returns the rank of a job's state in the order of progress, or nullopt for an
// unknown state.
std::optional<int> RankOf(const std::string& state) {
  if (state == "queued") {
    return 0;
  }
  if (state == "running") {
    return 1;
  }
  if (state == "done" || state == "failed" || state == "cancelled") {
    return 2;
  }
  return std::nullopt;
}

// Returns the kind of violation if a job that was shown as in `earlier` must
// not be shown as in `later` afterwards; empty if it may.
std::string_view FindBadTransition(const SeenCall& earlier,
                                   const SeenCall& later) {
  const auto earlier_rank = RankOf(earlier.state);
  const auto later_rank = RankOf(later.state);
  if (!earlier_rank || !later_rank || later.sent_at <= earlier.answered_at) {
    return "";
  }
  if (*earlier_rank == 2) {
    return later.state == earlier.state ? "" : "shown older";
  }
  return *later_rank < *earlier_rank ? "queued again" : "";
}

// Reports the first violation of each kind.
void CheckShownOrder(const std::string& id,
                     const SeenJob& job,
                     Texts& violations) {
  std::set<std::string_view> kinds;
  for (auto later = job.shows.begin(); later != job.shows.end(); ++later) {
    for (auto earlier = job.shows.begin(); earlier != later; ++earlier) {
      const std::string_view kind = FindBadTransition(*earlier, *later);
      if (!kind.empty() && kinds.insert(kind).second) {
        violations.push_back(
            StrCat(kind, ": job ", id, " ", later->state, " at ",
                   later->answered_at.time_since_epoch().count(), " after ",
                   earlier->state, " at ",
                   earlier->answered_at.time_since_epoch().count()));
      }
    }
  }
}

void CheckKnown(const std::string& id, const SeenJob& job, Texts& violations) {
  const SeenCall* accepted = FirstWithStatus(job.submits, kOk);
  for (const SeenCall& call : job.shows) {
    const bool is_unknown = call.status == kGone || call.status == kNotFound;
    if (accepted != nullptr && is_unknown &&
        call.sent_at > accepted->answered_at + kVisible) {
      violations.push_back(StrCat("accepted job ", id, " unknown (",
                                  call.status, ") at ",
                                  call.answered_at.time_since_epoch().count()));
    }
    if (call.status == kOk && !RankOf(call.state)) {
      violations.push_back(StrCat("job ", id, " shown without a state at ",
                                  call.answered_at.time_since_epoch().count()));
    }
  }
}

void CheckComplete(const std::string& id,
                   const std::vector<SeenCall>& calls,
                   Texts& violations) {
  for (const SeenCall& call : calls) {
    if (call.error == "cut answer") {
      violations.push_back(StrCat("answer about job ", id, " cut at ",
                                  call.answered_at.time_since_epoch().count()));
    }
  }
}

// Counts the tasks of `job` of which no run ended as done by `time`.
std::int64_t CountUnfinished(const std::string& id,
                             const SeenJob& job,
                             const RunsByTask& runs,
                             WallTime time) {
  std::int64_t unfinished = 0;
  for (std::uint32_t step = 0; step < job.counts.size(); ++step) {
    for (std::uint32_t index = 0; index < job.counts[step]; ++index) {
      const auto found =
          runs.find({.step = {.job = JobId(id), .occurrence = 0, .step = step},
                     .index = index});
      const bool is_done =
          found != runs.end() &&
          std::any_of(found->second.begin(), found->second.end(),
                      [&](const SeenRun* run) {
                        return run->cause == "done" && run->ended_at <= time;
                      });
      unfinished += is_done ? 0 : 1;
    }
  }
  return unfinished;
}

// Returns whether the last run of a task was stopped, or ended at least kNotice
// before `time`. A task that never began is not away, since no order ended it.
bool IsAway(const std::vector<const SeenRun*>& runs, WallTime time) {
  const SeenRun* last = nullptr;
  for (const SeenRun* run : runs) {
    if (run->began_at <= time &&
        (last == nullptr || run->began_at >= last->began_at)) {
      last = run;
    }
  }
  if (last == nullptr || last->ended_at > time) {
    return false;
  }
  return last->cause == "stopped" || time - last->ended_at >= kNotice;
}

bool IsExcused(const SoakHistory& history, const SeenRun& stopped) {
  const SeenIncarnation& incarnation =
      history.incarnations().at(stopped.worker);
  if (incarnation.leaves_at && *incarnation.leaves_at <= stopped.ended_at) {
    return true;
  }
  const auto [first, last] =
      history.injected_faults().equal_range(incarnation.address);
  if (std::any_of(first, last, [&](const auto& fault) {
        return fault.second <= stopped.ended_at &&
               fault.second + kContact >= stopped.ended_at;
      })) {
    return true;
  }
  const auto job = history.jobs().find(JobOf(stopped));
  return job != history.jobs().end() &&
         std::any_of(job->second.cancels.begin(), job->second.cancels.end(),
                     [&](const SeenCall& cancel) {
                       return cancel.sent_at <= stopped.ended_at;
                     });
}

std::int64_t CountOthersAway(const RunsByTask& groups, const SeenRun& stopped) {
  std::int64_t away = 0;
  for (const auto& [task, runs] : groups) {
    const bool is_other =
        task.step == stopped.task.step && task.index != stopped.task.index;
    away += is_other && IsAway(runs, stopped.ended_at) ? 1 : 0;
  }
  return away;
}

}  // namespace

Texts FindDoubleRuns(const SoakHistory& history) {
  Texts violations;
  for (const auto& [task, runs] : GroupByTask(history)) {
    const SeenRun* longest = nullptr;
    const SeenRun* done = nullptr;
    for (const SeenRun* run : runs) {
      if (longest != nullptr && longest->ended_at > run->began_at) {
        violations.push_back(StrCat("twice at once: ", Describe(*longest), "; ",
                                    Describe(*run)));
      }
      if (done != nullptr && done->ended_at < run->began_at) {
        violations.push_back(StrCat("started after an acknowledged end: ",
                                    Describe(*done), "; ", Describe(*run)));
      }
      if (longest == nullptr || run->ended_at > longest->ended_at) {
        longest = run;
      }
      if (run->cause == "done" && run->acknowledged_at && !run->is_lasting) {
        done = run;
      }
    }
  }
  return violations;
}

Texts FindUnrequestedRuns(const SoakHistory& history) {
  Texts violations;
  for (const SeenRun& run : history.runs()) {
    const auto found = history.jobs().find(JobOf(run));
    if (found == history.jobs().end()) {
      violations.push_back(StrCat("nobody sent the job of ", Describe(run)));
      continue;
    }
    const SeenJob& job = found->second;
    const SeenCall* done = FirstShown(job, "done");
    const SeenCall* cancelled = FirstWithStatus(job.cancels, kOk);
    if (WasRefused(job)) {
      violations.push_back(StrCat("refused, but started: ", Describe(run)));
    }
    if (done != nullptr && run.began_at > done->answered_at + kDoneSlack) {
      violations.push_back(StrCat("shown done, but started: ", Describe(run)));
    }
    if (cancelled != nullptr &&
        run.began_at > cancelled->answered_at + kCancelSlack) {
      violations.push_back(StrCat("cancelled, but started: ", Describe(run)));
    }
    if (FirstWithStatus(job.cancels, kGone) != nullptr) {
      violations.push_back(StrCat(
          "cancelled before it was known, but started: ", Describe(run)));
    }
  }
  return violations;
}

Texts FindWrongAnswers(const SoakHistory& history) {
  Texts violations;
  const RunsByTask runs = GroupByTask(history);
  for (const auto& [id, job] : history.jobs()) {
    CheckComplete(id, job.submits, violations);
    CheckComplete(id, job.shows, violations);
    CheckComplete(id, job.cancels, violations);
    CheckKnown(id, job, violations);
    CheckShownOrder(id, job, violations);
    const SeenCall* done = FirstShown(job, "done");
    if (done != nullptr &&
        CountUnfinished(id, job, runs, done->answered_at) > 0) {
      violations.push_back(
          StrCat("job ", id, " shown done too early at ",
                 done->answered_at.time_since_epoch().count()));
    }
  }
  return violations;
}

Texts FindBudgetOverruns(const SoakHistory& history) {
  Texts violations;
  const RunsByTask groups = GroupByTask(history);
  for (const SeenRun& run : history.runs()) {
    if (!run.is_lasting || run.cause != "stopped" || IsExcused(history, run)) {
      continue;
    }
    const std::int64_t away = CountOthersAway(groups, run);
    if (away >= kBudget) {
      violations.push_back(
          StrCat("stopped while ", away,
                 " others of its step are away: ", Describe(run)));
    }
  }
  return violations;
}

Texts FindUnfinishedJobs(const SoakHistory& history) {
  Texts violations;
  for (const auto& [id, job] : history.jobs()) {
    const bool is_accepted = FirstWithStatus(job.submits, kOk) != nullptr;
    if (is_accepted && job.cancels.empty() &&
        FirstShown(job, "done") == nullptr) {
      violations.push_back(StrCat("job ", id, " is accepted and never done"));
    }
  }
  return violations;
}

Texts FindViolations(const SoakHistory& history) {
  Texts violations;
  for (auto* const find : {FindDoubleRuns, FindUnrequestedRuns,
                           FindWrongAnswers, FindBudgetOverruns}) {
    Texts found = find(history);
    std::move(found.begin(), found.end(), std::back_inserter(violations));
  }
  for (const std::string& process : history.unexpected_exits()) {
    violations.push_back(StrCat(process, " ended by itself"));
  }
  return violations;
}

}  // namespace sumac::stand_ins
