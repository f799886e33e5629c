// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/job_controller.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

#include "libraries/base/error.h"
#include "libraries/base/kj_time.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/codec/cbor_reader.h"
#include "libraries/codec/cbor_writer.h"
#include "libraries/jobs/job_address.h"
#include "libraries/log/json_log.h"
#include "services/sumacd/data_centre_queries.h"
#include "services/sumacd/declaration_log.h"
#include "services/sumacd/job_queries.h"
#include "services/sumacd/order_gate.h"

namespace sumac::daemon {
namespace {

constexpr Milliseconds kTickInterval{20};
// The interval at which the membership of the group of controllers is
// maintained.
constexpr Milliseconds kMaintenanceInterval{100};
// The interval of planning passes while nothing changes; the scheduler checks
// its timers in them.
constexpr Milliseconds kIdlePlanInterval{100};
// The pause after a renewal or a commit that failed, before the next attempt.
constexpr Milliseconds kRenewalPause{150};
// A new leader asks all workers what they run. It starts these calls in
// batches, since a thousand calls and their connections at once would delay its
// heartbeats beyond the election timeout of its followers.
constexpr std::size_t kRenewalsPerBatch = 50;
constexpr Milliseconds kBatchPause{10};

}  // namespace

absl::StatusOr<std::unique_ptr<JobController>> JobController::Create(
    const NodeSettings& settings,
    Peers& peers,
    kj::AsyncIoProvider& provider,
    http::Metrics& metrics,
    jobs::DeclarationDecoder decoder,
    scheduler::WorkerCalls worker_calls,
    RelayCallsFactory create_relay_calls,
    maintenance::InstanceCalls instance_calls) {
  std::unique_ptr<JobController> controller(
      new JobController(settings, provider, metrics, std::move(decoder), peers,
                        std::move(worker_calls), std::move(create_relay_calls),
                        std::move(instance_calls)));
  JobController* self = controller.get();
  const ReplicaHostSettings host{
      .process = settings.process(),
      .data_folder = settings.data_folder,
      .group = settings.group,
      .maintenance = {.wanted_voters = settings.wanted_voters(),
                      .data_centre = settings.data_centre,
                      .tolerated_data_centres = settings.tolerated_data_centres,
                      .data_centres = settings.data_centres}};
  ReplicaCallbacks callbacks;
  callbacks.load_snapshot = [self](const std::string& state) {
    self->has_applied = true;
    const std::uint64_t version = self->jobs_state.declaration().version();
    absl::Status loaded = self->jobs_state.Load(state);
    LogLoadedDeclaration(version, self->jobs_state);
    return loaded;
  };
  callbacks.check_snapshot = [self](const std::string& state) {
    return self->jobs_state.CheckLoadable(state);
  };
  callbacks.apply = [self](const std::string& payload) {
    return self->Apply(payload);
  };
  callbacks.after_pump = [self] { self->HandleAppliedCommands(); };
  callbacks.begin_snapshot = [self](LogIndex index) {
    const auto measured = self->load.work_times.Measure(Work::kSnapshot);
    self->tasks.add(
        self->snapshot_writer.Serialize(self->jobs_state.record())
            .then([self, index](absl::StatusOr<std::string>&& bytes) {
              self->host->FinishSnapshot(index, std::move(bytes));
            }));
  };
  controller->host = TRY(ReplicaHost::Create(host, peers, controller->timer,
                                             std::move(callbacks)));
  controller->RegisterMetrics();
  return controller;
}

void JobController::RegisterMetrics() {
  this->metrics.SetGauge("sumac_is_leading",
                         [this] { return this->is_leading() ? 1.0 : 0.0; });
  this->metrics.SetGauge("sumac_is_disk_full", [this] {
    return this->host->is_disk_full() ? 1.0 : 0.0;
  });
  this->metrics.SetCounter("sumac_unreadable_snapshots_total", [this] {
    return static_cast<double>(this->host->unreadable_snapshots());
  });
  this->metrics.SetGauge("sumac_epoch", [this] {
    return static_cast<double>(this->jobs_state.epoch().value());
  });
  this->metrics.SetGauge("sumac_voters", [this] {
    return static_cast<double>(
        this->host->replica().membership().voters.size());
  });
  this->metrics.SetGauge("sumac_workers", [this] {
    return static_cast<double>(this->jobs_state.workers().size());
  });
  this->metrics.SetGauge("sumac_active_jobs", [this] {
    return static_cast<double>(this->jobs_state.active_jobs().size());
  });
  this->metrics.SetGauge("sumac_cancelled_unknown_jobs", [this] {
    return static_cast<double>(this->jobs_state.cancelled_jobs().size());
  });
  this->metrics.SetGauge("sumac_relays", [this] {
    return this->relayed ? static_cast<double>(this->relayed->open_relays())
                         : 0.0;
  });
  this->metrics.SetGauge("sumac_applied_index", [this] {
    return static_cast<double>(this->host->applied_index().value());
  });
  for (const DataCentre& name : this->settings.data_centres) {
    this->metrics.SetGauge(
        StrCat("sumac_data_centre_evacuated{data_centre=\"", name.value(),
               "\"}"),
        [this, name] { return this->jobs_state.IsInUse(name) ? 0.0 : 1.0; });
    this->metrics.SetGauge(
        StrCat("sumac_data_centre_runs{data_centre=\"", name.value(), "\"}"),
        [this, name] {
          return this->scheduler
                     ? static_cast<double>(CountRunsIn(*this->scheduler, name))
                     : 0.0;
        });
  }
  for (const scheduler::WaitingReason reason : scheduler::kWaitingReasons) {
    this->metrics.SetGauge(
        StrCat("sumac_waiting_tasks{reason=\"", NameOf(reason), "\"}"),
        [this, reason] {
          return this->scheduler
                     ? static_cast<double>(
                           this->scheduler->waiting_table().CountTasks(reason))
                     : 0.0;
        });
  }
}

JobController::JobController(const NodeSettings& settings,
                             kj::AsyncIoProvider& provider,
                             http::Metrics& metrics,
                             jobs::DeclarationDecoder decoder,
                             Peers& peers,
                             scheduler::WorkerCalls worker_calls,
                             RelayCallsFactory create_relay_calls,
                             maintenance::InstanceCalls instance_calls)
    : settings(settings),
      timer(provider.getTimer()),
      metrics(metrics),
      load(provider, metrics),
      commit_rounds(provider.getTimer()),
      admission(settings.policy, this->load),
      peers(peers),
      worker_calls(std::move(worker_calls)),
      create_relay_calls(std::move(create_relay_calls)),
      instance_calls(std::move(instance_calls)),
      jobs_state(std::move(decoder)),
      growth_watch(settings.tolerated_losses),
      tasks(*this) {}

kj::Promise<void> JobController::Run() {
  this->host->SchedulePump();
  return this->TickLoop();
}

kj::Promise<void> JobController::TickLoop() {
  return this->timer.afterDelay(ToKj(kTickInterval)).then([this]() {
    this->Tick();
    return this->TickLoop();
  });
}

void JobController::Tick() {
  const SteadyTime now = this->clock.SteadyNow();
  this->suspension.RecordRunning(now);
  this->load.MeasureLateness();
  this->loop_pacer.RecordLateness(this->load.lateness());
  {
    const auto measured = this->load.work_times.Measure(Work::kReplicate);
    this->host->Tick(now);
  }
  this->UpdateLeadership(now);
  if (!this->scheduler) {
    return;
  }
  if (now - this->last_plan >= kIdlePlanInterval) {
    this->Plan();
  }
  this->load.LogIfDue({.waiting_ends = this->waiting_ends.size(),
                       .active_jobs = this->jobs_state.active_jobs().size(),
                       .waiting_jobs = this->scheduler->waiting_count(),
                       .waiting = this->scheduler->waiting_counts(),
                       .starts = this->scheduler->start_counts(),
                       .pass_pause = this->loop_pacer.PassPause(),
                       .relays = this->relayed->open_relays(),
                       .relayed = this->relayed->TotalCounts()},
                      now);
}

void JobController::UpdateLeadership(SteadyTime now) {
  const bool is_leader =
      this->host->replica().role() == replication::Role::kLeader;
  const Term term = this->host->replica().term();
  if (this->term_watch.IsOver(is_leader, term)) {
    this->EndLeadership();
  }
  if (!this->host->MayAct()) {
    return;
  }
  this->growth_watch.Record(term, this->host->replica().membership(), now);
  if (this->term_watch.is_idle()) {
    this->BeginLeadership();
  }
  if (now - this->last_maintenance >= kMaintenanceInterval) {
    this->last_maintenance = now;
    this->host->MaintainMembership();
    this->SyncRelays(now);
  }
}

// The epoch is committed first: its number is the fencing token of all orders
// of this leadership.
void JobController::BeginLeadership() {
  const Term term = this->host->replica().term();
  this->term_watch.Begin(term);
  this->tasks.add(
      this->Propose(jobs::BeginEpoch{})
          .then([this, term](const fleet::Answer& answer) {
            if (this->term_watch.HandleEpochResult(term, answer.is_ok())) {
              this->StartScheduling();
            } else {
              LogEvent(LogLevel::kWarning, "epoch-not-begun",
                       {{"term", term.value()},
                        {"code", static_cast<int>(answer.code)}});
            }
          }));
}

void JobController::StartScheduling() {
  const SteadyTime now = this->clock.SteadyNow();
  const PlatformTimes& times = this->settings.platform_times;
  scheduler::SchedulerSettings scheduler_settings;
  const PolicySettings& policy = this->settings.policy;
  scheduler_settings.orders_by_slack = policy.order_by_slack;
  scheduler_settings.avoids_bad_workers = policy.leave_bad_workers;
  scheduler_settings.moves_evacuated_tasks = policy.move_evacuated_tasks;
  scheduler_settings.reserves_workers = policy.reserve_workers;
  if (!policy.forecast) {
    scheduler_settings.forecast.horizon = Milliseconds(0);
  }
  scheduler_settings.lease.length =
      std::min(scheduler_settings.lease.length, times.longest_lease);
  scheduler_settings.lease.max_waiting = this->worker_calls.max_waiting;
  scheduler_settings.max_stop_time = times.longest_stop;
  scheduler_settings.tolerated_data_centres =
      this->settings.tolerated_data_centres;
  scheduler_settings.data_centres = {this->settings.data_centres.begin(),
                                     this->settings.data_centres.end()};
  this->scheduler.emplace(this->jobs_state, scheduler_settings, now);
  const maintenance::MaintenanceSettings maintenance{
      .takeover_pause = times.instance_lease,
      .maintenance_time = times.maintenance_time()};
  this->instance_manager = std::make_unique<InstanceManager>(
      this->jobs_state, *this->scheduler, this->instance_calls,
      InstanceManager::Host{
          .propose =
              [this](jobs::Command command) {
                return this->Propose(std::move(command));
              },
          .may_act = [this] { return this->host->MayAct(); },
          .count_order = [this] { this->load.CountWorkItem(WorkItem::kMove); }},
      maintenance,
      maintenance::CapacitySettings{.is_on = policy.moves,
                                    .takeover_pause = times.instance_lease,
                                    .reserve_permille = policy.reserve_permille,
                                    .surplus_time = policy.surplus_time,
                                    .moves = {.move_time = times.move_time()}},
      this->settings.process(), now);
  this->BeginRelays();
  this->BeginRenewals();
  this->load.BeginLeadership(now);
  LogEvent(LogLevel::kInfo, "leads",
           {{"term", this->term_watch.term().value()},
            {"epoch", this->jobs_state.epoch().value()},
            {"workers", this->jobs_state.workers().size()},
            {"jobs", this->jobs_state.active_jobs().size()}});
  this->HandleAppliedCommands();
}

void JobController::EndLeadership() {
  LogEvent(LogLevel::kWarning, "leads-no-more",
           {{"term", this->term_watch.term().value()}});
  this->term_watch.End();
  this->renewals.reset();
  this->relayed.reset();
  this->instance_manager.reset();
  this->scheduler.reset();
  this->changed_workers.clear();
  this->waiting_ends.clear();
  this->is_ends_commit_open = false;
}

fleet::Answer JobController::Apply(const std::string& payload) {
  const auto measured = this->load.work_times.Measure(Work::kApply);
  const auto stamped = FromCbor<jobs::StampedCommand>(payload, "log");
  if (!stamped.ok()) {
    LogEvent(LogLevel::kError, "log-entry-malformed",
             {{"error", std::string(stamped.status().message())}});
    return fleet::Answer::FromStatus(stamped.status());
  }
  this->has_applied = true;
  this->RecordAffectedWorkers(stamped->command);
  if (std::holds_alternative<jobs::ForgetWorker>(stamped->command)) {
    this->load.CountWorkItem(WorkItem::kWorkerEnd);
  }
  const std::vector<JobId> affected_jobs = this->ActiveJobsOf(stamped->command);
  const auto* change = std::get_if<jobs::ChangeDataCentre>(&stamped->command);
  const auto* declare = std::get_if<jobs::Declare>(&stamped->command);
  if (declare != nullptr) {
    return this->ApplyDeclaration(*stamped, *declare);
  }
  fleet::Answer answer = this->jobs_state.Apply(*stamped);
  if (change != nullptr) {
    LogDataCentreChange(this->jobs_state, *change, answer);
  }
  this->LogFinishedJobs(affected_jobs);
  return answer;
}

fleet::Answer JobController::ApplyDeclaration(
    const jobs::StampedCommand& stamped,
    const jobs::Declare& declare) {
  // Only the leader compares: that takes some milliseconds for a thousand
  // queues.
  std::optional<jobs::JobsDeclaration> before;
  const std::uint64_t version = this->jobs_state.declaration().version();
  if (this->is_leading()) {
    before = this->jobs_state.declaration();
  }
  fleet::Answer answer = this->jobs_state.Apply(stamped);
  LogAppliedDeclaration(version, declare, this->jobs_state, answer);
  if (before && this->jobs_state.declaration().version() != version) {
    LogDeclarationChanges(*before, this->jobs_state.declaration());
  }
  return answer;
}

// Remembers the workers that a command affects for the next planning pass. A
// new scheduler reads all workers itself.
void JobController::RecordAffectedWorkers(const jobs::Command& command) {
  if (!this->scheduler) {
    return;
  }
  this->changed_workers.merge(this->jobs_state.FindAffectedWorkers(command));
}

// Returns the active jobs that a command may finish; none while another
// controller leads, since only the leader logs finished jobs.
std::vector<JobId> JobController::ActiveJobsOf(
    const jobs::Command& command) const {
  std::vector<JobId> jobs;
  const auto add = [&](const JobId& id) {
    const jobs::Job* job = this->jobs_state.FindJob(id);
    if (job != nullptr && job->is_active()) {
      jobs.push_back(id);
    }
  };
  if (!this->is_leading()) {
    return jobs;
  }
  if (const auto* cancel = std::get_if<jobs::CancelJob>(&command)) {
    add(cancel->job);
  } else if (const auto* ends = std::get_if<jobs::RecordEnds>(&command)) {
    std::set<JobId> ended;
    for (const jobs::RunEnd& end : ends->ends) {
      ended.insert(end.task.step.job);
    }
    std::for_each(ended.begin(), ended.end(), add);
  } else if (const auto* forget_worker =
                 std::get_if<jobs::ForgetWorker>(&command)) {
    std::set<JobId> crashed;
    for (const jobs::CrashedRun& run : forget_worker->crashed_runs) {
      crashed.insert(run.task.step.job);
    }
    std::for_each(crashed.begin(), crashed.end(), add);
  }
  return jobs;
}

void JobController::LogFinishedJobs(const std::vector<JobId>& affected_jobs) {
  for (const JobId& id : affected_jobs) {
    const jobs::Job* job = this->jobs_state.FindJob(id);
    if (job == nullptr || job->is_active()) {
      continue;
    }
    this->admission.RecordFinished(this->clock.SteadyNow());
    const Milliseconds took = job->finished_at - job->accepted_at;
    this->metrics.Observe("sumac_job_seconds",
                          std::chrono::duration<double>(took).count());
    const bool is_given_up =
        job->state == jobs::JobState::kFailed && !job->crashes.empty();
    if (is_given_up) {
      this->metrics.Count("sumac_jobs_given_up_total{reason=\"crashes\"}");
    }
    LogEvent(is_given_up ? LogLevel::kWarning : LogLevel::kInfo, "job-finished",
             {{"job", id.value()},
              {"queue", job->queue.value()},
              {"state", NameOf(job->state)},
              {"reason", job->reason},
              {"took_ms", took.count()}});
  }
}

void JobController::HandleAppliedCommands() {
  if (!this->scheduler) {
    return;
  }
  if (std::exchange(this->has_applied, false)) {
    this->scheduler->Wake();
    this->SchedulePlan();
  }
}

kj::Promise<fleet::Answer> JobController::Propose(jobs::Command command) {
  const auto proposed_at = std::chrono::steady_clock::now();
  std::string payload =
      ToCbor(jobs::StampedCommand{this->clock.Now(), std::move(command)});
  return this->commit_rounds.AwaitNext(this->loop_pacer.CommitPause())
      .then([this, payload = std::move(payload)]() mutable {
        return this->host->Propose(std::move(payload));
      })
      .then([this, proposed_at](fleet::Answer&& answer) {
        const std::chrono::duration<double> took =
            std::chrono::steady_clock::now() - proposed_at;
        this->metrics.Observe("sumac_commit_seconds", took.count());
        return kj::mv(answer);
      });
}

void JobController::ProposeInBackground(jobs::Command command) {
  this->tasks.add(this->Propose(std::move(command)).ignoreResult());
}

kj::Promise<fleet::Answer> JobController::Ask(const jobs::Request& request) {
  if (!this->host->MayAct() || !this->scheduler) {
    return this->host->NotLeaderAnswer();
  }
  const auto measured = this->load.work_times.Measure(Work::kAnswer);
  return std::visit([this](const auto& body) { return this->Serve(body); },
                    request);
}

// Answers a request whose address was not resolved. Counts it if its key was
// refused.
fleet::Answer JobController::RefuseAddress(const absl::Status& status) {
  const ResultCode code = CodeOf(status);
  if (code == ResultCode::kNoCredentials || code == ResultCode::kUnknownKey ||
      code == ResultCode::kForeignJob) {
    this->metrics.Count(
        StrCat("sumac_key_refusals_total{code=\"", InfoFor(code).name, "\"}"));
  }
  return fleet::Answer::FromStatus(status);
}

kj::Promise<fleet::Answer> JobController::Serve(const jobs::SubmitAt& request) {
  const auto address = ResolveJobAddress(this->jobs_state, request.address());
  if (!address.ok()) {
    return this->RefuseAddress(address.status());
  }
  if (address->job.value().empty()) {
    return fleet::Answer{.code = ResultCode::kBadRequest,
                         .message = "the path holds no job id"};
  }
  if (this->jobs_state.FindJob(address->job) != nullptr) {
    // The request was sent again. The job is committed, so no further commit is
    // needed; under peak load on a slow leader, committing repeated requests
    // would double the work.
    return fleet::Answer::Success("accepted before");
  }
  if (auto refusal =
          this->jobs_state.RefuseIfCancelled(address->job, address->origin())) {
    LogSubmission(address->job, address->origin(), *refusal,
                  this->jobs_state.declaration().version());
    return *std::move(refusal);
  }
  const SteadyTime now = this->clock.SteadyNow();
  const jobs::CustomerDeclaration* customer =
      this->jobs_state.declaration().FindCustomer(address->customer);
  // NOTE: A refusal promises that the job never runs, so a job whose submission
  // is being committed must not be refused.
  const JobSubmission submission{.queue = *address->queue,
                                 .customer = customer,
                                 .job = address->job,
                                 .spec = request.spec};
  if (!this->open_submissions.contains(address->job)) {
    const std::size_t active =
        this->jobs_state.active_jobs().size() + this->open_submissions.size();
    if (auto refusal = this->admission.Refuse(
            submission, active,
            this->instance_manager->ExpectedGrowth(address->queue->service),
            *this->scheduler, now)) {
      return *std::move(refusal);
    }
  }
  this->open_submissions.insert(address->job);
  return this
      ->Propose(jobs::SubmitJob{
          address->job, address->queue->name, request.spec,
          this->admission.WaitingTimeOf(address->job, now), address->customer,
          this->admission.CountShare(submission, *this->scheduler, now),
          request.address()})
      .then([this, job = address->job,
             origin = address->origin()](fleet::Answer&& answer) {
        LogSubmission(job, origin, answer,
                      this->jobs_state.declaration().version());
        return kj::mv(answer);
      })
      .attach(kj::defer([this, job = address->job] {
        this->open_submissions.erase(this->open_submissions.find(job));
      }));
}

kj::Promise<fleet::Answer> JobController::Serve(const jobs::ShowAt& request) {
  const auto address = ResolveJobAddress(this->jobs_state, request.address());
  if (!address.ok()) {
    return this->RefuseAddress(address.status());
  }
  if (address->job.value().empty()) {
    const std::size_t pending =
        this->scheduler->CountPending(address->queue->name);
    LogEvent(LogLevel::kInfo, "queue-counted",
             {{"queue", address->queue->name.value()},
              {"pending", pending},
              {"declaration", this->jobs_state.declaration().version()}});
    return fleet::Answer{.document = {{"pending", pending}}};
  }
  const jobs::Job* job = this->jobs_state.FindJob(address->job);
  if (job == nullptr) {
    return fleet::Answer{.code = ResultCode::kUnknownJob,
                         .message = "no job with this id is known"};
  }
  const std::string_view state = !job->is_active() ? NameOf(job->state)
                                 : this->scheduler->HasBegun(*job) ? "running"
                                                                   : "queued";
  return fleet::Answer{.document = {{"state", state}}};
}

kj::Promise<fleet::Answer> JobController::Serve(const jobs::CancelAt& request) {
  const auto address = ResolveJobAddress(this->jobs_state, request.address());
  if (!address.ok()) {
    return this->RefuseAddress(address.status());
  }
  jobs::CancelJob command{address->job, address->queue->name, address->customer,
                          request.address()};
  const WallTime now = this->clock.Now();
  if (auto answer = this->jobs_state.AnswerIfCancelled(command, now)) {
    return *std::move(answer);
  }
  // The commit that decides on an open submission precedes that of the cancel.
  if (!this->open_submissions.contains(address->job)) {
    if (auto refusal = this->jobs_state.RefuseCancel(command, now)) {
      return *std::move(refusal);
    }
  }
  return this->Propose(std::move(command));
}

kj::Promise<fleet::Answer> JobController::Serve(const jobs::Commit& request) {
  const bool is_first_declaration =
      std::holds_alternative<jobs::Declare>(request.command) &&
      this->jobs_state.declaration().version() == 0;
  if (is_first_declaration && !this->growth_watch.IsGrown()) {
    // NOTE: Nothing else is accepted before the first declaration.
    return fleet::Answer{.code = ResultCode::kNothingDeclared,
                         .message = "the group of controllers still grows"};
  }
  if (const auto* declare = std::get_if<jobs::Declare>(&request.command)) {
    // Parsing a document takes every controller some 3 ms, and operators resend
    // each document until they get its answer: 14 in two seconds took a tenth
    // of the loop time of a busy leader. The operators' listener has already
    // validated the document.
    if (auto answer = this->jobs_state.AnswerIfNotNewer(*declare)) {
      return *std::move(answer);
    }
  }
  if (const auto* change =
          std::get_if<jobs::ChangeDataCentre>(&request.command)) {
    const absl::Status status = this->CheckDataCentre(change->data_centre);
    if (!status.ok()) {
      return fleet::Answer::FromStatus(status);
    }
  }
  return this->Propose(request.command);
}

absl::Status JobController::CheckDataCentre(const DataCentre& name) const {
  if (this->settings.platform_times.evacuation == Milliseconds(0)) {
    return MakeError(ResultCode::kUnknownDataCentre,
                     "the settings name no time for evacuations");
  }
  const std::vector<DataCentre>& known = this->settings.data_centres;
  if (std::find(known.begin(), known.end(), name) == known.end()) {
    return MakeError(ResultCode::kUnknownDataCentre,
                     StrCat("no data centre ", name.value(), " is known"));
  }
  return absl::OkStatus();
}

kj::Promise<fleet::Answer> JobController::Serve(
    const jobs::ShowDataCentre& request) {
  const absl::Status status = this->CheckDataCentre(request.data_centre);
  if (!status.ok()) {
    return fleet::Answer::FromStatus(status);
  }
  const jobs::DataCentreRecord data_centre =
      this->jobs_state.FindDataCentre(request.data_centre);
  return fleet::Answer{.document = {{"use", NameOf(data_centre.use)},
                                    {"version", data_centre.version}}};
}

kj::Promise<fleet::Answer> JobController::Serve(
    const jobs::ReadDeclaration& /*request*/) {
  const jobs::JobsRecord& record = this->jobs_state.record();
  if (record.declaration_version == 0) {
    return fleet::Answer{.code = ResultCode::kNothingDeclared,
                         .message = "no declaration is in force yet"};
  }
  return fleet::Answer{.document = {{"version", record.declaration_version},
                                    {"document", record.declaration_document}}};
}

kj::Promise<fleet::Answer> JobController::Serve(const jobs::ShowWave& request) {
  const auto wave = this->jobs_state.waves().find(request.wave);
  if (wave == this->jobs_state.waves().end()) {
    return fleet::Answer{.code = ResultCode::kUnknownName,
                         .message = "no such wave"};
  }
  return fleet::Answer{.document = {{"is_done", wave->second.is_done()}}};
}

kj::Promise<fleet::Answer> JobController::Serve(const jobs::Show& request) {
  return AnswerQuery(
      JobSources{this->jobs_state, *this->scheduler, this->host->replica(),
                 this->settings.data_centres},
      request.kind, request.name, this->clock.SteadyNow());
}

// Updates the scheduler with the workers that changed since the last planning
// pass. Starts renewals for new workers and stops them for removed ones.
void JobController::SyncWorkers() {
  const std::set<WorkerId> changed = std::exchange(this->changed_workers, {});
  if (changed.empty()) {
    return;
  }
  this->scheduler->SyncWorkers(changed, this->clock.SteadyNow());
  const auto is_known = [this](const WorkerId& worker) {
    return this->scheduler->sessions().contains(worker);
  };
  this->renewals->RemoveUnknown(is_known);
  for (const WorkerId& worker : changed) {
    if (is_known(worker)) {
      this->renewals->Begin(worker);
    }
  }
}

void JobController::BeginRelays() {
  this->uses_relays = false;
  this->relayed.emplace(
      this->worker_calls, this->timer, this->jobs_state.epoch(),
      relay::RelayedCalls::Host{
          .find =
              [this](const ProcessName& controller) {
                return this->peers.Find(controller);
              },
          .lease_end = [this] { return this->host->MayActUntil(); },
          .data_centre_of =
              [this](const WorkerId& id) {
                const jobs::Worker* worker = this->jobs_state.FindWorker(id);
                return worker == nullptr ? DataCentre() : worker->data_centre;
              }});
  this->SyncRelays(this->clock.SteadyNow());
}

void JobController::SyncRelays(SteadyTime now) {
  if (!this->relayed || !this->settings.policy.relays) {
    return;
  }
  // Relays are given up only below half of the threshold, so that workers that
  // come and go don't open and close relays repeatedly.
  const std::size_t workers = this->jobs_state.workers().size();
  const std::size_t wanted = this->settings.policy.relays_from_workers;
  this->uses_relays = workers >= (this->uses_relays ? wanted / 2 : wanted);
  const replication::Membership& membership =
      this->host->replica().membership();
  std::set<ProcessName> controllers;
  if (!this->uses_relays) {
    this->relayed->UpdateRelays(controllers, now);
    return;
  }
  for (const replication::NodeId& member : membership.AllMembers()) {
    controllers.insert(replication::ProcessOf(member));
  }
  controllers.erase(this->settings.process());
  this->relayed->UpdateRelays(controllers, now);
}

absl::StatusOr<wire::Relay::Client> JobController::OpenRelay(
    LeaderEpoch epoch,
    wire::RelayAnswers::Client answers) {
  if (this->is_leading() || epoch < this->jobs_state.epoch()) {
    return MakeError(
        ResultCode::kWrongState,
        StrCat("epoch ", this->jobs_state.epoch().value(), " is known here",
               this->is_leading() ? ", and it leads" : ""));
  }
  LogEvent(LogLevel::kInfo, "relays-for-leader", {{"epoch", epoch.value()}});
  return wire::Relay::Client(kj::heap<relay::RelayService>(
      this->create_relay_calls(), kj::mv(answers), epoch, this->timer,
      relay::RelayService::Host{.is_current =
                                    [this](LeaderEpoch own) {
                                      return own >= this->jobs_state.epoch();
                                    },
                                .may_start_on =
                                    [this](const WorkerId& worker) {
                                      return MayStartOn(this->jobs_state,
                                                        worker);
                                    }}));
}

void JobController::BeginRenewals() {
  this->renewals.emplace(
      this->timer, WorkerRenewals::Host{
                       .may_act = [this] { return this->host->MayAct(); },
                       .next =
                           [this](const WorkerId& worker) {
                             return this->scheduler->NextRenewal(
                                 worker, this->clock.SteadyNow());
                           },
                       .renew =
                           [this](const scheduler::RenewOrder& order) {
                             this->load.CountWorkItem(WorkItem::kRenewal);
                             const auto measured =
                                 this->load.work_times.Measure(Work::kRenewal);
                             return this->relayed->Renew(order);
                           },
                       .handle_answer =
                           [this](const WorkerId& worker,
                                  const scheduler::RenewAnswer& answer) {
                             return this->HandleRenewalAnswer(worker, answer);
                           },
                       .on_removed =
                           [this](const WorkerId& worker) {
                             this->relayed->RemoveWorker(worker);
                           }});
  std::size_t index = 0;
  for (const auto& [worker, session] : this->scheduler->sessions()) {
    const auto batch_index =
        static_cast<std::int64_t>(index++ / kRenewalsPerBatch);
    this->renewals->Begin(worker, batch_index * kBatchPause);
  }
}

RenewalOutcome JobController::HandleRenewalAnswer(
    const WorkerId& worker,
    const scheduler::RenewAnswer& answer) {
  if (answer.result != scheduler::OrderResult::kDone) {
    this->scheduler->HandleRenewalFailure(worker, answer.result,
                                          this->clock.SteadyNow());
    this->SchedulePlan();
    return {.committed = nullptr, .pause = kRenewalPause};
  }
  scheduler::EndsToRecord ends =
      this->HandleWorkerReport(worker, answer.report, this->clock.SteadyNow());
  if (this->scheduler->is_dirty()) {
    this->SchedulePlan();
  }
  if (ends.up_to == 0) {
    return {.committed = nullptr, .pause = Milliseconds(0)};
  }
  return {.committed = this->RecordEnds(worker, std::move(ends)),
          .pause = this->loop_pacer.ReportPause()};
}

scheduler::EndsToRecord JobController::HandleWorkerReport(
    const WorkerId& worker,
    const scheduler::RenewReport& report,
    SteadyTime now) {
  const auto measured = this->load.work_times.Measure(Work::kReport);
  this->load.CountWorkItem(WorkItem::kReport);
  return this->scheduler->HandleReport(worker, report, now);
}

// Commits the ends that a worker reported. Only a renewal after the commit
// acknowledges them to the worker.
kj::Promise<void> JobController::RecordEnds(const WorkerId& worker,
                                            scheduler::EndsToRecord ends) {
  if (ends.ends.empty()) {
    this->scheduler->HandleEndsCommitted(worker, ends);
    return kj::READY_NOW;
  }
  auto paf = kj::newPromiseAndFulfiller<void>();
  this->waiting_ends.push_back(
      WaitingEnds{worker, std::move(ends), kj::mv(paf.fulfiller)});
  this->ScheduleEnds();
  return kj::mv(paf.promise);
}

void JobController::ScheduleEnds() {
  if (this->are_ends_scheduled || this->is_ends_commit_open ||
      this->waiting_ends.empty()) {
    return;
  }
  this->are_ends_scheduled = true;
  this->tasks.add(kj::evalLater([this] {
    this->are_ends_scheduled = false;
    this->CommitEnds();
  }));
}

// Commits all ends that were reported during the last commit with one command.
void JobController::CommitEnds() {
  if (!this->scheduler || this->waiting_ends.empty()) {
    return;
  }
  std::vector<WaitingEnds> batch = std::exchange(this->waiting_ends, {});
  jobs::RecordEnds command;
  for (const WaitingEnds& waiting : batch) {
    command.ends.insert(command.ends.end(), waiting.ends.ends.begin(),
                        waiting.ends.ends.end());
  }
  this->is_ends_commit_open = true;
  const Term term = this->term_watch.term();
  this->tasks.add(
      this->Propose(std::move(command))
          .then([this, term, batch = std::move(batch)](
                    const fleet::Answer& answer) mutable {
            if (!this->scheduler || this->term_watch.term() != term) {
              return;
            }
            this->is_ends_commit_open = false;
            if (!answer.is_ok()) {
              // Leadership is unconfirmed. The same ends are proposed again; if
              // they are committed twice, they are counted once.
              LogEvent(LogLevel::kWarning, "ends-not-recorded",
                       {{"code", static_cast<int>(answer.code)}});
              std::move(batch.begin(), batch.end(),
                        std::back_inserter(this->waiting_ends));
              this->tasks.add(
                  this->timer.afterDelay(ToKj(kRenewalPause)).then([this] {
                    this->ScheduleEnds();
                  }));
              return;
            }
            for (WaitingEnds& waiting : batch) {
              this->scheduler->HandleEndsCommitted(waiting.worker,
                                                   waiting.ends);
              waiting.fulfiller->fulfill();
            }
            this->SchedulePlan();
            this->ScheduleEnds();
          }));
}

void JobController::SchedulePlan() {
  if (this->is_plan_scheduled || !this->scheduler) {
    return;
  }
  this->is_plan_scheduled = true;
  const Milliseconds pause = this->loop_pacer.PassPause();
  this->tasks.add(this->timer.afterDelay(ToKj(pause)).then([this] {
    this->is_plan_scheduled = false;
    if (this->scheduler) {
      this->Plan();
    }
  }));
}

void JobController::Plan() {
  if (!this->host->MayAct()) {
    return;
  }
  const auto began = std::chrono::steady_clock::now();
  const auto record_duration = kj::defer([this, began] {
    this->RecordPassDuration(std::chrono::steady_clock::now() - began);
  });
  this->last_plan = this->clock.SteadyNow();
  this->SyncWorkers();
  {
    const auto measured = this->load.work_times.Measure(Work::kInstances);
    this->instance_manager->Plan(this->clock.Now(), this->last_plan);
  }
  const scheduler::StartAllowance allowed = this->load.AllowStarts();
  scheduler::SchedulerOutput output;
  {
    const auto measured = this->load.work_times.Measure(Work::kSchedule);
    output = this->scheduler->Plan(this->last_plan, this->clock.Now(), allowed);
  }
  const auto measured = this->load.work_times.Measure(Work::kOrder);
  this->LogEvents(output.events);
  for (const scheduler::Order& order : output.orders) {
    this->SendOrder(order);
  }
  for (jobs::Command& command : output.commands) {
    this->ProposeInBackground(std::move(command));
  }
  for (const scheduler::RenewOrder& order : output.report_requests) {
    this->RequestReport(order);
  }
  if (output.question) {
    this->RequestAdvice(*output.question);
  }
  if (allowed.all > 0 && output.orders.size() >= allowed.all) {
    this->SchedulePlan();
  }
}

void JobController::RecordPassDuration(
    std::chrono::steady_clock::duration took) {
  this->load.CountPlanningPass();
  this->metrics.Observe("sumac_pass_seconds",
                        std::chrono::duration<double>(took).count());
  this->loop_pacer.RecordPass(
      std::chrono::duration_cast<std::chrono::microseconds>(took));
}

// Requests a report outside of the renewals and handles it like the report of a
// renewal.
void JobController::RequestReport(const scheduler::RenewOrder& order) {
  const Term term = this->term_watch.term();
  this->tasks.add(this->relayed->RequestReport(order).then(
      [this, term, worker = order.worker](
          const scheduler::RenewAnswer& answer) -> kj::Promise<void> {
        const bool is_current_term =
            this->scheduler && this->term_watch.term() == term;
        if (!is_current_term ||
            answer.result != scheduler::OrderResult::kDone) {
          // The next renewal reports the same.
          return kj::READY_NOW;
        }
        scheduler::EndsToRecord ends = this->HandleWorkerReport(
            worker, answer.report, this->clock.SteadyNow());
        this->SchedulePlan();
        if (ends.up_to == 0) {
          return kj::READY_NOW;
        }
        return this->RecordEnds(worker, std::move(ends));
      }));
}

void JobController::RequestAdvice(const scheduler::AdviceQuestion& question) {
  const Term term = this->term_watch.term();
  this->tasks.add(this->worker_calls.advise(question).then(
      [this, term, question](const scheduler::AdviceAnswer& answer) {
        if (!this->scheduler || this->term_watch.term() != term) {
          return;
        }
        LogEvent(
            LogLevel::kInfo, "advice-taken",
            {{"step", question.step.ToText()},
             {"asked", question.workers.size()},
             {"admitted", answer.tickets.size()},
             {"validity_ms",
              answer.validity.value_or(question.declared_validity).count()}});
        this->scheduler->HandleAdvice(question, answer,
                                      this->clock.SteadyNow());
        this->SchedulePlan();
      }));
}

void JobController::SendOrder(const scheduler::Order& order) {
  // NOTE: The lease is checked right before each order is sent, since a process
  // that was suspended must send nothing when it resumes.
  if (!MayLeave(order, this->jobs_state, this->host->MayAct())) {
    this->scheduler->HandleOrderAnswer(
        order, {.result = scheduler::OrderResult::kNotSent},
        this->clock.SteadyNow());
    return;
  }
  const Term term = this->term_watch.term();
  kj::Promise<scheduler::OrderAnswer> answered = this->relayed->Send(order);
  this->load.CountWorkItem(std::holds_alternative<scheduler::StartOrder>(order)
                               ? WorkItem::kStart
                               : WorkItem::kStop);
  if (std::holds_alternative<scheduler::StartOrder>(order)) {
    answered = answered.attach(this->load.CountStart());
  }
  this->tasks.add(answered.then([this, term,
                                 order](const scheduler::OrderAnswer& answer) {
    if (!this->scheduler || this->term_watch.term() != term) {
      return;
    }
    this->scheduler->HandleOrderAnswer(order, answer, this->clock.SteadyNow());
    if (this->scheduler->is_dirty()) {
      this->SchedulePlan();
    }
  }));
}

void JobController::LogEvents(
    const std::vector<scheduler::SchedulerEvent>& events) {
  for (const scheduler::SchedulerEvent& event : events) {
    this->metrics.Count(StrCat("sumac_task_events_total{event=\"", event.what,
                               "\",reason=\"", event.reason, "\"}"),
                        event.runs.size());
    LogEvent(event.is_alarm ? LogLevel::kWarning : LogLevel::kInfo, event.what,
             {{"runs", event.runs},
              {"reason", event.reason},
              {"epoch", this->jobs_state.epoch().value()}});
  }
}

void JobController::taskFailed(kj::Exception&& exception) {
  LogEvent(LogLevel::kError, "task-failed",
           {{"error", exception.getDescription().cStr()}});
}

}  // namespace sumac::daemon
