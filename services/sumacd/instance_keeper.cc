// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/instance_keeper.h"

#include <iterator>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/log/json_log.h"

namespace sumac::daemon {
namespace {

constexpr Milliseconds kPlanInterval{100};
// The list is fetched this often while a wave is under way. Each fetch has a
// price, and what changes fast is seen from the workers.
constexpr Milliseconds kListInterval{4'000};
constexpr std::int64_t kPermille = 1'000;

std::string_view NameOfResult(maintenance::InstanceResult result) {
  using enum maintenance::InstanceResult;
  switch (result) {
    case kDone:
      return "done";
    case kBusy:
      return "busy";
    case kFenced:
      return "fenced";
    case kNotOfWave:
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

}  // namespace

InstanceKeeper::InstanceKeeper(const jobs::JobsState& state,
                               scheduler::Scheduler& scheduler,
                               maintenance::InstanceCalls calls,
                               Host host,
                               maintenance::MaintenanceSettings settings,
                               ProcessName holder,
                               SteadyTime now)
    : state(state),
      scheduler(scheduler),
      calls(std::move(calls)),
      host(std::move(host)),
      planner(settings, std::move(holder), state.epoch(), now),
      tasks(*this) {}

void InstanceKeeper::Plan(WallTime wall_now, SteadyTime now) {
  if (now - this->last_plan < kPlanInterval || this->open_commands > 0) {
    return;
  }
  this->last_plan = now;
  this->RefreshList(now);
  maintenance::MaintenanceOutput output = this->planner.Plan(
      this->state, this->GatherFacts(), wall_now, now);
  this->scheduler.SetCordoned(std::move(output.cordoned));
  this->Commit(std::move(output.commands));
  for (const maintenance::InstanceOrder& order : output.orders) {
    this->Send(order);
  }
}

std::map<InstanceName, maintenance::InstanceFacts> InstanceKeeper::GatherFacts()
    const {
  std::map<InstanceName, maintenance::InstanceFacts> facts;
  for (const auto& [id, session] : this->scheduler.sessions()) {
    const jobs::Worker& worker = session.worker();
    maintenance::InstanceFacts& instance = facts[worker.instance];
    instance.worker = id;
    instance.service = worker.service;
    for (const auto& [key, run] : session.runs()) {
      const jobs::StepSpec* step = this->scheduler.FindStep(run.task);
      const bool is_budgeted = step != nullptr && step->has_disruption_budget;
      ++(is_budgeted ? instance.budgeted_runs : instance.other_runs);
    }
    if (!session.is_answering()) {
      // Something may run there unseen.
      ++instance.other_runs;
    }
    const std::int64_t all = worker.capacity.millicores;
    instance.load_permille =
        all == 0 ? 0
                 : (all - session.Room().millicores) * kPermille / all;
  }
  return facts;
}

void InstanceKeeper::Commit(std::vector<jobs::Command> commands) {
  for (jobs::Command& command : commands) {
    ++this->open_commands;
    this->tasks.add(this->host.propose(std::move(command))
                        .then([this](const fleet::Answer& /*answer*/) {
                          --this->open_commands;
                        }));
  }
}

void InstanceKeeper::Send(const maintenance::InstanceOrder& order) {
  if (!this->host.may_act()) {
    this->Commit(this->planner.TakeResult(this->state, order,
                                          maintenance::InstanceResult::kRefused,
                                          this->clock.SteadyNow()));
    return;
  }
  this->tasks.add(
      this->calls.send(order).then(
          [this, order](maintenance::InstanceResult result) {
            LogEvent(LogLevel::kInfo, "instance-ordered",
                     {{"instance", order.instance.value()},
                      {"wave", order.wave.value()},
                      {"pool", order.pool.value()},
                      {"epoch", order.epoch.value()},
                      {"result", NameOfResult(result)}});
            this->Commit(this->planner.TakeResult(
                this->state, order, result, this->clock.SteadyNow()));
          }));
}

void InstanceKeeper::RefreshList(SteadyTime now) {
  if (this->is_listing || now - this->last_list < kListInterval ||
      !maintenance::MaintenancePlanner::NeedsList(this->state)) {
    return;
  }
  this->is_listing = true;
  this->last_list = now;
  this->pages.clear();
  this->tasks.add(this->FetchPages(""));
}

kj::Promise<void> InstanceKeeper::FetchPages(std::string token) {
  return this->calls.list(std::move(token))
      .then([this](absl::StatusOr<maintenance::InstancePage>&& page)
                -> kj::Promise<void> {
        if (!page.ok()) {
          LogEvent(LogLevel::kWarning, "instances-not-listed",
                   {{"error", std::string(page.status().message())}});
          this->is_listing = false;
          return kj::READY_NOW;
        }
        std::move(page->instances.begin(), page->instances.end(),
                  std::back_inserter(this->pages));
        if (!page->next_token.empty()) {
          return this->FetchPages(page->next_token);
        }
        this->is_listing = false;
        this->LogList();
        this->planner.TakeList(std::move(this->pages),
                               this->clock.SteadyNow());
        return kj::READY_NOW;
      });
}

// One line a list: how many instances of each pool are in which state.
void InstanceKeeper::LogList() const {
  std::map<std::string, std::size_t> counts;
  for (const maintenance::ListedInstance& instance : this->pages) {
    ++counts[StrCat(instance.service.value(), "/",
                    NameOf(instance.state))];
  }
  LogEvent(LogLevel::kInfo, "instances-listed", {{"counts", counts}});
}

void InstanceKeeper::taskFailed(kj::Exception&& exception) {
  LogEvent(LogLevel::kError, "task-failed",
           {{"error", exception.getDescription().cStr()}});
}

}  // namespace sumac::daemon
