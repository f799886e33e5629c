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

constexpr Milliseconds kPlanInterval{50};
// While commands of its own are being committed, which is nearly always in a
// rush: a look costs the loop more than a millisecond then, and what it wants
// hardly changes before they are on record.
constexpr Milliseconds kBusyPlanInterval{200};
// The list is fetched this often while a wave is under way. Each fetch has a
// price, and what changes fast is seen from the workers.
constexpr Milliseconds kListInterval{2'000};
// Without a wave it only shows instances that others added or took away.
constexpr Milliseconds kQuietListInterval{15'000};
// For as many instances; with more the planners look the more seldom, so that
// they take the same part of the loop, some 3 % at 350 instances. Moves and
// maintenance take seconds.
constexpr std::int64_t kInstancesPerInterval = 400;
// While a worker fails to answer, the list tells whether its instance is up.
constexpr Milliseconds kStatusCheckInterval{250};
// A longer list is fetched the more seldom, but often enough that what ran on
// an instance that is down starts elsewhere long before its lease is over.
constexpr Milliseconds kMaxStatusCheckInterval{1'000};

std::string_view NameOfResult(maintenance::InstanceResult result) {
  using enum maintenance::InstanceResult;
  switch (result) {
    case kDone:
      return "done";
    case kBusy:
      return "busy";
    case kFenced:
      return "fenced";
    case kNotInWave:
      return "not of this wave";
    case kUnknownInstance:
      return "unknown instance";
    case kRefused:
      return "refused";
    case kUnknown:
      return "unanswered";
  }
  return "?";
}

Milliseconds StatusCheckInterval(std::size_t instances) {
  return std::clamp(kStatusCheckInterval *
                        static_cast<std::int64_t>(instances) /
                        kInstancesPerInterval,
                    kStatusCheckInterval, kMaxStatusCheckInterval);
}

// What the list says of these instances.
std::map<InstanceName, scheduler::InstanceStatus> FindStatuses(
    const maintenance::InstanceListing& listing,
    const std::set<InstanceName>& instances) {
  std::map<InstanceName, scheduler::InstanceStatus> statuses;
  for (const InstanceName& name : instances) {
    scheduler::InstanceStatus& instance_status = statuses[name];
    const maintenance::ListedInstance* row = listing.Find(name);
    // One that only the last list lacks, or whose row tells nothing, may be up
    // as before.
    const bool is_unclear =
        row == nullptr ? listing.rows().contains(name)
                       : row->state == maintenance::InstanceState::kUnknown;
    if (is_unclear) {
      instance_status.is_up = true;
    } else if (row != nullptr) {
      instance_status = {.is_up = row->state == maintenance::InstanceState::kUp,
                         .worker = row->worker};
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
    // The platform has no door for instances; a look-up of no address would
    // also run on a thread that outlives a planned stop.
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
  for (const maintenance::InstanceCompletion& note : output.completions) {
    LogEvent(LogLevel::kInfo, "maintenance-over",
             {{"instance", note.instance.value()},
              {"wave", note.wave.value()},
              {"reason", note.reason}});
  }
  this->PlanCapacity(facts, output, now);
  this->scheduler.SetCordoned(std::move(output.cordoned));
  this->Commit(std::move(output.commands));
  for (const maintenance::InstanceOrder& order : output.orders) {
    this->Send(order);
  }
}

// Adds what the capacity planner decides to what the wave planner did.
void InstanceManager::PlanCapacity(
    std::map<InstanceName, maintenance::InstanceFacts>& facts,
    maintenance::MaintenanceOutput& wave_output,
    SteadyTime now) {
  // An instance that is moving without a worker is nobody's to count.
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

// NOTE: The planners look on while their commands are being committed, and want
// the same until it is on record: in a rush commits take so long that waiting
// for them would put the moves off that the rush needs.
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
        LogEvent(LogLevel::kInfo, "instance-ordered",
                 {{"instance", order.instance.value()},
                  {"wave", order.wave.value()},
                  {"pool", order.pool.value()},
                  {"epoch", order.epoch.value()},
                  {"result", NameOfResult(result)}});
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
  // A row that can't be read may be that of any worker, and a platform without
  // any instance has lost its list, not its instances.
  if (this->listing.has_nameless_rows() || this->listing.rows().empty()) {
    return;
  }
  const std::set<InstanceName> instances =
      this->scheduler.PossiblyDownInstances();
  this->scheduler.HandleInstanceStatus(FindStatuses(this->listing, instances),
                                       this->last_list);
}

// One line a list: how many instances of each pool are in which state.
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
