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
  const SteadyTime requested_at = listing.requested_at().value_or(SteadyTime{});
  std::map<InstanceName, KnownPool> listed;
  std::erase_if(this->labels, [&listing](const auto& known) {
    return !listing.rows().contains(known.first);
  });
  for (const auto& [name, instance] : listing.rows()) {
    this->labels[name] = instance.labels;
    const auto known = this->known_pools.find(name);
    // NOTE: A list that was asked for before a move was taken shows the pool
    // before it; until the next one the instance would count as nobody's.
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
  this->ShrinkPools(state, pools, facts, needs, now);
  this->AdvanceMoves(state, facts, now, output);
  return output;
}

// The leader before may have ordered a move of this instance a moment ago.
bool CapacityPlanner::MayMove(const jobs::JobsState& state,
                              const InstanceName& name,
                              WallTime wall_now,
                              SteadyTime now) const {
  const auto record = state.record().moves.find(name);
  return record == state.record().moves.end() ||
         !this->MayBeUnderWay(record->second, wall_now, now);
}

// True if an order of an earlier leader may be under way.
bool CapacityPlanner::MayBeUnderWay(const jobs::MoveRecord& record,
                                    WallTime wall_now,
                                    SteadyTime now) const {
  // NOTE: Two leaders' clocks may differ by seconds, so what counts is twice
  // the pause.
  return now - this->began_at <= this->settings.takeover_pause &&
         record.epoch != this->epoch &&
         wall_now - record.at <= 2 * this->settings.takeover_pause;
}

// What this leader started on such an instance could end with an order of the
// one before. The instance is free once another worker runs there.
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
    // One that is about to be maintained is as good as away.
    if (busy.contains(name)) {
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
                         IsHeadroom(state, service);
    if (is_free && this->MayMove(state, name, wall_now, now)) {
      pools[service].movable.emplace_back(0, name);
      ++pools[service].have;
      needs.Add(service, name);
    }
  }
  for (const auto& [name, move] : this->moves) {
    ++pools[move.to].have;
    needs.Add(move.to, name);
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

// The demand without what more instances would not help: tasks that require a
// label beyond what all instances with that label could take.
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

// Instances with a label that a pool needs for the tasks that require it. Late
// tasks must run, too, so there is one for them.
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

// Gives pools instances that have the labels that their tasks require, those
// that are off first.
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

// Sends instances with a label from one pool to another that lacks it.
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

// A pool that has none with the label takes one in any case where another
// keeps one. Otherwise a pool gives up only what it has enough of, and an
// instance that it uses only if the destination can give another one in
// exchange.
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

// Instances that a pool needs for its long-running tasks and so much short
// work.
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

// Sends instances of a pool that has more than it needs, the emptiest first,
// until none is missing.
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

// Pools that have too few take instances that are off first, then those of
// pools that have more than they need. For work that earns nothing any more a
// pool takes only what is off, and gives it back as soon as another needs it.
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

// Pools that have had too many for a while send empty instances to a pool whose
// instances are off.
void CapacityPlanner::ShrinkPools(
    const jobs::JobsState& state,
    std::map<ServiceName, Pool>& pools,
    const std::map<InstanceName, InstanceFacts>& facts,
    LabelNeeds& needs,
    SteadyTime now) {
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

// True if this leader has a move of the instance on record, so that the order
// may go out.
bool CapacityPlanner::HasRecord(const jobs::JobsState& state,
                                const InstanceName& name) const {
  const auto record = state.record().moves.find(name);
  return record != state.record().moves.end() &&
         record->second.epoch == this->epoch;
}

// True if what is on record is an earlier move of the instance. It names
// another worker and soon is too old to keep a next leader away from the
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
    // Where instances are off no worker appears.
    const bool has_arrived =
        (known != facts.end() && !known->second.is_only_announced &&
         known->second.worker != move.worker) ||
        (IsHeadroom(state, move.to) &&
         now - move.accepted_at >= this->settings.move_time);
    const bool is_overdue = now - move.since > this->settings.max_move_duration;
    if ((move.is_accepted && has_arrived) ||
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
    // NOTE: Instances go from pool to pool within seconds in a rush. An order
    // that waited for a record of its own each time would come too late for the
    // turn; the first move of an instance under a leader waits.
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
