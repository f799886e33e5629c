// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/maintenance_planner.h"

#include <algorithm>
#include <utility>

#include "libraries/base/text.h"

namespace sumac::maintenance {

using jobs::MaintenanceState;

MaintenancePlanner::MaintenancePlanner(MaintenanceSettings settings,
                                       ProcessName holder,
                                       LeaderEpoch epoch,
                                       SteadyTime now)
    : settings(settings),
      holder(std::move(holder)),
      epoch(epoch),
      began_at(now) {}

bool MaintenancePlanner::NeedsListing(const jobs::JobsState& state) {
  return std::any_of(state.waves().begin(), state.waves().end(),
                     [](const auto& wave) { return !wave.second.is_done(); });
}

MaintenanceOutput MaintenancePlanner::Plan(
    const jobs::JobsState& state,
    const std::map<InstanceName, InstanceFacts>& facts,
    const InstanceListing& listing,
    WallTime wall_now,
    SteadyTime now) {
  MaintenanceOutput output;
  for (const auto& [id, wave] : state.waves()) {
    if (wave.is_done()) {
      this->first_passes.erase(id);
    } else {
      this->PlanWave(wave, {facts, listing}, wall_now, now, output);
    }
  }
  for (const auto& [name, cordon] : this->cordons) {
    output.cordoned.insert(name);
  }
  return output;
}

// How many instances should be on their way at once, so that the wave ends
// somewhat before its time.
std::uint32_t MaintenancePlanner::WantedInProgress(const jobs::Wave& wave,
                                                   WallTime wall_now) const {
  std::int64_t remaining = 0;
  for (const auto& [name, instance] : wave.instances) {
    remaining +=
        static_cast<std::int64_t>(instance.state != MaintenanceState::kOver);
  }
  const Milliseconds time_per_instance =
      this->settings.maintenance_time + this->settings.overhead;
  // A fifth of the ramp is kept as reserve.
  const Milliseconds time_left = wave.started_at + wave.ramp * 4 / 5 - wall_now;
  if (time_left <= time_per_instance) {
    return wave.most_at_once;
  }
  const std::int64_t needed =
      (remaining * time_per_instance.count() + time_left.count() - 1) /
      time_left.count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      needed + 1, 1, static_cast<std::int64_t>(wave.most_at_once)));
}

void MaintenancePlanner::PlanWave(const jobs::Wave& wave,
                                  const PlanInputs& inputs,
                                  WallTime wall_now,
                                  SteadyTime now,
                                  MaintenanceOutput& output) {
  const auto& facts = inputs.facts;
  const SteadyTime first_pass =
      this->first_passes.try_emplace(wave.id, now).first->second;
  const bool may_order = !this->has_been_fenced &&
                         now - this->began_at > this->settings.takeover_pause;
  std::uint32_t in_progress = wave.CountDown();
  std::vector<std::pair<std::int64_t, InstanceName>> candidates;
  for (const auto& [name, instance] : wave.instances) {
    if (instance.state == MaintenanceState::kOrdered) {
      // NOTE: From the first look on, also while this leader gives no orders
      // yet: the one before has emptied the instance, which makes it the best
      // place for tasks that the order would then end.
      this->cordons.try_emplace(name, Cordon{now});
      if (may_order) {
        this->AdvanceOrdered(wave, name, facts, now, output);
      }
    } else if (instance.state == MaintenanceState::kBegun) {
      if (auto reason =
              this->FindCompletionReason(name, instance, inputs, now)) {
        RecordCompletion(wave, name, *std::move(reason), output);
      }
    } else if (instance.state == MaintenanceState::kWaiting) {
      const auto known = facts.find(name);
      // NOTE: A wave names instances that exist when it is declared. One may be
      // so new that no worker of it was heard of and that a list from before
      // the wave lacks it: it would be remaining out, and the wave be told to
      // be done.
      if (known == facts.end() && inputs.listing.IsGone(name, first_pass)) {
        RecordCompletion(wave, name, "it is gone: no list shows it", output);
        this->cordons.erase(name);
        continue;
      }
      if (known == facts.end() && !inputs.listing.rows().contains(name)) {
        // The next list tells.
        continue;
      }
      if (this->cordons.contains(name)) {
        ++in_progress;
      } else if (known != facts.end() && known->second.is_moving) {
        continue;
      }
      // Those that are off go first, then those that carry nothing.
      constexpr std::int64_t kOff = -1;
      const std::int64_t load =
          known == facts.end() ? kOff : known->second.load_permille;
      candidates.emplace_back(load, name);
    }
  }
  if (!may_order) {
    return;
  }
  std::sort(candidates.begin(), candidates.end());
  const std::uint32_t wanted = this->WantedInProgress(wave, wall_now);
  for (const auto& [load, name] : candidates) {
    const auto cordon = this->cordons.find(name);
    if (cordon == this->cordons.end()) {
      const auto open = this->open_orders.find(name);
      const bool is_early =
          open != this->open_orders.end() && now < open->second.due;
      // One that is off costs no capacity: the wave's own bound is enough.
      const std::uint32_t limit =
          facts.contains(name) ? wanted : wave.most_at_once;
      if (in_progress < limit && !is_early) {
        ++in_progress;
        this->cordons.emplace(name, Cordon{now});
      }
      continue;
    }
    if (this->IsReady(name, facts, now)) {
      const auto known = facts.find(name);
      this->own_orders.insert(name);
      output.commands.emplace_back(jobs::RecordMaintenance{
          wave.id, name, MaintenanceState::kOrdered,
          known == facts.end() ? WorkerId() : known->second.worker});
      // It stays cordoned; the order goes out once the step is on record.
    }
  }
}

// True if a cordoned instance may be taken away: it carries nothing, or nothing
// with a disruption budget and was given time to be emptied.
bool MaintenancePlanner::IsReady(
    const InstanceName& name,
    const std::map<InstanceName, InstanceFacts>& facts,
    SteadyTime now) const {
  const auto known = facts.find(name);
  if (known == facts.end()) {
    return true;
  }
  if (known->second.budgeted_runs > 0) {
    return false;
  }
  // An own order was ready before; its worker may have ended with it since, and
  // what ran there be counted still.
  return known->second.other_runs == 0 || this->own_orders.contains(name) ||
         now - this->cordons.at(name).since > this->settings.max_drain_time;
}

// Gives the order, again and again until there is a clear answer.
void MaintenancePlanner::AdvanceOrdered(
    const jobs::Wave& wave,
    const InstanceName& name,
    const std::map<InstanceName, InstanceFacts>& facts,
    SteadyTime now,
    MaintenanceOutput& output) {
  OpenOrder& open = this->open_orders[name];
  // NOTE: That it was empty when the step was recorded says nothing any more
  // under a later leader.
  if (open.is_under_way || now < open.due || !this->IsReady(name, facts, now)) {
    return;
  }
  if (!this->own_orders.contains(name) && !open.unanswered_at) {
    // The leader before may have given the order already.
    open.unanswered_at = now;
  }
  open.is_under_way = true;
  output.orders.push_back(InstanceOrder{.instance = name,
                                        .wave = wave.id,
                                        .holder = this->holder,
                                        .epoch = this->epoch});
}

// An instance is back once another worker than before answers there, or, where
// none ran, once the platform lists it as out of its maintenance.
std::optional<std::string> MaintenancePlanner::FindCompletionReason(
    const InstanceName& name,
    const jobs::InstanceMaintenance& maintenance,
    const PlanInputs& inputs,
    SteadyTime now) const {
  // A worker that began just before the maintenance may announce itself late.
  const auto order = this->open_orders.find(name);
  const bool is_own = order != this->open_orders.end();
  const SteadyTime begun_at = is_own ? order->second.begun_at : this->began_at;
  if (now - begun_at < this->settings.maintenance_time) {
    return std::nullopt;
  }
  const auto known = inputs.facts.find(name);
  if (known != inputs.facts.end() && !known->second.is_only_announced &&
      known->second.worker != maintenance.worker) {
    return StrCat("worker ", known->second.worker.value(), " answers there");
  }
  // The platform may list what it was ordered a moment later.
  const SteadyTime since = is_own ? order->second.due : this->began_at;
  if (inputs.listing.IsGone(name, since)) {
    return "it is gone: no list shows it";
  }
  const ListedInstance* row = inputs.listing.Find(name);
  const bool is_listed_as_back = row != nullptr &&
                                 row->state != InstanceState::kInMaintenance &&
                                 row->state != InstanceState::kUnknown &&
                                 inputs.listing.requested_at() > since;
  if (!maintenance.worker.value().empty() || !is_listed_as_back) {
    return std::nullopt;
  }
  return StrCat("it is listed as ", NameOf(row->state));
}

void MaintenancePlanner::RecordCompletion(const jobs::Wave& wave,
                                          const InstanceName& name,
                                          std::string reason,
                                          MaintenanceOutput& output) {
  output.commands.emplace_back(
      jobs::RecordMaintenance{wave.id, name, MaintenanceState::kOver, {}});
  output.completions.push_back({wave.id, name, std::move(reason)});
}

std::vector<jobs::Command> MaintenancePlanner::HandleOrderResult(
    const jobs::JobsState& state,
    const InstanceOrder& order,
    InstanceResult result,
    SteadyTime now) {
  OpenOrder& open = this->open_orders[order.instance];
  open.is_under_way = false;
  open.due = now + this->settings.retry;
  std::vector<jobs::Command> commands;
  const auto record = [&](MaintenanceState next) {
    commands.emplace_back(
        jobs::RecordMaintenance{order.wave, order.instance, next, {}});
  };
  switch (result) {
    case InstanceResult::kDone: {
      this->cordons.erase(order.instance);
      open.begun_at = now;
      record(MaintenanceState::kBegun);
      const auto wave = state.waves().find(order.wave);
      if (wave != state.waves().end()) {
        const WorkerId& ended =
            wave->second.instances.at(order.instance).worker;
        if (!ended.value().empty()) {
          commands.emplace_back(jobs::ForgetWorker{ended, true});
        }
      }
      break;
    }
    case InstanceResult::kBusy: {
      // NOTE: It may be busy with just this maintenance, if an earlier order
      // was carried out without an answer; then it goes on counting as down.
      const bool may_be_down =
          open.unanswered_at &&
          now - *open.unanswered_at < this->settings.max_order_delay;
      if (!may_be_down) {
        open.unanswered_at.reset();
        this->cordons.erase(order.instance);
        this->own_orders.erase(order.instance);
        record(MaintenanceState::kWaiting);
      }
      break;
    }
    case InstanceResult::kNotInWave:
    case InstanceResult::kUnknownInstance:
      this->cordons.erase(order.instance);
      record(MaintenanceState::kOver);
      break;
    case InstanceResult::kFenced:
      this->has_been_fenced = true;
      break;
    case InstanceResult::kRefused:
      break;
    case InstanceResult::kUnknown:
      open.unanswered_at = now;
      break;
  }
  return commands;
}

}  // namespace sumac::maintenance
