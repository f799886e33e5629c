// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/planner.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "libraries/fleet/idempotency.h"
#include "libraries/fleet/placement.h"

namespace sumac::fleet {
namespace {

// Claims are forgotten in steps of this, so that not every turn proposes
// something.
constexpr Milliseconds kClaimExpiryStep{60'000};

Milliseconds SilenceTimeOf(const FleetState& state, const Instance& instance) {
  const Pool* pool = state.record().declaration.FindPool(instance.pool);
  return pool == nullptr ? Pool().silence_time : pool->silence_time;
}

Milliseconds SettleTimeOf(const FleetState& state, const Instance& instance) {
  const Pool* pool = state.record().declaration.FindPool(instance.pool);
  return pool == nullptr ? Pool().settle_time : pool->settle_time;
}

// What all parts of one plan look at.
struct PlanContext {
  const FleetState& state;
  SoftState& soft;
  const PlannerSettings& settings;
  // NOTE: The state's own time stands still while nothing is committed, so
  // waits are measured against the clock, but never against one that lies
  // behind the state.
  WallTime wall_now;
  SteadyTime now;
};

// True if a draining instance has nothing left to do that a reboot would cut
// off.
bool IsDrained(const PlanContext& context, const Instance& instance) {
  const InstanceName& name = instance.target.name;
  const SteadyTime grace_end =
      context.soft.GetOrRecordDrainStart(name, context.now) +
      context.settings.drain_grace;
  return context.now >= grace_end && context.state.JobsOn(name).empty() &&
         context.soft.IsIdleSince(name, grace_end);
}

// True if planned work has the instance out already and goes on by itself.
bool IsUnderPlannedWork(const Instance& instance) {
  return instance.state == InstanceState::kDraining ||
         instance.state == InstanceState::kDrained ||
         instance.state == InstanceState::kRebooting;
}

// The event that one instance is due for, if any.
std::optional<InstanceEvent> FindDueEvent(const PlanContext& context,
                                          const Instance& instance) {
  const InstanceName& name = instance.target.name;
  if (context.soft.IsLeaving(name) && !IsUnderPlannedWork(instance)) {
    return InstanceEvent::kLeave;
  }
  const bool is_silent = context.now - context.soft.LastAnnouncementTime(name) >
                         SilenceTimeOf(context.state, instance);
  if (is_silent) {
    const bool is_new_silence =
        context.state.InstanceHasTag(instance, "alive") &&
        !instance.is_silent_while_planned;
    return is_new_silence ? std::optional(InstanceEvent::kSilence)
                          : std::nullopt;
  }
  const Milliseconds in_state = context.wall_now - instance.state_since;
  if (instance.state == InstanceState::kSettling &&
      in_state >= SettleTimeOf(context.state, instance)) {
    return InstanceEvent::kSettled;
  }
  if (instance.state == InstanceState::kDraining &&
      IsDrained(context, instance)) {
    context.soft.RemoveDrainStart(name);
    return InstanceEvent::kDrained;
  }
  return std::nullopt;
}

// Looks at the next part of the fleet, so that a turn costs the same however
// large it is. A fleet within one part is looked at whole each turn.
RecordInstanceEvents PlanInstanceEvents(const PlanContext& context) {
  RecordInstanceEvents command;
  const auto& instances = context.state.record().instances;
  const std::size_t part =
      std::min(instances.size(), context.settings.max_instances_per_pass);
  auto position = instances.upper_bound(context.soft.scan_position());
  for (std::size_t scanned = 0; scanned < part; ++scanned, ++position) {
    if (position == instances.end()) {
      position = instances.begin();
    }
    const auto& [name, instance] = *position;
    context.soft.SetScanPosition(name);
    const auto event = instance.state == InstanceState::kLeft
                           ? std::nullopt
                           : FindDueEvent(context, instance);
    if (event) {
      command.items.push_back(RecordInstanceEvents::Item{
          name, instance.target.incarnation, *event});
    }
  }
  return command;
}

ExpireLeases PlanLeaseExpiry(const PlanContext& context) {
  ExpireLeases command;
  const Milliseconds lease = context.state.record().declaration.job_lease +
                             context.settings.lease_margin;
  for (const JobId& id : context.state.leased_jobs()) {
    const Job& job = *context.state.FindJob(id);
    const bool is_renewed =
        context.now - context.soft.LastLeaseRenewalTime(job.worker) <= lease;
    // A fresh placement has its own lease from the moment it was placed.
    const bool is_fresh = context.wall_now - job.state_since <= lease;
    if (!is_renewed && !is_fresh) {
      command.items.push_back(ExpireLeases::Item{id, job.token});
    }
  }
  return command;
}

}  // namespace

std::vector<Command> Plan(const FleetState& state,
                          SoftState& soft,
                          const PlannerSettings& settings,
                          WallTime wall_now,
                          SteadyTime now) {
  const PlanContext context{state, soft, settings,
                            std::max(wall_now, state.record().now), now};
  std::vector<Command> commands;
  RecordInstanceEvents events = PlanInstanceEvents(context);
  if (!events.items.empty()) {
    commands.emplace_back(std::move(events));
  }
  ExpireLeases leases = PlanLeaseExpiry(context);
  if (!leases.items.empty()) {
    commands.emplace_back(std::move(leases));
  }
  PlaceJobs places{ChoosePlacements(state, settings.max_placements_per_pass)};
  if (!places.placements.empty()) {
    commands.emplace_back(std::move(places));
  }
  const WallTime forget_before =
      wall_now - state.record().declaration.key_window - kMaxKeySkew;
  if (!state.record().claims.empty() &&
      forget_before > state.record().claims_floor + kClaimExpiryStep) {
    commands.emplace_back(ExpireClaims{forget_before});
  }
  return commands;
}

std::vector<PlatformStep> PlatformSteps(const FleetState& state) {
  std::vector<PlatformStep> steps;
  for (const InstanceName& name : state.instances_not_available()) {
    const Instance& instance = *state.FindInstance(name);
    if (!instance.operation ||
        instance.operation->kind != OperationKind::kReboot) {
      continue;
    }
    const bool is_due = instance.state == InstanceState::kDrained ||
                        instance.state == InstanceState::kRebooting;
    if (is_due && instance.operation->progress < PlatformProgress::kDone) {
      steps.push_back(
          PlatformStep{name, instance.operation->id, instance.operation->kind});
    }
  }
  return steps;
}

}  // namespace sumac::fleet
