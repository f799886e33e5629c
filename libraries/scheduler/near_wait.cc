// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/near_wait.h"

#include <algorithm>

namespace sumac::scheduler {

bool NearWait::ShouldWait(const jobs::StepId& step,
                          Milliseconds near_run,
                          bool is_half_free,
                          SteadyTime now) {
  const auto [waiting, is_new] = this->since.try_emplace(step, now);
  const Milliseconds limit =
      is_half_free ? std::min(near_run, kMaxWaitBesideRoom) : near_run;
  return now - waiting->second < limit;
}

void NearWait::DropFinished(const jobs::JobsState& state) {
  std::erase_if(this->since, [&](const auto& waiting) {
    const jobs::Job* job = state.FindJob(waiting.first.job);
    return job == nullptr || !job->is_active();
  });
}

}  // namespace sumac::scheduler
