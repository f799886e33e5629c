// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/near_wait.h"

namespace sumac::scheduler {

bool NearWait::ShouldWait(const jobs::StepId& step,
                          Milliseconds near_run,
                          SteadyTime now) {
  const auto [waiting, is_new] = this->since.try_emplace(step, now);
  return now - waiting->second < near_run;
}

void NearWait::DropFinished(const jobs::JobsState& state) {
  std::erase_if(this->since, [&](const auto& waiting) {
    const jobs::Job* job = state.FindJob(waiting.first.job);
    return job == nullptr || !job->is_active();
  });
}

}  // namespace sumac::scheduler
