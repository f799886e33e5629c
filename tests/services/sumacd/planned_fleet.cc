// SPDX-License-Identifier: Apache-2.0
#include "tests/services/sumacd/planned_fleet.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "services/sumacd/instance_facts.h"

namespace sumac::daemon {
namespace {

constexpr Milliseconds kPassInterval{50};
constexpr Milliseconds kMaintenanceTime{2'000};

}  // namespace

PlannedFleet::PlannedFleet(std::size_t workers, std::uint64_t seed)
    : fleet(workers, seed) {
  this->fleet.restart_time = kMaintenanceTime;
  this->BeginPlanners();
}

void PlannedFleet::BeginPlanners() {
  this->waves.emplace(maintenance::MaintenanceSettings(), ProcessName("c"),
                      this->fleet.state.epoch(), this->fleet.now);
  maintenance::CapacitySettings moves;
  // Only what earlier leaders have moved matters here.
  moves.is_on = false;
  this->capacity.emplace(moves, ProcessName("c"), this->fleet.state.epoch(),
                         this->fleet.now);
}

void PlannedFleet::ChangeLeader() {
  // The next leader can't know what the orders on record have come to.
  for (const auto& [id, wave] : this->fleet.state.waves()) {
    for (const auto& [name, instance] : wave.instances) {
      if (instance.state == jobs::MaintenanceState::kOrdered) {
        SteadyTime& open = this->open_until[name];
        open = std::max(open,
                        this->fleet.now +
                            maintenance::MaintenanceSettings().max_order_delay);
      }
    }
  }
  this->fleet.ChangeLeader();
  this->BeginPlanners();
}

void PlannedFleet::PassTime(Milliseconds time) {
  for (Milliseconds passed{0}; passed < time; passed += kPassInterval) {
    this->DeliverAnswers();
    this->RunPlanners();
    this->fleet.PassTime(kPassInterval);
    this->observe();
  }
}

void PlannedFleet::RunPlanners() {
  const auto facts = GatherInstanceFacts(*this->fleet.scheduler);
  maintenance::MaintenanceOutput output = this->waves->Plan(
      this->fleet.state, facts, {}, this->wall(), this->fleet.now);
  const std::set<InstanceName> due_for_maintenance = output.cordoned;
  maintenance::CapacityOutput moves =
      this->capacity->Plan(this->fleet.state, facts, {}, output.cordoned,
                           this->wall(), this->fleet.now);
  output.cordoned.merge(moves.cordoned);
  this->cordoned = output.cordoned;
  this->fleet.scheduler->SetCordoned(this->cordoned, due_for_maintenance);
  std::move(output.cordon_returns.begin(), output.cordon_returns.end(),
            std::back_inserter(this->cordon_returns));
  std::move(moves.commands.begin(), moves.commands.end(),
            std::back_inserter(output.commands));
  for (jobs::Command& command : output.commands) {
    this->fleet.Commit(std::move(command));
  }
  std::move(moves.orders.begin(), moves.orders.end(),
            std::back_inserter(output.orders));
  for (const maintenance::InstanceOrder& order : output.orders) {
    this->Send(order);
  }
}

void PlannedFleet::Send(const maintenance::InstanceOrder& order) {
  const scheduler::FakeWorker* worker = this->FindWorkerOf(order.instance);
  this->ended_tasks += worker == nullptr ? 0 : worker->running().size();
  this->orders.push_back(order);
  const Reaction reaction = this->react(order);
  const SteadyTime answered_at =
      reaction.result ? this->fleet.now + reaction.delay : SteadyTime::max();
  const bool is_unknown =
      reaction.result == maintenance::InstanceResult::kUnknown;
  SteadyTime& open = this->open_until[order.instance];
  open = std::max(
      open, is_unknown ? answered_at +
                             maintenance::MaintenanceSettings().max_order_delay
                       : answered_at);
  if (reaction.result == maintenance::InstanceResult::kDone ||
      reaction.is_carried_out) {
    this->TakeDown(order);
  }
  if (reaction.result == maintenance::InstanceResult::kDone) {
    // Whatever was ordered before has been carried out by it.
    open = answered_at;
  }
  if (reaction.result) {
    this->answers.push_back({.order = order,
                             .result = *reaction.result,
                             .at = answered_at,
                             .epoch = this->fleet.state.epoch()});
  }
}

void PlannedFleet::TakeDown(const maintenance::InstanceOrder& order) {
  if (const scheduler::FakeWorker* worker =
          this->FindWorkerOf(order.instance)) {
    this->fleet.CrashWorker(worker->description.id);
  }
}

void PlannedFleet::DeliverAnswers() {
  std::vector<Answer> due;
  std::erase_if(this->answers, [&](const Answer& answer) {
    if (answer.at > this->fleet.now) {
      return false;
    }
    due.push_back(answer);
    return true;
  });
  for (const Answer& answer : due) {
    if (answer.epoch != this->fleet.state.epoch()) {
      continue;
    }
    auto commands =
        answer.order.wave.value().empty()
            ? this->capacity->HandleOrderResult(answer.order, answer.result,
                                                this->fleet.now)
            : this->waves->HandleOrderResult(this->fleet.state, answer.order,
                                             answer.result, this->fleet.now);
    for (jobs::Command& command : commands) {
      this->fleet.Commit(std::move(command));
    }
  }
}

bool PlannedFleet::IsCordoned(const InstanceName& name) const {
  return this->cordoned.contains(name);
}

bool PlannedFleet::MayOrderBeOpen(const InstanceName& name) const {
  const auto found = this->open_until.find(name);
  return found != this->open_until.end() && this->fleet.now < found->second;
}

const scheduler::FakeWorker* PlannedFleet::FindWorkerOf(
    const InstanceName& name) const {
  for (const auto& [id, worker] : this->fleet.all_workers()) {
    if (worker.description.instance == name && worker.is_up) {
      return &worker;
    }
  }
  return nullptr;
}

}  // namespace sumac::daemon
