// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/fleet_state.h"

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/base/verify.h"
#include "libraries/codec/cbor_reader.h"
#include "libraries/codec/cbor_writer.h"

namespace sumac::fleet {
namespace {

constexpr std::string_view kCountsTag = "counts";
constexpr std::string_view kCanTakeWorkTag = "can_take_work";
constexpr std::string_view kLeasedTag = "leased";
constexpr std::string_view kWaitingTag = "waiting";

// The divisor for the part of a full list of decisions that is removed at once,
// the oldest decisions first.
constexpr std::size_t kDecisionRemovalDivisor = 4;

}  // namespace

absl::Status FleetState::CheckSnapshot(std::string_view bytes) {
  return FromCbor<FleetRecord>(bytes, "snapshot").status();
}

absl::Status FleetState::LoadSnapshot(std::string_view bytes) {
  FleetRecord record = TRY(FromCbor<FleetRecord>(bytes, "snapshot"));
  const Charts* charts = this->state_charts;
  *this = FleetState(*charts);
  std::map<InstanceName, Instance> instances =
      std::exchange(record.instances, {});
  std::map<JobId, Job> jobs = std::exchange(record.jobs, {});
  this->data = std::move(record);
  for (auto& [name, instance] : instances) {
    this->PutInstance(std::move(instance));
  }
  for (auto& [id, job] : jobs) {
    this->PutJob(std::move(job));
  }
  return absl::OkStatus();
}

std::string FleetState::ToSnapshot() const {
  return ToCbor(this->data);
}

const Instance* FleetState::FindInstance(const InstanceName& name) const {
  const auto found = this->data.instances.find(name);
  return found == this->data.instances.end() ? nullptr : &found->second;
}

const Job* FleetState::FindJob(const JobId& id) const {
  const auto found = this->data.jobs.find(id);
  return found == this->data.jobs.end() ? nullptr : &found->second;
}

absl::StatusOr<const Instance*> FleetState::GetInstance(
    const InstanceName& name) const {
  const Instance* instance = this->FindInstance(name);
  if (instance == nullptr) {
    return MakeError(ResultCode::kUnknownName,
                     StrCat("no instance ", name.value()));
  }
  return instance;
}

absl::StatusOr<const Job*> FleetState::GetJob(const JobId& id) const {
  const Job* job = this->FindJob(id);
  if (job == nullptr) {
    return MakeError(ResultCode::kUnknownName, StrCat("no job ", id.value()));
  }
  return job;
}

void FleetState::PutInstance(Instance instance) {
  const InstanceName name = instance.target.name;
  if (const Instance* before = this->FindInstance(name)) {
    this->IndexInstance(*before, -1);
  }
  Instance& stored = this->data.instances[name];
  stored = std::move(instance);
  this->IndexInstance(stored, 1);
}

void FleetState::PutJob(Job job) {
  const JobId id = job.spec.id;
  if (const Job* before = this->FindJob(id)) {
    this->IndexJob(*before, -1);
  }
  Job& stored = this->data.jobs[id];
  stored = std::move(job);
  this->IndexJob(stored, 1);
}

void FleetState::IndexInstance(const Instance& instance, int step) {
  const bool counts_now = this->InstanceHasTag(instance, kCountsTag);
  const InstanceName& name = instance.target.name;
  const bool is_member = instance.state != InstanceState::kLeft;
  if (is_member) {
    this->counts[instance.pool].Change(instance, counts_now, step);
  }
  if (step > 0 && is_member && !counts_now) {
    this->unavailable.insert(name);
  } else {
    this->unavailable.erase(name);
  }
  if (instance.target.kind == TargetKind::kWorker) {
    if (step > 0 && is_member) {
      this->RefreshWorker(instance);
    } else {
      this->workers[instance.pool].Remove(name);
    }
  }
}

void FleetState::IndexJob(const Job& job, int step) {
  const auto key =
      std::pair(std::pair(job.spec.priority, job.submitted_at), job.spec.id);
  if (this->JobHasTag(job, kWaitingTag)) {
    step > 0 ? static_cast<void>(this->queued.insert(key))
             : static_cast<void>(this->queued.erase(key));
  }
  if (!this->JobHasTag(job, kLeasedTag)) {
    return;
  }
  const Resources held = Resources::Of(job.spec);
  if (step > 0) {
    this->leased.insert(job.spec.id);
    this->jobs_by_worker[job.worker].insert(job.spec.id);
    this->used_by_worker[job.worker] += held;
    this->used_by_team[job.spec.team] += held;
  } else {
    this->leased.erase(job.spec.id);
    this->jobs_by_worker[job.worker].erase(job.spec.id);
    this->used_by_worker[job.worker] -= held;
    this->used_by_team[job.spec.team] -= held;
  }
  if (const Instance* worker = this->FindInstance(job.worker)) {
    this->RefreshWorker(*worker);
  }
}

void FleetState::RefreshWorker(const Instance& instance) {
  const Resources capacity = Resources::Of(instance.target);
  Resources free = capacity;
  free -= this->used_by_worker[instance.target.name];
  this->workers[instance.pool].Set(
      instance.target.name, capacity, free,
      this->InstanceHasTag(instance, kCanTakeWorkTag));
}

absl::Status FleetState::FireInstanceEvent(Instance& instance,
                                           InstanceEvent event) const {
  const std::string next = TRY(
      this->state_charts->instance.Next(NameOf(instance.state), NameOf(event)));
  instance.state = *ParseEnum<InstanceState>(next);
  instance.state_since = this->data.now;
  return absl::OkStatus();
}

absl::Status FleetState::FireJobEvent(Job& job, JobEvent event) const {
  const std::string next =
      TRY(this->state_charts->job.Next(NameOf(job.state), NameOf(event)));
  job.state = *ParseEnum<JobState>(next);
  job.state_since = this->data.now;
  return absl::OkStatus();
}

bool FleetState::InstanceHasTag(const Instance& instance,
                                std::string_view tag) const {
  return this->state_charts->instance.HasTag(NameOf(instance.state), tag);
}

bool FleetState::JobHasTag(const Job& job, std::string_view tag) const {
  return this->state_charts->job.HasTag(NameOf(job.state), tag);
}

DecisionId FleetState::AddDecision(Decision decision) {
  decision.id = DecisionId(StrCat("fleet-", this->data.next_decision++));
  decision.at = this->data.now;
  std::vector<Decision>& kept = this->data.decisions;
  if (kept.size() >= kMaxDecisions) {
    kept.erase(kept.begin(),
               kept.begin() + kMaxDecisions / kDecisionRemovalDivisor);
  }
  kept.push_back(std::move(decision));
  return kept.back().id;
}

const PoolCounts& FleetState::CountsOf(const PoolName& pool) const {
  static const PoolCounts kNone;
  const auto found = this->counts.find(pool);
  return found == this->counts.end() ? kNone : found->second;
}

const WorkerIndex& FleetState::WorkersOf(const PoolName& pool) const {
  static const WorkerIndex kNone;
  const auto found = this->workers.find(pool);
  return found == this->workers.end() ? kNone : found->second;
}

const std::set<JobId>& FleetState::JobsOn(const InstanceName& worker) const {
  static const std::set<JobId> kNone;
  const auto found = this->jobs_by_worker.find(worker);
  return found == this->jobs_by_worker.end() ? kNone : found->second;
}

Resources FleetState::ResourcesHeldBy(const TeamName& team) const {
  const auto found = this->used_by_team.find(team);
  return found == this->used_by_team.end() ? Resources{} : found->second;
}

}  // namespace sumac::fleet
