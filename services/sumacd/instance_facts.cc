// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/instance_facts.h"

#include <algorithm>

namespace sumac::daemon {
namespace {

constexpr std::int64_t kPermille = 1'000;

}  // namespace

std::map<InstanceName, maintenance::InstanceFacts> GatherInstanceFacts(
    const scheduler::Scheduler& scheduler) {
  std::map<InstanceName, maintenance::InstanceFacts> facts;
  for (const auto& [id, session] : scheduler.sessions()) {
    const jobs::Worker& worker = session.worker();
    maintenance::InstanceFacts& instance = facts[worker.instance];
    // Of two incarnations on one instance, the one that answers is the current
    // one.
    const bool is_present =
        instance.worker.value().empty() ||
        (instance.is_only_announced && session.is_adopted());
    if (is_present) {
      instance.worker = id;
      instance.is_only_announced = !session.is_adopted();
      instance.service = worker.service;
      instance.capacity = worker.capacity;
      instance.labels = worker.labels;
      instance.is_leaving = worker.is_draining;
      instance.is_evacuated = session.is_evacuated;
    }
    for (const auto& [key, run] : session.runs()) {
      ++(run.is_budgeted ? instance.budgeted_runs : instance.other_runs);
    }
    if (!session.is_answering()) {
      // A worker that doesn't answer may have runs that are not known here.
      ++instance.other_runs;
    }
    const std::int64_t all = worker.capacity.millicores;
    const std::int64_t load =
        all == 0 ? 0 : (all - session.Room().millicores) * kPermille / all;
    instance.load_permille = std::max(instance.load_permille, load);
  }
  for (const InstanceName& name : scheduler.NeededInstances()) {
    facts[name].is_needed = true;
  }
  return facts;
}

}  // namespace sumac::daemon
