// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/fleet/fleet_harness.h"

#include <utility>

#include "libraries/base/text.h"
#include "libraries/base/verify.h"
#include "libraries/codec/cbor_reader.h"
#include "libraries/codec/cbor_writer.h"

namespace sumac::fleet {
namespace {

const Charts& TestCharts() {
  static const Charts kCharts = [] {
    auto charts = Charts::Load(std::string(SUMAC_SOURCE_DIR) + "/charts");
    VERIFY(charts.ok());
    return *std::move(charts);
  }();
  return kCharts;
}

}  // namespace

FleetHarness::FleetHarness() : machine(TestCharts()) {
  this->soft.Reset(this->clock.SteadyNow());
}

Answer FleetHarness::Apply(Command command) {
  // Through bytes, as the log does it.
  const auto stamped = FromCbor<StampedCommand>(
      ToCbor(StampedCommand{this->clock.Now(), std::move(command)}), "test");
  VERIFY(stamped.ok());
  return this->machine.Apply(*stamped);
}

void FleetHarness::Declare(Declaration declaration) {
  const Answer answer = this->Apply(ApplyDeclaration{
      {"test", OperatorRequestId(StrCat("d", this->next_request++))},
      this->state().record().revision,
      std::move(declaration)});
  VERIFY(answer.is_ok());
}

Pool FleetHarness::MakePool(const std::string& name,
                            std::uint32_t capacity,
                            std::uint32_t smallest_available) {
  return Pool{.name = PoolName(name),
              .capacity = capacity,
              .budget = {.smallest_available = smallest_available},
              .settle_time = Milliseconds(500),
              .silence_time = Milliseconds(1'000)};
}

void FleetHarness::AddMinion(const std::string& name,
                             const std::string& pool,
                             const std::string& rack,
                             const std::string& data_centre) {
  this->targets[name].announcement.target =
      TargetDescription{.name = InstanceName(name),
                        .kind = TargetKind::kMinion,
                        .incarnation = Incarnation(1),
                        .address = "127.0.0.1:1",
                        .data_centre = DataCentre(data_centre),
                        .rack = Rack(rack),
                        .pool = PoolName(pool),
                        .services = {ServiceName("s")},
                        .slots = 8,
                        .connections = 64};
}

void FleetHarness::AddWorker(const std::string& name,
                             const std::string& pool,
                             std::uint32_t millicores,
                             std::uint32_t accelerators) {
  this->targets[name].announcement.target =
      TargetDescription{.name = InstanceName(name),
                        .kind = TargetKind::kWorker,
                        .incarnation = Incarnation(1),
                        .address = "127.0.0.1:1",
                        .data_centre = DataCentre("dc-1"),
                        .rack = Rack("r1"),
                        .pool = PoolName(pool),
                        .millicores = millicores,
                        .memory_mb = 32'768,
                        .accelerators = accelerators};
}

void FleetHarness::Silence(const std::string& name) {
  this->targets.at(name).is_silent = true;
}

void FleetHarness::EndSilence(const std::string& name) {
  this->targets.at(name).is_silent = false;
}

void FleetHarness::RestartTarget(const std::string& name) {
  Target& target = this->targets.at(name);
  target.is_silent = false;
  target.announcement.target.incarnation =
      target.announcement.target.incarnation.Next();
  target.announcement.tasks.clear();
}

void FleetHarness::SetInFlight(const std::string& name,
                               std::uint32_t in_flight) {
  this->targets.at(name).announcement.in_flight = in_flight;
}

void FleetHarness::ReportTask(const std::string& worker,
                              const std::string& job,
                              TaskState task_state) {
  const Job& known = this->JobOf(job);
  this->targets.at(worker).announcement.tasks = {
      TaskReport{JobId(job), known.token, task_state}};
}

void FleetHarness::RenewAll() {
  const SteadyTime now = this->clock.SteadyNow();
  for (auto& [name, target] : this->targets) {
    if (target.is_silent) {
      continue;
    }
    this->soft.RecordAnnouncement(target.announcement, now);
    for (RecordTargets& command :
         CommandsForTarget(this->state(), target.announcement)) {
      this->Apply(std::move(command));
    }
    std::vector<TaskReport> reports =
        NewTaskReports(this->state(), target.announcement);
    if (!reports.empty()) {
      this->Apply(RecordTasks{InstanceName(name), std::move(reports)});
    }
    if (OrdersFor(this->state(), InstanceName(name)).is_confirmed) {
      this->soft.RecordLeaseRenewal(InstanceName(name), now);
    }
  }
}

void FleetHarness::PassTime(Milliseconds time, Milliseconds step) {
  for (Milliseconds passed{0}; passed < time; passed += step) {
    this->clock.Advance(step);
    this->RenewAll();
    for (Command& command : Plan(this->state(), this->soft, this->planner,
                                 this->clock.Now(), this->clock.SteadyNow())) {
      this->Apply(std::move(command));
    }
  }
}

Answer FleetHarness::Operate(InstanceRequest request,
                             const std::string& instance,
                             const std::string& pool,
                             const std::string& request_id) {
  const std::string id =
      request_id.empty() ? StrCat("r", this->next_request++) : request_id;
  return this->Apply(OperateInstance{{"test", OperatorRequestId(id)},
                                     request,
                                     InstanceName(instance),
                                     PoolName(pool)});
}

Answer FleetHarness::Submit(JobSpec spec) {
  return this->Apply(
      SubmitJob{{"test", OperatorRequestId(StrCat("j", this->next_request++))},
                std::move(spec)});
}

InstanceState FleetHarness::StateOf(const std::string& instance) const {
  const Instance* found = this->state().FindInstance(InstanceName(instance));
  VERIFY(found != nullptr);
  return found->state;
}

const Job& FleetHarness::JobOf(const std::string& id) const {
  const Job* found = this->state().FindJob(JobId(id));
  VERIFY(found != nullptr);
  return *found;
}

std::uint32_t FleetHarness::AvailableIn(const std::string& pool) const {
  return this->state().CountsOf(PoolName(pool)).total().available;
}

void FleetHarness::ChangeLeader() {
  this->soft.Reset(this->clock.SteadyNow());
}

void FleetHarness::RestartFromSnapshot() {
  VERIFY(this->machine.LoadSnapshot(this->state().ToSnapshot()).ok());
}

std::string FleetHarness::CheckIndexes() const {
  FleetState rebuilt(this->state().charts());
  VERIFY(rebuilt.LoadSnapshot(this->state().ToSnapshot()).ok());
  for (const Pool& pool : this->state().record().declaration.pools) {
    const Availability kept = this->state().CountsOf(pool.name).total();
    const Availability fresh = rebuilt.CountsOf(pool.name).total();
    if (kept.members != fresh.members || kept.available != fresh.available) {
      return StrCat("counts of ", pool.name.value(), " don't fit");
    }
    if (this->state().WorkersOf(pool.name).size() !=
        rebuilt.WorkersOf(pool.name).size()) {
      return StrCat("workers of ", pool.name.value(), " don't fit");
    }
  }
  if (this->state().queued_jobs() != rebuilt.queued_jobs() ||
      this->state().leased_jobs() != rebuilt.leased_jobs()) {
    return "jobs don't fit";
  }
  return "";
}

}  // namespace sumac::fleet
