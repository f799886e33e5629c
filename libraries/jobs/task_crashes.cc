// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/task_crashes.h"

#include <algorithm>
#include <utility>

#include "libraries/base/text.h"

namespace sumac::jobs {
namespace {

bool IsBystanderCrash(const TaskCrash& crash) {
  return crash.run.IsBystander();
}

std::size_t CountBystanders(const std::vector<TaskCrash>& crashes) {
  return static_cast<std::size_t>(
      std::count_if(crashes.begin(), crashes.end(), IsBystanderCrash));
}

std::vector<TaskCrash>::const_iterator FindOldestBystander(
    const std::vector<TaskCrash>& crashes) {
  return std::find_if(crashes.begin(), crashes.end(), IsBystanderCrash);
}

}  // namespace

bool CrashedRun::IsBystander() const {
  return this->has_begun && this->survived >= TaskCrashes::kSuspectTime;
}

void TaskCrashes::Add(TaskCrash crash) {
  this->crashes.push_back(std::move(crash));
  if (CountBystanders(this->crashes) > kMaxBystanderCrashes) {
    this->crashes.erase(FindOldestBystander(this->crashes));
  }
}

// NOTE: A task's next run is ordered once the crash of the one before is
// recorded, so crashes are recorded in the order of their runs.
bool TaskCrashes::Has(const RunNumber& run) const {
  const bool is_kept = std::any_of(
      this->crashes.begin(), this->crashes.end(),
      [&run](const TaskCrash& crash) { return crash.run.run == run; });
  const bool may_have_dropped =
      CountBystanders(this->crashes) >= kMaxBystanderCrashes;
  return is_kept || (may_have_dropped &&
                     run < FindOldestBystander(this->crashes)->run.run);
}

std::size_t TaskCrashes::CountEvidence() const {
  return this->crashes.size() - CountBystanders(this->crashes);
}

std::size_t TaskCrashes::CountConfirmed() const {
  const auto confirmed = std::count_if(
      this->crashes.begin(), this->crashes.end(), [](const TaskCrash& crash) {
        return crash.run.has_begun && !crash.run.may_have_ended &&
               crash.run.survived < kSuspectTime;
      });
  return static_cast<std::size_t>(confirmed);
}

bool TaskCrashes::IsOverLimit() const {
  const auto last = std::find_if_not(this->crashes.rbegin(),
                                     this->crashes.rend(), IsBystanderCrash);
  if (last == this->crashes.rend()) {
    return false;
  }
  const std::size_t evidence = this->CountEvidence();
  const std::size_t confirmed = this->CountConfirmed();
  const bool is_sole_culprit = evidence >= kOnlySuspectCrashLimit &&
                               evidence == confirmed &&
                               last->run.is_only_suspect;
  return is_sole_culprit || (evidence >= kCrashLimit && confirmed > 1) ||
         evidence >= kUnconfirmedCrashLimit;
}

bool TaskCrashes::IsSuspect() const {
  return this->crashes.size() > 1 ||
         (!this->crashes.empty() &&
          this->crashes.back().run.survived < kSuspectTime);
}

std::string TaskCrashes::ToText() const {
  std::string text;
  for (const TaskCrash& crash : this->crashes) {
    StrAppend(&text, text.empty() ? "" : ", ", "worker ", crash.worker.value(),
              " at ", crash.at.time_since_epoch().count(),
              crash.run.IsBystander() ? " (bystander)" : "");
  }
  return text;
}

}  // namespace sumac::jobs
