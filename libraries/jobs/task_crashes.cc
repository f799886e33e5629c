// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/task_crashes.h"

#include <algorithm>

#include "libraries/base/text.h"

namespace sumac::jobs {

bool TaskCrashes::Has(const RunNumber& run) const {
  return std::any_of(
      this->crashes.begin(), this->crashes.end(),
      [&run](const TaskCrash& crash) { return crash.run.run == run; });
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
  const std::size_t all = this->crashes.size();
  const std::size_t confirmed = this->CountConfirmed();
  const bool is_sole_culprit = all >= kOnlySuspectCrashLimit &&
                               all == confirmed &&
                               this->crashes.back().run.is_only_suspect;
  return is_sole_culprit || (all >= kCrashLimit && confirmed > 1) ||
         all >= kUnconfirmedCrashLimit;
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
              " at ", crash.at.time_since_epoch().count());
  }
  return text;
}

}  // namespace sumac::jobs
