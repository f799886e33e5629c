// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/capacity_planner.h"

#include <algorithm>
#include <utility>

namespace sumac::maintenance {
namespace {

constexpr std::int64_t kPermille = 1'000;

bool IsHeadroom(const jobs::JobsState& state, const ServiceName& service) {
  const jobs::ServiceDeclaration* found =
      state.declaration().FindService(service);
  return found != nullptr && found->is_headroom;
}

}  // namespace

CapacityPlanner::CapacityPlanner(CapacitySettings settings,
                                 ProcessName holder,
                                 LeaderEpoch epoch,
                                 SteadyTime now)
    : settings(settings),
      holder(std::move(holder)),
      epoch(epoch),
      began_at(now) {}

void CapacityPlanner::UpdateListing(const InstanceListing& listing) {
  this->evacuated.UpdateListing(listing);
  const SteadyTime requested_at = listing.requested_at().value_or(SteadyTime{});
  std::map<InstanceName, KnownPool> listed;
  std::erase_if(this->labels, [&listing](const auto& known) {
    return !listing.rows().contains(known.first);
  });
  for (const auto& [name, instance] : listing.rows()) {
    this->labels[name] = instance.labels;
    const auto known = this->known_pools.find(name);
    // NOTE: A list that was requested before the platform accepted a move shows
    // the instance in its previous pool. With that row the instance would count
    // in no pool until the next list.
    const bool is_known_better = known != this->known_pools.end() &&
                                 (instance.state == InstanceState::kMoving ||
                                  instance.state == InstanceState::kUnknown ||
                                  (instance.state == InstanceState::kUp &&
                                   known->second.known_at >= requested_at));
    if (is_known_better) {
      listed.insert(*known);
    } else if (instance.state == InstanceState::kUp) {
      listed[name] = KnownPool{instance.service, requested_at};
    }
  }
  this->known_pools = std::move(listed);
}

std::set<InstanceName> CapacityPlanner::MovingInstances() const {
  std::set<InstanceName> names;
  for (const auto& [name, move] : this->moves) {
    names.insert(name);
  }
  return names;
}

CapacityOutput CapacityPlanner::Plan(
    const jobs::JobsState& state,
    const std::map<InstanceName, InstanceFacts>& facts,
    const std::map<ServiceName, jobs::ServiceDemand>& demand,
    const std::set<InstanceName>& busy,
    WallTime wall_now,
    SteadyTime now) {
  CapacityOutput output;
  this->CordonEarlierMoves(state, facts, wall_now, now, output);
  if (!this->settings.is_on || this->has_been_fenced) {
    return output;
  }
  this->UpdateLabels(facts);
  LabelNeeds needs(this->labels, demand);
  std::map<ServiceName, Pool> pools =
      this->CountPools(state, facts, busy, needs, wall_now, now);
  this->SetWantedCounts(state, demand, pools, needs);
  this->GrowPoolsByLabel(state, pools, facts, needs, now);
  this->GrowPools(state, pools, facts, needs, now);
  this->ShrinkPools(state, pools, facts, needs, wall_now, now);
  this->AdvanceMoves(state, facts, now, output);
  return output;
}

// True unless the previous leader may have ordered a move of this instance a
// moment ago.
bool CapacityPlanner::MayMove(const jobs::JobsState& state,
                              const InstanceName& name,
                              WallTime wall_now,
                              SteadyTime now) const {
  const auto record = state.record().moves.find(name);
  return record == state.record().moves.end() ||
         !this->MayBeUnderWay(record->second, wall_now, now);
}

// True if an order of an earlier leader may still be under way.
bool CapacityPlanner::MayBeUnderWay(const jobs::MoveRecord& record,
                                    WallTime wall_now,
                                    SteadyTime now) const {
  // NOTE: The clocks of two leaders may differ by seconds, so the limit is
  // twice the pause.
  return now - this->began_at <= this->settings.takeover_pause &&
         record.epoch != this->epoch &&
         wall_now - record.at <= 2 * this->settings.takeover_pause;
}

// Cordons the instances that the previous leader may just have ordered to move,
// because its order would end the tasks that this leader starts on them. An
// instance is available again once another worker runs on it.
void CapacityPlanner::CordonEarlierMoves(
    const jobs::JobsState& state,
    const std::map<InstanceName, InstanceFacts>& facts,
    WallTime wall_now,
    SteadyTime now,
    CapacityOutput& output) const {
  for (const auto& [name, record] : state.record().moves) {
    const auto known = facts.find(name);
    const bool may_end =
        known != facts.end() && record.worker == known->second.worker;
    if (may_end && this->MayBeUnderWay(record, wall_now, now)) {
      output.cordoned.insert(name);
    }
  }
}

std::map<ServiceName, CapacityPlanner::Pool> CapacityPlanner::CountPools(
    const jobs::JobsState& state,
    const std::map<InstanceName, InstanceFacts>& facts,
    const std::set<InstanceName>& busy,
    LabelNeeds& needs,
    WallTime wall_now,
    SteadyTime now) const {
  std::map<ServiceName, Pool> pools;
  for (const auto& [name, service] : state.declaration().services()) {
    pools[name];
  }
  for (const auto& [name, instance] : facts) {
    if (this->moves.contains(name) || instance.is_leaving) {
      continue;
    }
    Pool& pool = pools[instance.service];
    pool.instance_millicores =
        std::max(pool.instance_millicores, instance.millicores);
    // An instance that is about to be maintained counts as unavailable.
    if (busy.contains(name) || this->evacuated.Has(state, facts, name)) {
      continue;
    }
    ++pool.have;
    needs.Add(instance.service, name);
    if (instance.budgeted_runs == 0 &&
        this->MayMove(state, name, wall_now, now)) {
      pool.movable.emplace_back(static_cast<std::int64_t>(instance.other_runs),
                                name);
    }
  }
  for (const auto& [name, known_pool] : this->known_pools) {
    const ServiceName& service = known_pool.service;
    const bool is_free = !facts.contains(name) && !busy.contains(name) &&
                         !this->moves.contains(name) &&
                         IsHeadroom(state, service) &&
                         !this->evacuated.Has(state, facts, name);
    if (is_free && this->MayMove(state, name, wall_now, now)) {
      pools[service].movable.emplace_back(0, name);
      ++pools[service].have;
      needs.Add(service, name);
    }
  }
  for (const auto& [name, move] : this->moves) {
    if (!this->evacuated.Has(state, facts, name)) {
      ++pools[move.to].have;
      needs.Add(move.to, name);
    }
  }
  for (auto& [name, pool] : pools) {
    std::sort(pool.movable.begin(), pool.movable.end());
  }
  return pools;
}

void CapacityPlanner::UpdateLabels(
    const std::map<InstanceName, InstanceFacts>& facts) {
  for (const auto& [name, instance] : facts) {
    if (!instance.labels.empty()) {
      this->labels[name] = instance.labels;
    }
  }
}

// Returns the demand without the part that more instances could not serve:
// tasks that require a label, beyond the capacity of all instances with that
// label.
jobs::ServiceDemand CapacityPlanner::ExcludeUnservableDemand(
    const jobs::ServiceDemand& demand,
    const Pool& pool,
    const LabelNeeds& needs) const {
  jobs::ServiceDemand served = demand;
  for (const auto& [label, labelled] : demand.by_label) {
    const std::int64_t servable =
        needs.CountAll(label) * pool.instance_millicores;
    const std::int64_t unservable =
        std::max<std::int64_t>(0, labelled.millicores - servable);
    const std::int64_t unservable_late =
        std::max<std::int64_t>(
            0, labelled.millicores + labelled.late_millicores - servable) -
        unservable;
    served.short_millicores -= std::min(unservable, served.short_millicores);
    served.late_millicores -= unservable_late;
  }
  return served;
}

// Returns how many instances with a label a pool needs for the tasks that
// require it. This is at least one, because late tasks must run, too.
std::int64_t CapacityPlanner::LabelledInstancesFor(
    const Pool& pool,
    const jobs::LabelDemand& labelled) const {
  const std::int64_t millicores =
      labelled.millicores * (kPermille + this->settings.reserve_permille) /
      kPermille;
  return std::max<std::int64_t>(1, (millicores + pool.instance_millicores - 1) /
                                       pool.instance_millicores);
}

void CapacityPlanner::SetWantedCounts(
    const jobs::JobsState& state,
    const std::map<ServiceName, jobs::ServiceDemand>& demand,
    std::map<ServiceName, Pool>& pools,
    LabelNeeds& needs) const {
  for (auto& [name, pool] : pools) {
    const auto needed = demand.find(name);
    pool.want =
        IsHeadroom(state, name) ? 0 : this->settings.min_instances_per_pool;
    pool.want_with_late = pool.want;
    if (IsHeadroom(state, name) || needed == demand.end() ||
        pool.instance_millicores == 0) {
      continue;
    }
    const jobs::ServiceDemand service =
        this->ExcludeUnservableDemand(needed->second, pool, needs);
    pool.want = this->InstancesFor(pool, service, service.short_millicores);
    pool.want_with_late = this->InstancesFor(
        pool, service, service.short_millicores + service.late_millicores);
    for (const auto& [label, labelled] : service.by_label) {
      needs.SetNeed(name, label, this->LabelledInstancesFor(pool, labelled));
    }
  }
}

// Moves instances to pools whose tasks require their labels. Instances that are
// switched off are moved first.
void CapacityPlanner::GrowPoolsByLabel(
    const jobs::JobsState& state,
    std::map<ServiceName, Pool>& pools,
    const std::map<InstanceName, InstanceFacts>& facts,
    LabelNeeds& needs,
    SteadyTime now) {
  for (const auto& [to, label] : needs.FindShortages()) {
    for (const bool takes_headroom : {true, false}) {
      for (const auto& [from, pool] : pools) {
        if (from != to && IsHeadroom(state, from) == takes_headroom) {
          this->MoveLabelled(pools, from, to, label, facts, needs, now);
        }
      }
    }
  }
}

// Moves instances with a label from one pool to another that has too few of
// them.
void CapacityPlanner::MoveLabelled(
    std::map<ServiceName, Pool>& pools,
    const ServiceName& from,
    const ServiceName& to,
    const std::string& label,
    const std::map<InstanceName, InstanceFacts>& facts,
    LabelNeeds& needs,
    SteadyTime now) {
  Pool& source = pools[from];
  Pool& destination = pools[to];
  std::erase_if(source.movable, [&](const auto& movable) {
    const InstanceName& name = movable.second;
    if (!needs.Has(name, label) ||
        !MayMoveLabelled(source, destination, from, to, name, label, needs)) {
      return false;
    }
    --source.have;
    ++destination.have;
    needs.Move(from, to, name);
    this->BeginMove(name, from, to, facts, now);
    return true;
  });
}

// True if an instance with a label may move from pool `from` to pool `to`. A
// pool gets no more than it needs. A pool that has none with the label gets one
// whenever the other pool keeps at least one. Otherwise a pool gives up only
// instances whose labels it has enough of, and gives up an instance that it
// needs only if the other pool can give one in exchange or has none with the
// label.
bool CapacityPlanner::MayMoveLabelled(const Pool& source,
                                      const Pool& destination,
                                      const ServiceName& from,
                                      const ServiceName& to,
                                      const InstanceName& name,
                                      const std::string& label,
                                      const LabelNeeds& needs) {
  const std::int64_t has = needs.CountIn(to, label);
  if (has >= needs.NeedOf(to, label)) {
    return false;
  }
  if (has == 0 && needs.CountIn(from, label) > 1) {
    return true;
  }
  const bool can_do_without = has == 0 || source.have > source.want ||
                              destination.have >= destination.want;
  return can_do_without && needs.CanSpare(from, name);
}

// Returns how many instances a pool needs for its long-running tasks and for
// `short_millicores` of short tasks.
std::int64_t CapacityPlanner::InstancesFor(
    const Pool& pool,
    const jobs::ServiceDemand& service,
    std::int64_t short_millicores) const {
  const std::int64_t millicores =
      service.long_running_millicores +
      short_millicores * (kPermille + this->settings.reserve_permille) /
          kPermille;
  return std::max(
      {this->settings.min_instances_per_pool, service.min_instances,
       (millicores + pool.instance_millicores - 1) / pool.instance_millicores});
}

// Moves instances from a pool that has more than it needs to pool `to`, until
// none is missing there. Instances with the fewest runs are moved first.
void CapacityPlanner::MoveSurplus(
    const ServiceName& from,
    Pool& pool,
    const ServiceName& to,
    std::int64_t& missing,
    const std::map<InstanceName, InstanceFacts>& facts,
    LabelNeeds& needs,
    SteadyTime now) {
  auto item = pool.movable.begin();
  while (missing > 0 && pool.have > pool.want && item != pool.movable.end()) {
    const InstanceName name = item->second;
    if (!needs.CanSpare(from, name)) {
      ++item;
      continue;
    }
    item = pool.movable.erase(item);
    --pool.have;
    --missing;
    needs.Move(from, to, name);
    this->BeginMove(name, from, to, facts, now);
  }
}

// Moves instances to pools that have too few: first instances that are switched
// off, then those of pools that have more than they need. For late work, which
// has no value any more, a pool gets only instances that are switched off, and
// gives them back as soon as another pool needs them.
void CapacityPlanner::GrowPools(
    const jobs::JobsState& state,
    std::map<ServiceName, Pool>& pools,
    const std::map<InstanceName, InstanceFacts>& facts,
    LabelNeeds& needs,
    SteadyTime now) {
  std::vector<std::pair<std::int64_t, ServiceName>> order;
  for (const auto& [name, pool] : pools) {
    if (pool.want > pool.have && !IsHeadroom(state, name)) {
      order.emplace_back(pool.have - pool.want, name);
    }
  }
  std::sort(order.begin(), order.end());
  for (const auto& [negative_shortage, to] : order) {
    std::int64_t missing = -negative_shortage;
    for (const bool takes_headroom : {true, false}) {
      for (auto& [from, pool] : pools) {
        if (from != to && IsHeadroom(state, from) == takes_headroom) {
          this->MoveSurplus(from, pool, to, missing, facts, needs, now);
        }
      }
    }
  }
  for (auto& [to, needy] : pools) {
    std::int64_t missing =
        needy.want_with_late - std::max(needy.have, needy.want);
    for (auto& [from, pool] : pools) {
      if (IsHeadroom(state, from) && !IsHeadroom(state, to)) {
        this->MoveSurplus(from, pool, to, missing, facts, needs, now);
      }
    }
  }
}

// Moves empty instances from pools that have had too many for `surplus_time` to
// a pool whose instances are switched off. After each change of a data
// centre's use that time begins anew.
void CapacityPlanner::ShrinkPools(
    const jobs::JobsState& state,
    std::map<ServiceName, Pool>& pools,
    const std::map<InstanceName, InstanceFacts>& facts,
    LabelNeeds& needs,
    WallTime wall_now,
    SteadyTime now) {
  if (EvacuatedInstances::HasRecentChange(state, this->settings.evacuation_hold,
                                          wall_now)) {
    this->surplus_since.clear();
    return;
  }
  const auto headroom = std::find_if(
      pools.begin(), pools.end(),
      [&](const auto& pool) { return IsHeadroom(state, pool.first); });
  if (headroom == pools.end()) {
    return;
  }
  for (auto& [name, pool] : pools) {
    if (IsHeadroom(state, name) || pool.have <= pool.want_with_late) {
      this->surplus_since.erase(name);
      continue;
    }
    const auto since = this->surplus_since.try_emplace(name, now).first->second;
    if (now - since < this->settings.surplus_time) {
      continue;
    }
    auto item = pool.movable.begin();
    while (pool.have > pool.want_with_late && item != pool.movable.end() &&
           item->first == 0) {
      const InstanceName instance = item->second;
      if (!needs.CanSpare(name, instance)) {
        ++item;
        continue;
      }
      item = pool.movable.erase(item);
      --pool.have;
      needs.Move(name, headroom->first, instance);
      this->BeginMove(instance, name, headroom->first, facts, now);
    }
  }
}

void CapacityPlanner::BeginMove(
    const InstanceName& name,
    const ServiceName& from,
    const ServiceName& to,
    const std::map<InstanceName, InstanceFacts>& facts,
    SteadyTime now) {
  const auto known = facts.find(name);
  this->moves[name] =
      Move{.from = from,
           .to = to,
           .worker = known == facts.end() ? WorkerId() : known->second.worker,
           .since = now};
}

// True if a record of a move of the instance by this leader is committed, so
// that the order may be sent.
bool CapacityPlanner::HasRecord(const jobs::JobsState& state,
                                const InstanceName& name) const {
  const auto record = state.record().moves.find(name);
  return record != state.record().moves.end() &&
         record->second.epoch == this->epoch;
}

// True if no record of this move is committed yet, although one of an earlier
// move of the instance may be. An earlier record names another worker, and will
// soon be too old to keep the next leader from giving orders about the
// instance.
bool CapacityPlanner::IsRecordOld(const jobs::JobsState& state,
                                  const InstanceName& name,
                                  Move& move) const {
  if (!this->HasRecord(state, name)) {
    return true;
  }
  const jobs::MoveRecord& record = state.record().moves.at(name);
  if (!std::exchange(move.has_checked_record, true)) {
    move.earlier_record = record;
  }
  return move.earlier_record && move.earlier_record->at == record.at;
}

void CapacityPlanner::AdvanceMoves(
    const jobs::JobsState& state,
    const std::map<InstanceName, InstanceFacts>& facts,
    SteadyTime now,
    CapacityOutput& output) {
  jobs::RecordMoves to_record;
  for (auto item = this->moves.begin(); item != this->moves.end();) {
    auto& [name, move] = *item;
    const auto known = facts.find(name);
    // No worker appears on an instance that is switched off, so that its move
    // counts as complete after the move time.
    const bool has_arrived =
        (known != facts.end() && !known->second.is_only_announced &&
         known->second.worker != move.worker) ||
        (IsHeadroom(state, move.to) &&
         now - move.accepted_at >= this->settings.move_time);
    const bool is_overdue = now - move.since > this->settings.max_move_duration;
    // A move that has not been ordered yet ends with the evacuation of the
    // instance's data centre.
    const bool is_cancelled = !move.is_accepted && !move.is_under_way &&
                              this->evacuated.Has(state, facts, name);
    if ((move.is_accepted && has_arrived) || is_cancelled ||
        (is_overdue && !move.is_under_way)) {
      item = this->moves.erase(item);
      continue;
    }
    output.cordoned.insert(name);
    const bool is_empty =
        known == facts.end() ||
        (known->second.budgeted_runs == 0 && known->second.other_runs == 0);
    const bool is_due =
        !move.is_accepted && !move.is_under_way && is_empty && now >= move.due;
    const bool is_record_wanted =
        is_due && this->IsRecordOld(state, name, move);
    if (is_record_wanted && now >= move.record_due) {
      move.record_due = now + this->settings.retry;
      to_record.instances.push_back(name);
      if (!move.worker.value().empty()) {
        to_record.workers[name] = move.worker;
      }
    }
    // NOTE: At peak load instances move between pools every few seconds. If
    // each order waited for its own record, it would come too late for the
    // shift in demand. Only the first move of an instance under a leader waits
    // for its record.
    if (is_due && this->HasRecord(state, name)) {
      move.is_under_way = true;
      output.orders.push_back(InstanceOrder{.instance = name,
                                            .pool = move.to,
                                            .holder = this->holder,
                                            .epoch = this->epoch});
    }
    ++item;
  }
  if (!to_record.instances.empty()) {
    output.commands.emplace_back(std::move(to_record));
  }
}

std::vector<jobs::Command> CapacityPlanner::HandleOrderResult(
    const InstanceOrder& order,
    InstanceResult result,
    SteadyTime now) {
  std::vector<jobs::Command> commands;
  const auto found = this->moves.find(order.instance);
  if (found == this->moves.end()) {
    return commands;
  }
  Move& move = found->second;
  move.is_under_way = false;
  move.due = now + this->settings.retry;
  switch (result) {
    case InstanceResult::kDone:
      move.is_accepted = true;
      move.accepted_at = now;
      this->known_pools[order.instance] = KnownPool{move.to, now};
      if (!move.worker.value().empty()) {
        commands.emplace_back(jobs::ForgetWorker{move.worker, true});
      }
      break;
    case InstanceResult::kBusy:
    case InstanceResult::kNotInWave:
    case InstanceResult::kUnknownInstance:
      this->moves.erase(found);
      break;
    case InstanceResult::kFenced:
      this->has_been_fenced = true;
      break;
    case InstanceResult::kRefused:
    case InstanceResult::kUnknown:
      break;
  }
  return commands;
}

}  // namespace sumac::maintenance
