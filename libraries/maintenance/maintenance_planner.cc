// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/maintenance_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "libraries/base/text.h"

namespace sumac::maintenance {

using jobs::MaintenanceState;

namespace {

// How often an instance that is being drained is given back to tasks that have
// no other place before the runs there are ended.
constexpr std::uint32_t kMaxReturnsWhileDraining = 2;
// The number of orders without an answer after which an instance that a task
// needs gets no more of them.
constexpr int kMaxUnansweredWhileNeeded = 2;

// The instances that may be maintained next, by the order in which they are
// taken. Those of one kind are taken by their load.
enum class CandidateKind {
  // It is switched off, so that its maintenance costs no capacity.
  kOff,
  // Nothing is started on it during the evacuation of its data centre, so that
  // its maintenance costs no capacity either.
  kEvacuated,
  kInUse,
};

CandidateKind KindOf(const std::map<InstanceName, InstanceFacts>& facts,
                     const InstanceName& name) {
  const auto known = facts.find(name);
  if (known == facts.end()) {
    return CandidateKind::kOff;
  }
  // NOTE: Long-running tasks may stay in an evacuated data centre. Draining
  // them takes as long as anywhere else, and would keep other instances
  // waiting.
  return known->second.is_evacuated && known->second.budgeted_runs == 0
             ? CandidateKind::kEvacuated
             : CandidateKind::kInUse;
}

}  // namespace

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

// Returns how many instances should be in progress at once so that the wave
// ends somewhat before its time is up.
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
  std::vector<std::tuple<CandidateKind, std::int64_t, InstanceName>> candidates;
  for (const auto& [name, instance] : wave.instances) {
    if (instance.state == MaintenanceState::kOrdered) {
      // NOTE: The instance is cordoned from the first planning pass on, even
      // while this leader gives no orders yet. The previous leader has drained
      // it, so that it would be the preferred place for new tasks, which the
      // order would then end.
      this->AddCordon(name, facts, now);
      if (auto reason = this->FindOrderReturnReason(name, facts, now)) {
        this->GiveBack(wave, name, *std::move(reason), now, output);
      } else if (may_order) {
        this->AdvanceOrdered(wave, name, facts, now, output);
      }
    } else if (instance.state == MaintenanceState::kBegun) {
      if (auto reason =
              this->FindCompletionReason(name, instance, inputs, now)) {
        RecordCompletion(wave, name, *std::move(reason), output);
      }
    } else if (instance.state == MaintenanceState::kWaiting) {
      this->given_back.erase(name);
      const auto known = facts.find(name);
      // NOTE: A wave names instances that exist when it is declared. An
      // instance may be so new that its worker has not announced itself and
      // that a list requested before the wave lacks it. Without this check the
      // instance would be omitted, and the wave would be reported as complete.
      if (known == facts.end() && inputs.listing.IsGone(name, first_pass)) {
        RecordCompletion(wave, name, "it is gone: no list shows it", output);
        this->cordons.erase(name);
        continue;
      }
      if (known == facts.end() && !inputs.listing.rows().contains(name)) {
        // The next list will show whether the instance exists.
        continue;
      }
      if (this->cordons.contains(name)) {
        if (auto reason = this->FindReturnReason(name, facts, now)) {
          this->GiveBack(wave, name, *std::move(reason), now, output);
          continue;
        }
        ++in_progress;
      } else if (known != facts.end() && known->second.is_moving) {
        continue;
      }
      const std::int64_t load =
          known == facts.end() ? 0 : known->second.load_permille;
      candidates.emplace_back(KindOf(facts, name), load, name);
    }
  }
  if (!may_order) {
    return;
  }
  std::sort(candidates.begin(), candidates.end());
  const std::uint32_t wanted = this->WantedInProgress(wave, wall_now);
  for (const auto& [kind, load, name] : candidates) {
    const auto cordon = this->cordons.find(name);
    if (cordon == this->cordons.end()) {
      const auto open = this->open_orders.find(name);
      const bool is_early =
          open != this->open_orders.end() && now < open->second.due;
      // Only the wave's own limit applies to instances that cost no capacity.
      const std::uint32_t limit =
          kind == CandidateKind::kInUse ? wanted : wave.most_at_once;
      if (in_progress < limit && !is_early &&
          !this->pauses.IsPaused(name, now)) {
        ++in_progress;
        this->AddCordon(name, facts, now);
      }
      continue;
    }
    if (this->IsReady(name, facts, now)) {
      const auto known = facts.find(name);
      this->own_orders.insert(name);
      output.commands.emplace_back(jobs::RecordMaintenance{
          wave.id, name, MaintenanceState::kOrdered,
          known == facts.end() ? WorkerId() : known->second.worker});
      // The instance stays cordoned; the order is sent once the step is
      // committed.
    }
  }
}

void MaintenancePlanner::AddCordon(
    const InstanceName& name,
    const std::map<InstanceName, InstanceFacts>& facts,
    SteadyTime now) {
  const auto known = facts.find(name);
  this->cordons.try_emplace(
      name,
      Cordon{.since = now,
             .fewest_runs = known == facts.end() ? 0 : known->second.runs(),
             .progressed_at = now});
}

void MaintenancePlanner::GiveBack(const jobs::Wave& wave,
                                  const InstanceName& name,
                                  std::string reason,
                                  SteadyTime now,
                                  MaintenanceOutput& output) {
  this->cordons.erase(name);
  this->own_orders.erase(name);
  this->open_orders.erase(name);
  if (wave.instances.at(name).state != MaintenanceState::kWaiting) {
    output.commands.emplace_back(
        jobs::RecordMaintenance{wave.id, name, MaintenanceState::kWaiting, {}});
    if (!this->given_back.insert(name).second) {
      return;
    }
  }
  this->pauses.Record(name, now);
  output.cordon_returns.push_back({wave.id, name, std::move(reason)});
}

std::optional<std::string> MaintenancePlanner::FindReturnReason(
    const InstanceName& name,
    const std::map<InstanceName, InstanceFacts>& facts,
    SteadyTime now) {
  const auto known = facts.find(name);
  // Once its order has been proposed, the instance is about to be taken down.
  if (known == facts.end() || this->own_orders.contains(name)) {
    return std::nullopt;
  }
  Cordon& cordon = this->cordons.at(name);
  if (known->second.runs() < cordon.fewest_runs) {
    cordon.fewest_runs = known->second.runs();
    cordon.progressed_at = now;
  }
  if (this->IsReady(name, facts, now)) {
    return this->has_been_fenced && known->second.is_needed
               ? std::optional<std::string>(
                     "a later leader gives the orders, and a task needs it")
               : std::nullopt;
  }
  if (known->second.is_needed) {
    return "a task that has no other place waits for it";
  }
  if (known->second.budgeted_runs > 0 &&
      now - cordon.progressed_at > this->settings.max_drain_time) {
    return "runs there may not be disrupted, and none of them leaves";
  }
  return std::nullopt;
}

bool MaintenancePlanner::MayOrderBeOpen(const InstanceName& name,
                                        SteadyTime now) const {
  const auto found = this->open_orders.find(name);
  const bool is_known = found != this->open_orders.end();
  if (is_known && found->second.is_under_way) {
    return true;
  }
  std::optional<SteadyTime> since =
      is_known ? found->second.unanswered_at : std::nullopt;
  if (!since && !this->own_orders.contains(name)) {
    since = this->began_at;
  }
  return since && now - *since < this->settings.max_order_delay;
}

std::optional<std::string> MaintenancePlanner::FindOrderReturnReason(
    const InstanceName& name,
    const std::map<InstanceName, InstanceFacts>& facts,
    SteadyTime now) const {
  if (this->given_back.contains(name)) {
    return "its record is not committed yet";
  }
  const auto known = facts.find(name);
  if (known == facts.end() || !known->second.is_needed ||
      this->MayOrderBeOpen(name, now)) {
    return std::nullopt;
  }
  const auto open = this->open_orders.find(name);
  const bool was_tried =
      open != this->open_orders.end() &&
      (open->second.is_refused || open->second.unanswered_at);
  if (!was_tried && this->IsReady(name, facts, now) && !this->has_been_fenced) {
    return std::nullopt;
  }
  return was_tried ? "a task that has no other place waits for it, and the "
                     "platform does not take the order"
                   : "a task that has no other place waits for it";
}

// True if a cordoned instance may be taken down: either nothing runs on it, or
// nothing with a disruption budget runs on it and the time to drain it has
// passed.
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
  // If this leader gave the order, the instance was ready then. Its worker may
  // have ended with the order since, while its runs are still counted.
  if (known->second.other_runs == 0 || this->own_orders.contains(name) ||
      now - this->cordons.at(name).since > this->settings.max_drain_time) {
    return true;
  }
  // Tasks that have no other place could keep it from ever being drained.
  return known->second.is_needed &&
         this->pauses.CountOf(name) >= kMaxReturnsWhileDraining;
}

// Gives the order for an instance, and repeats it until there is a definite
// answer.
void MaintenancePlanner::AdvanceOrdered(
    const jobs::Wave& wave,
    const InstanceName& name,
    const std::map<InstanceName, InstanceFacts>& facts,
    SteadyTime now,
    MaintenanceOutput& output) {
  OpenOrder& open = this->open_orders[name];
  // NOTE: Under a later leader the instance may not be empty any more, although
  // it was when the step was recorded.
  if (open.is_under_way || now < open.due || !this->IsReady(name, facts, now)) {
    return;
  }
  const auto known = facts.find(name);
  if (known != facts.end() && known->second.is_needed &&
      open.unanswered >= kMaxUnansweredWhileNeeded) {
    // Each repetition would renew the time in which one may be carried out.
    return;
  }
  if (!this->own_orders.contains(name) && !open.unanswered_at) {
    // The previous leader may have given the order already.
    open.unanswered_at = now;
  }
  open.is_under_way = true;
  output.orders.push_back(InstanceOrder{.instance = name,
                                        .wave = wave.id,
                                        .holder = this->holder,
                                        .epoch = this->epoch});
}

// An instance is back once a worker other than the previous one answers on it
// or, if no worker ran on it, once the platform lists it as no longer in
// maintenance.
std::optional<std::string> MaintenancePlanner::FindCompletionReason(
    const InstanceName& name,
    const jobs::InstanceMaintenance& maintenance,
    const PlanInputs& inputs,
    SteadyTime now) const {
  // A worker that started just before the maintenance may announce itself late,
  // so that no instance counts as back before the maintenance time has passed.
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
  // The platform may list the effect of an order only a moment after it.
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
  open.is_refused = result == InstanceResult::kRefused;
  open.unanswered =
      result == InstanceResult::kUnknown ? open.unanswered + 1 : 0;
  std::vector<jobs::Command> commands;
  const auto record = [&](MaintenanceState next) {
    commands.emplace_back(
        jobs::RecordMaintenance{order.wave, order.instance, next, {}});
  };
  switch (result) {
    case InstanceResult::kDone: {
      this->cordons.erase(order.instance);
      this->pauses.Forget(order.instance);
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
      // NOTE: The instance may be busy with this very maintenance, if an
      // earlier order was carried out without an answer. It continues to count
      // as down then.
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
