// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/instance_manager.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/codec/cbor_writer.h"
#include "libraries/log/json_log.h"
#include "services/sumacd/instance_facts.h"

namespace sumac::daemon {
namespace {

// The minimum interval of planning passes.
constexpr Milliseconds kPlanInterval{50};
// The minimum interval while commands of the planners are being committed,
// which under peak load is nearly always. A pass then costs the loop more than
// a millisecond, and its decisions hardly change before these commands are
// committed.
constexpr Milliseconds kBusyPlanInterval{200};
// The interval at which the list is fetched while a wave is running. Each fetch
// costs processor time, and fast changes are noticed through the workers.
constexpr Milliseconds kListInterval{2'000};
// The interval without a wave, when the list only shows instances that were
// added or removed by others.
constexpr Milliseconds kQuietListInterval{15'000};
// The number of instances up to which kPlanInterval and kStatusCheckInterval
// apply. With more instances they grow in proportion, so that planning takes a
// constant share of the loop, some 3 % at 350 instances. Moves and maintenance
// take seconds, so longer intervals do no harm.
constexpr std::int64_t kInstancesPerInterval = 400;
// The interval at which the list is fetched while a worker does not answer, to
// find out whether its instance is up.
constexpr Milliseconds kStatusCheckInterval{250};
// The maximum of that interval for long lists; short enough that the tasks of
// an instance that is down start elsewhere long before the worker's lease
// expires.
constexpr Milliseconds kMaxStatusCheckInterval{1'000};

Milliseconds StatusCheckInterval(std::size_t instances) {
  return std::clamp(kStatusCheckInterval *
                        static_cast<std::int64_t>(instances) /
                        kInstancesPerInterval,
                    kStatusCheckInterval, kMaxStatusCheckInterval);
}

// Returns the status of these instances according to the list.
std::map<InstanceName, scheduler::InstanceStatus> FindStatuses(
    const maintenance::InstanceListing& listing,
    const std::set<InstanceName>& instances) {
  std::map<InstanceName, scheduler::InstanceStatus> statuses;
  for (const InstanceName& name : instances) {
    scheduler::InstanceStatus& instance_status = statuses[name];
    const maintenance::ListedInstance* row = listing.Find(name);
    // An instance that only the last list lacks, or whose row has no known
    // state, may still be up.
    const bool is_unclear =
        row == nullptr ? listing.rows().contains(name)
                       : row->state == maintenance::InstanceState::kUnknown;
    if (is_unclear) {
      instance_status.is_up = true;
    } else if (row != nullptr) {
      instance_status = {
          .is_up = row->state == maintenance::InstanceState::kUp,
          .worker = row->worker,
          .is_down = row->state == maintenance::InstanceState::kDown};
    }
  }
  return statuses;
}

}  // namespace

InstanceManager::InstanceManager(
    const jobs::JobsState& state,
    scheduler::Scheduler& scheduler,
    maintenance::InstanceCalls calls,
    Host host,
    maintenance::MaintenanceSettings maintenance_settings,
    maintenance::CapacitySettings capacity_settings,
    ProcessName holder,
    SteadyTime now)
    : state(state),
      scheduler(scheduler),
      calls(std::move(calls)),
      host(std::move(host)),
      waves(maintenance_settings, holder, state.epoch(), now),
      capacity(capacity_settings, std::move(holder), state.epoch(), now),
      tasks(*this) {}

void InstanceManager::Plan(WallTime wall_now, SteadyTime now) {
  const auto instances =
      static_cast<std::int64_t>(this->scheduler.sessions().size());
  const Milliseconds shortest =
      this->open_commands.empty() ? kPlanInterval : kBusyPlanInterval;
  const Milliseconds interval =
      std::max(shortest, kPlanInterval * instances / kInstancesPerInterval);
  if (now - this->last_plan < interval) {
    return;
  }
  this->last_plan = now;
  if (!this->calls.list) {
    // The platform has no interface for instances. Resolving an empty address
    // would also run on a thread that outlives a planned stop.
    return;
  }
  this->RefreshList(now);
  std::map<InstanceName, maintenance::InstanceFacts> facts =
      GatherInstanceFacts(this->scheduler);
  for (const InstanceName& name : this->capacity.MovingInstances()) {
    facts[name].is_moving = true;
  }
  maintenance::MaintenanceOutput output =
      this->waves.Plan(this->state, facts, this->listing, wall_now, now);
  for (const maintenance::InstanceCompletion& completion : output.completions) {
    LogEvent(LogLevel::kInfo, "maintenance-over",
             {{"instance", completion.instance.value()},
              {"wave", completion.wave.value()},
              {"reason", completion.reason}});
  }
  for (const maintenance::CordonReturn& given_back : output.cordon_returns) {
    LogEvent(LogLevel::kWarning, "cordon-given-back",
             {{"instance", given_back.instance.value()},
              {"wave", given_back.wave.value()},
              {"reason", given_back.reason}});
  }
  std::set<InstanceName> due_for_maintenance = output.cordoned;
  this->PlanCapacity(facts, output, now);
  this->scheduler.SetCordoned(std::move(output.cordoned),
                              std::move(due_for_maintenance));
  this->Commit(std::move(output.commands));
  for (const maintenance::InstanceOrder& order : output.orders) {
    this->Send(order);
  }
}

// Adds the decisions of the capacity planner to those of the maintenance
// planner.
void InstanceManager::PlanCapacity(
    std::map<InstanceName, maintenance::InstanceFacts>& facts,
    maintenance::MaintenanceOutput& wave_output,
    SteadyTime now) {
  // An instance that is moving and has no worker counts for no pool.
  std::erase_if(facts, [](const auto& instance) {
    return instance.second.is_moving && instance.second.worker.value().empty();
  });
  std::set<InstanceName> busy = wave_output.cordoned;
  for (const auto& [id, wave] : this->state.waves()) {
    for (const auto& [name, instance] : wave.instances) {
      if (instance.state == jobs::MaintenanceState::kOrdered ||
          instance.state == jobs::MaintenanceState::kBegun) {
        busy.insert(name);
      }
    }
  }
  const WallTime wall_now = this->clock.Now();
  maintenance::CapacityOutput output = this->capacity.Plan(
      this->state, facts, this->scheduler.Demand(now, wall_now), busy, wall_now,
      now);
  this->move_log.RecordPass(this->capacity.reports());
  this->move_log.Write(now);
  wave_output.cordoned.merge(output.cordoned);
  std::move(output.commands.begin(), output.commands.end(),
            std::back_inserter(wave_output.commands));
  std::move(output.orders.begin(), output.orders.end(),
            std::back_inserter(wave_output.orders));
}

std::vector<jobs::Command> InstanceManager::HandleInstanceResult(
    const maintenance::InstanceOrder& order,
    maintenance::InstanceResult result) {
  const SteadyTime now = this->clock.SteadyNow();
  return order.wave.value().empty()
             ? this->capacity.HandleOrderResult(order, result, now)
             : this->waves.HandleOrderResult(this->state, order, result, now);
}

// Commits commands, except those that are being committed already.
//
// NOTE: The planners run on while their commands are being committed, and give
// the same commands again until then. Under peak load commits take so long that
// waiting for them would delay the moves that the load requires.
void InstanceManager::Commit(std::vector<jobs::Command> commands) {
  for (jobs::Command& command : commands) {
    const std::string key = ToCbor(jobs::StampedCommand{{}, command});
    if (!this->open_commands.insert(key).second) {
      continue;
    }
    this->tasks.add(this->host.propose(std::move(command))
                        .then([this, key](const fleet::Answer& /*answer*/) {
                          this->open_commands.erase(key);
                        }));
  }
}

void InstanceManager::Send(const maintenance::InstanceOrder& order) {
  if (!this->host.may_act()) {
    this->Commit(this->HandleInstanceResult(
        order, maintenance::InstanceResult::kRefused));
    return;
  }
  this->host.count_order();
  this->tasks.add(this->calls.send(order).then(
      [this, order](maintenance::InstanceResult result) {
        const bool is_move = order.wave.value().empty();
        if (is_move) {
          this->move_log.RecordAnswer(order.pool, result);
        }
        LogEvent(is_move ? LogLevel::kDebug : LogLevel::kInfo,
                 "instance-ordered",
                 {{"instance", order.instance.value()},
                  {"wave", order.wave.value()},
                  {"pool", order.pool.value()},
                  {"epoch", order.epoch.value()},
                  {"result", maintenance::NameOfResult(result)}});
        this->Commit(this->HandleInstanceResult(order, result));
      }));
}

void InstanceManager::RefreshList(SteadyTime now) {
  const Milliseconds interval =
      this->scheduler.NeedsInstanceCheck()
          ? StatusCheckInterval(this->scheduler.sessions().size())
      : maintenance::MaintenancePlanner::NeedsListing(this->state)
          ? kListInterval
          : kQuietListInterval;
  const bool is_first = this->last_list == SteadyTime{};
  if (this->is_listing || (!is_first && now - this->last_list < interval)) {
    return;
  }
  this->is_listing = true;
  this->last_list = now;
  this->pages.clear();
  this->nameless_rows = 0;
  this->tasks.add(this->FetchPages(""));
}

kj::Promise<void> InstanceManager::FetchPages(std::string token) {
  return this->calls.list(std::move(token))
      .then([this](absl::StatusOr<maintenance::InstancePage>&& page)
                -> kj::Promise<void> {
        if (!page.ok()) {
          LogEvent(LogLevel::kWarning, "instances-not-listed",
                   {{"error", std::string(page.status().message())}});
          this->is_listing = false;
          return kj::READY_NOW;
        }
        this->nameless_rows += page->nameless_rows;
        std::move(page->instances.begin(), page->instances.end(),
                  std::back_inserter(this->pages));
        if (!page->next_token.empty()) {
          return this->FetchPages(page->next_token);
        }
        this->is_listing = false;
        this->LogList();
        this->listing.RecordList(std::move(this->pages), this->last_list,
                                 this->nameless_rows > 0);
        this->UpdateInstanceStatuses();
        this->capacity.UpdateListing(this->listing);
        return kj::READY_NOW;
      });
}

void InstanceManager::UpdateInstanceStatuses() {
  // A row that doesn't name its instance may belong to any worker, and a
  // platform that lists no instance at all has lost its list, not its
  // instances.
  if (this->listing.has_nameless_rows() || this->listing.rows().empty()) {
    return;
  }
  const std::set<InstanceName> instances = this->scheduler.InstancesToCheck();
  this->scheduler.HandleInstanceStatus(FindStatuses(this->listing, instances),
                                       this->last_list);
}

// Logs one line for each list: the number of instances by pool and state.
void InstanceManager::LogList() const {
  std::map<std::pair<std::string_view, maintenance::InstanceState>, std::size_t>
      instances;
  for (const maintenance::ListedInstance& instance : this->pages) {
    ++instances[{instance.service.value(), instance.state}];
  }
  std::map<std::string, std::size_t> counts;
  for (const auto& [kind, count] : instances) {
    counts[StrCat(kind.first, "/", NameOf(kind.second))] = count;
  }
  LogEvent(LogLevel::kInfo, "instances-listed",
           {{"counts", counts}, {"nameless_rows", this->nameless_rows}});
}

void InstanceManager::taskFailed(kj::Exception&& exception) {
  LogEvent(LogLevel::kError, "task-failed",
           {{"error", exception.getDescription().cStr()}});
}

}  // namespace sumac::daemon
