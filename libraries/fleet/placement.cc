// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/placement.h"

#include <map>
#include <set>
#include <utility>

namespace sumac::fleet {
namespace {

// A decision names this many of the workers that were passed over.
constexpr std::size_t kMaxNamedRejections = 5;
// Queued jobs that are looked at in one go, for those that find no room.
constexpr std::size_t kMaxScannedJobs = 512;

// True if the job would take its team past its quota; `granted` is what this go
// gives it already.
bool ExceedsQuota(const FleetState& state,
                  const Job& job,
                  const Resources& granted) {
  const Team* team = state.record().declaration.FindTeam(job.spec.team);
  if (team == nullptr) {
    return false;
  }
  Resources held = state.ResourcesHeldBy(job.spec.team);
  held += granted;
  held += Resources::Of(job.spec);
  const bool has_too_many_cores =
      team->most_millicores > 0 &&
      held.millicores > static_cast<std::int64_t>(team->most_millicores);
  const bool has_too_many_accelerators =
      team->most_accelerators > 0 &&
      held.accelerators > team->most_accelerators;
  return has_too_many_cores || has_too_many_accelerators;
}

}  // namespace

std::vector<Placement> ChoosePlacements(const FleetState& state,
                                        std::size_t most) {
  std::vector<Placement> placements;
  // A worker gets one job a go, since the index does not know of this go's
  // placements yet.
  std::set<InstanceName> taken;
  std::map<TeamName, Resources> granted;
  std::size_t scanned = 0;
  for (const auto& [key, id] : state.queued_jobs()) {
    if (placements.size() >= most || ++scanned > kMaxScannedJobs) {
      break;
    }
    const Job& job = *state.FindJob(id);
    if (ExceedsQuota(state, job, granted[job.spec.team])) {
      continue;
    }
    std::set<InstanceName> excluded = job.failed_on;
    excluded.insert(taken.begin(), taken.end());
    Placement placement{.job = id, .rule = "tightest-fit"};
    const auto worker = state.WorkersOf(job.spec.pool)
                            .FindTightest(Resources::Of(job.spec), excluded,
                                          placement.rejected);
    if (!worker) {
      continue;
    }
    if (placement.rejected.size() > kMaxNamedRejections) {
      placement.rejected.resize(kMaxNamedRejections);
    }
    placement.worker = *worker;
    taken.insert(*worker);
    granted[job.spec.team] += Resources::Of(job.spec);
    placements.push_back(std::move(placement));
  }
  return placements;
}

}  // namespace sumac::fleet
