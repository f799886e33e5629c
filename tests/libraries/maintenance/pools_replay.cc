// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/maintenance/pools_replay.h"

#include <algorithm>
#include <utility>

namespace sumac::maintenance {

PoolsReplay::PoolsReplay(const Settings& settings)
    : settings(settings),
      state([pools = settings.pools](std::string_view) {
        std::vector<jobs::ServiceDeclaration> services;
        services.reserve(pools + 1);
        for (int number = 0; number < pools; ++number) {
          services.push_back({.name = Pool(number)});
        }
        services.push_back({.name = kOff, .is_headroom = true});
        return jobs::JobsDeclaration(1, {}, std::move(services));
      }),
      planner(settings.capacity,
              ProcessName("c"),
              LeaderEpoch(1),
              SteadyTime(Milliseconds(10'000))) {
  this->state.Apply({this->wall(), jobs::Declare{1, "document"}});
  this->state.Apply({this->wall(), jobs::BeginEpoch{}});
  const auto add = [this](const ServiceName& pool, int count) {
    for (int number = 0; number < count; ++number) {
      this->instances[InstanceName(
          "m" + std::to_string(this->instances.size()))] = {.pool = pool};
    }
  };
  for (int number = 0; number < settings.pools; ++number) {
    add(Pool(number), settings.instances_per_pool);
  }
  add(kOff, settings.instances_off);
}

void PoolsReplay::ChangeLeader() {
  this->state.Apply({this->wall(), jobs::BeginEpoch{}});
  this->planner = CapacityPlanner(this->settings.capacity, ProcessName("c"),
                                  this->state.epoch(), this->now);
  this->orders.clear();
}

bool PoolsReplay::HasWorker(const Instance& instance) const {
  return instance.pool != kOff && instance.arrives_at <= this->now;
}

std::int64_t PoolsReplay::CountUsable(const ServiceName& pool) const {
  return std::count_if(
      this->instances.begin(), this->instances.end(), [&](const auto& item) {
        return item.second.pool == pool && this->HasWorker(item.second) &&
               !this->cordoned.contains(item.first);
      });
}

std::int64_t PoolsReplay::CountIn(const ServiceName& pool) const {
  return std::count_if(
      this->instances.begin(), this->instances.end(),
      [&pool](const auto& item) { return item.second.pool == pool; });
}

void PoolsReplay::DeliverList() {
  std::vector<ListedInstance> rows;
  rows.reserve(this->instances.size());
  for (const auto& [name, instance] : this->instances) {
    rows.push_back({.name = name,
                    .service = instance.pool,
                    .state = instance.arrives_at <= this->now
                                 ? InstanceState::kUp
                                 : InstanceState::kMoving});
  }
  this->listing.RecordList(std::move(rows), this->now);
  this->planner.UpdateListing(this->listing);
}

std::map<InstanceName, InstanceFacts> PoolsReplay::GatherFacts() const {
  std::map<InstanceName, InstanceFacts> facts;
  for (const auto& [name, instance] : this->instances) {
    if (!this->HasWorker(instance)) {
      continue;
    }
    const auto known = this->runs.find(name);
    facts[name] = {.worker = WorkerId(name.value() + "-" +
                                      std::to_string(instance.worker_number)),
                   .service = instance.pool,
                   .other_runs = known == this->runs.end() ? 0 : known->second,
                   .capacity = {.millicores = kCores, .memory_mb = 65'536}};
  }
  return facts;
}

void PoolsReplay::AnswerOrders() {
  const auto now_ms = static_cast<double>(this->now.time_since_epoch().count());
  while (!this->orders.empty() &&
         this->orders.front().accepted_at_ms <= now_ms) {
    const InstanceOrder order = this->orders.front().order;
    this->orders.pop_front();
    Instance& instance = this->instances.at(order.instance);
    if (instance.arrives_at > this->now) {
      this->planner.HandleOrderResult(order, InstanceResult::kBusy, this->now);
      continue;
    }
    instance.pool = order.pool;
    instance.arrives_at = this->now + this->settings.capacity.moves.move_time;
    ++instance.worker_number;
    ++this->moves;
    this->planner.HandleOrderResult(order, InstanceResult::kDone, this->now);
  }
}

void PoolsReplay::Play(
    Milliseconds time,
    const std::function<void(PoolsReplay&)>& before_each_pass) {
  constexpr int kPassesPerList = 20;
  constexpr double kMillisecondsPerSecond = 1'000;
  const SteadyTime end = this->now + time;
  for (int pass = 0; this->now < end; ++pass) {
    this->now += kPass;
    this->AnswerOrders();
    if (pass % kPassesPerList == 0) {
      this->DeliverList();
    }
    before_each_pass(*this);
    const CapacityOutput output =
        this->planner.Plan(this->state, this->GatherFacts(), this->demand, {},
                           this->wall(), this->now);
    this->cordoned = output.cordoned;
    this->most_cordoned = std::max(this->most_cordoned, output.cordoned.size());
    for (const jobs::Command& command : output.commands) {
      this->state.Apply({this->wall(), command});
    }
    for (const InstanceOrder& order : output.orders) {
      const auto now_ms =
          static_cast<double>(this->now.time_since_epoch().count());
      this->platform_free_at_ms =
          std::max(this->platform_free_at_ms, now_ms) +
          kMillisecondsPerSecond /
              static_cast<double>(this->settings.orders_a_second);
      this->orders.push_back({order, this->platform_free_at_ms});
    }
  }
}

}  // namespace sumac::maintenance
