// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/planner.h"

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

// True if a draining instance has nothing left to do that a reboot would cut
// off.
bool IsDrained(const FleetState& state,
               const Instance& instance,
               SoftState& soft,
               const PlannerSettings& settings,
               SteadyTime now) {
  const InstanceName& name = instance.target.name;
  const SteadyTime quiet_from =
      soft.DrainingSince(name, now) + settings.drain_grace;
  return now >= quiet_from && state.JobsOn(name).empty() &&
         soft.IsIdleSince(name, quiet_from);
}

// The event that one instance is due for, if any.
std::optional<InstanceEvent> FindDueEvent(const FleetState& state,
                                          const Instance& instance,
                                          SoftState& soft,
                                          const PlannerSettings& settings,
                                          SteadyTime now) {
  const InstanceName& name = instance.target.name;
  const bool is_silent =
      now - soft.LastHeard(name) > SilenceTimeOf(state, instance);
  const bool is_awaited = state.InstanceHasTag(instance, "alive");
  if (soft.IsLeaving(name) && instance.state != InstanceState::kRebooting &&
      instance.state != InstanceState::kDraining &&
      instance.state != InstanceState::kDrained) {
    return InstanceEvent::kLeave;
  }
  if (is_silent && is_awaited && !instance.is_silent_while_planned) {
    return InstanceEvent::kSilence;
  }
  if (is_silent) {
    return std::nullopt;
  }
  const Milliseconds in_state = state.record().now - instance.state_since;
  if (instance.state == InstanceState::kSettling &&
      in_state >= SettleTimeOf(state, instance)) {
    return InstanceEvent::kSettled;
  }
  if (instance.state == InstanceState::kDraining &&
      IsDrained(state, instance, soft, settings, now)) {
    soft.ForgetDraining(name);
    return InstanceEvent::kDrained;
  }
  return std::nullopt;
}

RecordInstanceEvents PlanInstanceEvents(const FleetState& state,
                                        SoftState& soft,
                                        const PlannerSettings& settings,
                                        SteadyTime now) {
  RecordInstanceEvents command;
  for (const auto& [name, instance] : state.record().instances) {
    if (instance.state == InstanceState::kLeft) {
      continue;
    }
    if (const auto event = FindDueEvent(state, instance, soft, settings, now)) {
      command.items.push_back(RecordInstanceEvents::Item{
          name, instance.target.incarnation, *event});
    }
  }
  return command;
}

ExpireLeases PlanLeaseExpiry(const FleetState& state,
                             const SoftState& soft,
                             const PlannerSettings& settings,
                             SteadyTime now) {
  ExpireLeases command;
  const Milliseconds lease =
      state.record().declaration.job_lease + settings.lease_margin;
  for (const JobId& id : state.leased_jobs()) {
    const Job& job = *state.FindJob(id);
    const bool is_renewed = now - soft.LastRenewed(job.worker) <= lease;
    // A fresh placement has its own lease from the moment it was placed.
    const bool is_fresh = state.record().now - job.state_since <= lease;
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
  std::vector<Command> commands;
  RecordInstanceEvents events = PlanInstanceEvents(state, soft, settings, now);
  if (!events.items.empty()) {
    commands.emplace_back(std::move(events));
  }
  ExpireLeases leases = PlanLeaseExpiry(state, soft, settings, now);
  if (!leases.items.empty()) {
    commands.emplace_back(std::move(leases));
  }
  PlaceJobs places{ChoosePlacements(state, settings.most_placements_per_turn)};
  if (!places.placements.empty()) {
    commands.emplace_back(std::move(places));
  }
  const WallTime forget_before =
      wall_now - state.record().declaration.key_window - kMostKeySkew;
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
