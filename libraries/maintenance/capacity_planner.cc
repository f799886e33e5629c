// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/capacity_planner.h"

#include <algorithm>
#include <array>
#include <utility>

#include "libraries/maintenance/pool_need.h"

namespace sumac::maintenance {
namespace {

constexpr std::int64_t kPermille = 1'000;
// The mean load from which a pool's instances count as used. Below it, more
// instances would not let more jobs begin.
constexpr std::int64_t kUsedPermille = 700;

}  // namespace

CapacityPlanner::CapacityPlanner(CapacitySettings settings,
                                 ProcessName holder,
                                 LeaderEpoch epoch,
                                 SteadyTime now)
    : settings(settings),
      epoch(epoch),
      began_at(now),
      moves(settings.moves, std::move(holder), epoch) {}

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
  for (const auto& [name, move] : this->moves.all()) {
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
  if (!this->settings.is_on || this->moves.has_been_fenced()) {
    return output;
  }
  this->UpdateLabels(facts);
  LabelNeeds needs(this->labels, demand);
  Pools pools = this->CountPools(state, facts, busy, needs, wall_now, now);
  this->CountNeeds(demand, pools, needs, now);
  this->FindSurplus(state, pools, wall_now, now);
  this->ReportPools(pools);
  this->wishes.clear();
  this->GrowPoolsByLabel(pools, needs);
  this->GrowPools(pools, needs);
  this->GrowPoolsForLateWork(pools, needs);
  this->ShrinkPools(pools, needs);
  this->BeginWishedMoves(facts, now);
  this->moves.Advance(state, facts, this->evacuated, now, output);
  return output;
}

// True unless the previous leader may have ordered a move of this instance a
// moment ago.
bool CapacityPlanner::MayMove(const jobs::JobsState& state,
                              const InstanceName& name,
                              WallTime wall_now,
                              SteadyTime now) const {
  if (!this->IsTakingOver(now)) {
    return true;
  }
  const auto record = state.record().moves.find(name);
  return record == state.record().moves.end() ||
         !this->MayBeUnderWay(record->second, wall_now);
}

bool CapacityPlanner::MayBeUnderWay(const jobs::MoveRecord& record,
                                    WallTime wall_now) const {
  // NOTE: The clocks of two leaders may differ by seconds, so the limit is
  // twice the pause.
  return record.epoch != this->epoch &&
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
  if (!this->IsTakingOver(now)) {
    return;
  }
  for (const auto& [name, record] : state.record().moves) {
    const auto known = facts.find(name);
    const bool may_end =
        known != facts.end() && record.worker == known->second.worker;
    if (may_end && this->MayBeUnderWay(record, wall_now)) {
      output.cordoned.insert(name);
    }
  }
}

CapacityPlanner::Pools CapacityPlanner::CountPools(
    const jobs::JobsState& state,
    const std::map<InstanceName, InstanceFacts>& facts,
    const std::set<InstanceName>& busy,
    LabelNeeds& needs,
    WallTime wall_now,
    SteadyTime now) const {
  Pools pools;
  for (const auto& [name, service] : state.declaration().services()) {
    pools[name].is_headroom = service.is_headroom;
  }
  for (const auto& [name, instance] : facts) {
    if (this->moves.contains(name) || instance.is_leaving) {
      continue;
    }
    Pool& pool = pools[instance.service];
    if (instance.capacity.millicores > pool.instance.millicores) {
      pool.instance = instance.capacity;
    }
    // An instance that is about to be maintained counts as unavailable.
    if (busy.contains(name) || this->evacuated.Has(state, facts, name)) {
      continue;
    }
    ++pool.have;
    ++pool.present;
    pool.load_permille += instance.load_permille;
    needs.Add(instance.service, name);
    if (instance.budgeted_runs == 0 && !instance.is_needed &&
        !this->moves.IsPaused(name, now) &&
        this->MayMove(state, name, wall_now, now)) {
      pool.movable.emplace_back(static_cast<std::int64_t>(instance.other_runs),
                                name);
    }
  }
  for (const auto& [name, known_pool] : this->known_pools) {
    const auto found = pools.find(known_pool.service);
    if (found == pools.end() || !found->second.is_headroom) {
      continue;
    }
    const bool is_free = !facts.contains(name) && !busy.contains(name) &&
                         !this->moves.contains(name) &&
                         !this->evacuated.Has(state, facts, name);
    if (is_free && this->MayMove(state, name, wall_now, now)) {
      found->second.movable.emplace_back(0, name);
      ++found->second.have;
      needs.Add(found->first, name);
    }
  }
  for (const auto& [name, move] : this->moves.all()) {
    if (!this->evacuated.Has(state, facts, name)) {
      ++pools[move.to].have;
      needs.Add(move.to, name);
    }
  }
  for (auto& [name, pool] : pools) {
    // NOTE: Thousands of instances that are switched off are in order already.
    if (!std::is_sorted(pool.movable.begin(), pool.movable.end())) {
      std::sort(pool.movable.begin(), pool.movable.end());
    }
  }
  return pools;
}

void CapacityPlanner::UpdateLabels(
    const std::map<InstanceName, InstanceFacts>& facts) {
  for (const auto& [name, instance] : facts) {
    if (!instance.labels.empty()) {
      std::vector<std::string>& known = this->labels[name];
      if (known != instance.labels) {
        known = instance.labels;
      }
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
        needs.CountAll(label) * pool.instance.millicores;
    const std::int64_t unservable =
        std::max<std::int64_t>(0, labelled.millicores - servable);
    const std::int64_t unservable_late =
        std::max<std::int64_t>(
            0, labelled.millicores + labelled.late_millicores - servable) -
        unservable;
    served.short_millicores -= std::min(unservable, served.short_millicores);
    const std::int64_t unservable_worthless =
        std::min(unservable_late, served.worthless_millicores);
    served.worthless_millicores -= unservable_worthless;
    served.late_millicores -= unservable_late - unservable_worthless;
    if (unservable > 0) {
      const std::string& required = label;
      std::erase_if(served.short_tasks,
                    [&required](const jobs::TaskGroup& group) {
                      return group.required_label == required;
                    });
    }
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
  return std::max<std::int64_t>(1, (millicores + pool.instance.millicores - 1) /
                                       pool.instance.millicores);
}

void CapacityPlanner::CountNeeds(
    const std::map<ServiceName, jobs::ServiceDemand>& demand,
    Pools& pools,
    LabelNeeds& needs,
    SteadyTime now) {
  std::int64_t instances = 0;
  std::map<ServiceName, PoolNeed> all_needs;
  for (auto& [name, pool] : pools) {
    instances += pool.have;
    if (pool.is_headroom) {
      continue;
    }
    // A pool without demand keeps its minimum, but takes no instance for it
    // that others use.
    pool.need[WorkClass::kLate] = this->settings.min_instances_per_pool;
    pool.need[WorkClass::kWorthless] = this->settings.min_instances_per_pool;
    const auto needed = demand.find(name);
    if (needed != demand.end() && pool.instance.millicores > 0) {
      const jobs::ServiceDemand service =
          this->ExcludeUnservableDemand(needed->second, pool, needs);
      pool.need =
          CountNeed(service, pool.instance,
                    {.max_reserve_permille = this->settings.reserve_permille,
                     .min_instances = this->settings.min_instances_per_pool});
      for (const auto& [label, labelled] : service.by_label) {
        needs.SetNeed(name, label, this->LabelledInstancesFor(pool, labelled));
      }
    }
    all_needs[name] = pool.need;
    NeedHistory& history = this->histories[name];
    history.Record(pool.need[WorkClass::kInTime], this->settings.surplus_time,
                   now);
    pool.recent_need =
        history.Covers(this->settings.surplus_time, now)
            ? std::max(history.HighestWithin(this->settings.surplus_time, now),
                       this->settings.min_instances_per_pool)
            : pool.have;
  }
  for (const auto& [name, part] : DivideInstances(all_needs, instances)) {
    pools[name].part = part;
  }
}

// After each change of a data centre's use, the time for which a pool must have
// had too many instances begins anew.
void CapacityPlanner::FindSurplus(const jobs::JobsState& state,
                                  Pools& pools,
                                  WallTime wall_now,
                                  SteadyTime now) {
  if (EvacuatedInstances::HasRecentChange(state, this->settings.evacuation_hold,
                                          wall_now)) {
    this->surplus_since.clear();
    return;
  }
  for (auto& [name, pool] : pools) {
    if (pool.is_headroom || pool.have <= pool.need[WorkClass::kWorthless]) {
      this->surplus_since.erase(name);
      continue;
    }
    const auto since = this->surplus_since.try_emplace(name, now).first->second;
    pool.gives_up = now - since >= this->settings.surplus_time;
  }
}

// Moves instances to pools whose tasks require their labels. Instances that are
// switched off are moved first.
void CapacityPlanner::GrowPoolsByLabel(Pools& pools, LabelNeeds& needs) {
  for (const auto& [to, label] : needs.FindShortages()) {
    for (const bool takes_headroom : {true, false}) {
      for (const auto& [from, pool] : pools) {
        if (from != to && pool.is_headroom == takes_headroom) {
          this->MoveLabelled(pools, from, to, label, needs);
        }
      }
    }
  }
}

// Moves instances with a label from one pool to another that has too few of
// them.
void CapacityPlanner::MoveLabelled(Pools& pools,
                                   const ServiceName& from,
                                   const ServiceName& to,
                                   const std::string& label,
                                   LabelNeeds& needs) {
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
    this->wishes.push_back(Wish{name, to, movable.first});
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
  const bool can_do_without =
      has == 0 || source.have > source.need[WorkClass::kInTime] ||
      destination.have >= destination.need[WorkClass::kInTime];
  return can_do_without && needs.CanSpare(from, name);
}

std::int64_t CapacityPlanner::Take(Pools& pools,
                                   const ServiceName& from,
                                   const ServiceName& to,
                                   std::int64_t most,
                                   LabelNeeds& needs) {
  Pool& pool = pools[from];
  std::int64_t taken = 0;
  // The instances whose labels the pool needs stay at the front.
  auto kept = pool.movable.begin();
  auto item = pool.movable.begin();
  for (; taken < most && item != pool.movable.end(); ++item) {
    if (!needs.CanSpare(from, item->second)) {
      std::iter_swap(kept++, item);
      continue;
    }
    needs.Move(from, to, item->second);
    this->wishes.push_back(Wish{std::move(item->second), to, item->first});
    ++taken;
  }
  pool.movable.erase(kept, item);
  pool.have -= taken;
  pools[to].have += taken;
  return taken;
}

// Moves instances to pools that have too few for work that can be in time:
// first those that other pools give up by themselves, then those that are
// switched off, then those that other pools do not need now. A pool with less
// than half of its part gets what others have beyond theirs; a smaller
// difference is not worth the moves.
void CapacityPlanner::GrowPools(Pools& pools, LabelNeeds& needs) {
  const std::int64_t floor = this->settings.min_instances_per_pool;
  const std::array<std::int64_t (*)(const Pool&, std::int64_t), 4> sources = {
      [](const Pool& pool, std::int64_t) { return pool.CountGivenUp(); },
      [](const Pool& pool, std::int64_t) {
        return pool.is_headroom ? pool.have : 0;
      },
      [](const Pool& pool, std::int64_t least) {
        return pool.have - std::max(least, pool.need[WorkClass::kInTime]);
      },
      [](const Pool& pool, std::int64_t least) {
        return pool.have - std::max(least, pool.part[WorkClass::kInTime]);
      }};
  std::vector<std::pair<std::int64_t, ServiceName>> order;
  for (const auto& [name, pool] : pools) {
    const std::int64_t part = pool.part[WorkClass::kInTime];
    if (part > pool.have) {
      order.emplace_back(pool.have - part, name);
    }
  }
  std::sort(order.begin(), order.end());
  for (const auto& [negative_shortage, to] : order) {
    std::int64_t missing = -negative_shortage;
    const bool is_starving = missing > pools[to].have;
    for (std::size_t number = 0; number < sources.size(); ++number) {
      if (number + 1 == sources.size() && !is_starving) {
        break;
      }
      for (const auto& [from, pool] : pools) {
        if (from != to && missing > 0) {
          missing -= this->Take(pools, from, to,
                                std::min(missing, sources[number](pool, floor)),
                                needs);
        }
      }
    }
  }
}

// Moves instances to pools with late work: those that are switched off or that
// other pools give up by themselves, and for late work that is still worth
// something also those that other pools have not needed for a while.
void CapacityPlanner::GrowPoolsForLateWork(Pools& pools, LabelNeeds& needs) {
  for (const WorkClass work : {WorkClass::kLate, WorkClass::kWorthless}) {
    for (auto& [to, needy] : pools) {
      for (const auto& [from, pool] : pools) {
        const std::int64_t missing =
            needy.part[work] -
            std::max(needy.have, needy.part[WorkClass::kInTime]);
        if (from == to || missing <= 0) {
          continue;
        }
        const std::int64_t unneeded =
            work == WorkClass::kLate
                ? pool.have -
                      std::max(pool.recent_need, pool.need[WorkClass::kLate])
                : pool.CountGivenUp();
        this->Take(pools, from, to,
                   std::min(missing, pool.is_headroom ? pool.have : unneeded),
                   needs);
      }
    }
  }
}

// Moves empty instances that pools give up to the pool whose instances are
// switched off.
void CapacityPlanner::ShrinkPools(Pools& pools, LabelNeeds& needs) {
  const auto headroom =
      std::find_if(pools.begin(), pools.end(),
                   [](const auto& pool) { return pool.second.is_headroom; });
  if (headroom == pools.end()) {
    return;
  }
  for (auto& [name, pool] : pools) {
    const auto empty =
        std::count_if(pool.movable.begin(), pool.movable.end(),
                      [](const auto& movable) { return movable.first == 0; });
    this->Take(pools, name, headroom->first,
               std::min(pool.CountGivenUp(), std::int64_t{empty}), needs);
  }
}

void CapacityPlanner::ReportPools(const Pools& pools) {
  this->last_reports.clear();
  for (const auto& [name, pool] : pools) {
    this->last_reports[name] = {
        .have = pool.have,
        .movable = static_cast<std::int64_t>(pool.movable.size()),
        .load_permille =
            pool.load_permille / std::max<std::int64_t>(1, pool.present),
        .need = pool.need,
        .part = pool.part};
  }
  for (const auto& [name, move] : this->moves.all()) {
    ++this->last_reports[move.to].under_way;
  }
}

double CapacityPlanner::ExpectedGrowth(const ServiceName& service) const {
  const auto found = this->last_reports.find(service);
  if (found == this->last_reports.end() ||
      found->second.load_permille < kUsedPermille) {
    return 1;
  }
  const PoolReport& pool = found->second;
  const std::int64_t present =
      std::max<std::int64_t>(1, pool.have - pool.under_way);
  const std::int64_t expected =
      std::max(pool.have, pool.part[WorkClass::kInTime]);
  return std::max(1.0,
                  static_cast<double>(expected) / static_cast<double>(present));
}

// Begins the moves that are wished for, the most important first. An instance
// that must become empty first may begin at once: it does not wait for the
// platform. The others begin as the platform can carry them out.
void CapacityPlanner::BeginWishedMoves(
    const std::map<InstanceName, InstanceFacts>& facts,
    SteadyTime now) {
  std::int64_t free = this->moves.CountFree();
  for (const Wish& wish : this->wishes) {
    PoolReport& report = this->last_reports[wish.to];
    ++report.wanted;
    if (wish.runs == 0 && free-- <= 0) {
      continue;
    }
    ++report.begun;
    const auto known = facts.find(wish.instance);
    this->moves.Begin(
        wish.instance,
        MoveTable::Move{
            .to = wish.to,
            .worker = known == facts.end() ? WorkerId() : known->second.worker,
            .since = now,
            .is_draining = wish.runs > 0});
  }
}

std::vector<jobs::Command> CapacityPlanner::HandleOrderResult(
    const InstanceOrder& order,
    InstanceResult result,
    SteadyTime now) {
  if (result == InstanceResult::kDone && this->moves.contains(order.instance)) {
    this->known_pools[order.instance] = KnownPool{order.pool, now};
  }
  return this->moves.HandleOrderResult(order, result, now);
}

}  // namespace sumac::maintenance
