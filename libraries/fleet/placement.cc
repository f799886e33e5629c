// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/placement.h"

#include <map>
#include <set>
#include <utility>

namespace sumac::fleet {
namespace {

// The maximum number of passed-over workers that a decision names.
constexpr std::size_t kMaxNamedRejections = 5;
// The maximum number of queued jobs examined in one planning pass. It bounds
// the cost of jobs that fit on no worker.
constexpr std::size_t kMaxScannedJobs = 512;

// Returns true if the job would take its team over its quota. `granted` is what
// this planning pass has already given to the team.
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
                                        std::size_t max_placements) {
  std::vector<Placement> placements;
  // A worker gets at most one job per planning pass, since the index does not
  // contain the placements of this pass yet.
  std::set<InstanceName> assigned_workers;
  std::map<TeamName, Resources> granted;
  std::size_t scanned = 0;
  for (const auto& [key, id] : state.queued_jobs()) {
    if (placements.size() >= max_placements || ++scanned > kMaxScannedJobs) {
      break;
    }
    const Job& job = *state.FindJob(id);
    if (ExceedsQuota(state, job, granted[job.spec.team])) {
      continue;
    }
    std::set<InstanceName> excluded = job.failed_on;
    excluded.insert(assigned_workers.begin(), assigned_workers.end());
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
    assigned_workers.insert(*worker);
    granted[job.spec.team] += Resources::Of(job.spec);
    placements.push_back(std::move(placement));
  }
  return placements;
}

}  // namespace sumac::fleet
