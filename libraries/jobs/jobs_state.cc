// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/jobs_state.h"

#include <algorithm>
#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/codec/cbor_reader.h"
#include "libraries/jobs/late_requests.h"

namespace sumac::jobs {
namespace {

// The time for which moves are kept. They matter to a later leader for only a
// few seconds.
constexpr Milliseconds kMoveRetention{30'000};

// The number of ended workers from which on no end of an unknown one is
// recorded, and the maximum length of an unknown one's id, in bytes. The ends
// of known workers are always recorded.
constexpr std::size_t kMaxEndedWorkers = 16'384;
constexpr std::size_t kMaxUnknownIdLength = 256;

// The interval between sweeps for cancelled jobs, old moves and ended workers.
// A sweep scans all of them; at each command this took a tenth of a leader's
// processor time with 350 workers. The interval is small compared with the
// retention times.
constexpr Milliseconds kSweepInterval{1'000};

// Returns the initial progress of one occurrence of `spec`, in which no task is
// done.
OccurrenceProgress NewProgress(const JobSpec& spec) {
  OccurrenceProgress progress;
  for (const StepSpec& step : spec.steps) {
    progress.steps.push_back(
        StepProgress{.tasks = std::vector<TaskProgress>(step.count)});
  }
  return progress;
}

}  // namespace

JobsState::JobsState(DeclarationDecoder decoder)
    : decoder(std::move(decoder)) {}

fleet::Answer JobsState::Apply(const StampedCommand& command) {
  this->DropOldRecords(command.at);
  return std::visit(
      [&](const auto& body) { return this->ApplyCommand(body, command.at); },
      command.command);
}

absl::Status JobsState::Load(const std::string& bytes) {
  JobsRecord record = TRY(FromCbor<JobsRecord>(bytes, "snapshot"));
  JobsDeclaration loaded;
  if (record.declaration_version > 0) {
    loaded = TRY(this->decoder(record.declaration_document));
  }
  this->own_record = std::move(record);
  this->declared = std::move(loaded);
  this->Reindex();
  return absl::OkStatus();
}

void JobsState::Reindex() {
  this->active.clear();
  this->finished.clear();
  this->by_id.clear();
  this->current_incarnations.clear();
  this->own_record.cancelled_jobs.Reindex();
  ++this->finishes;
  for (auto& [id, worker] : this->own_record.workers) {
    if (worker.name.value().empty()) {
      // An earlier version stored no name and used the worker's name as the id
      // of its incarnation.
      worker.name = WorkerName(id.value());
    }
    this->current_incarnations[worker.name] = id;
  }
  this->evacuated.clear();
  for (const auto& [name, data_centre] : this->own_record.data_centres) {
    if (data_centre.use == DataCentreUse::kEvacuated) {
      this->evacuated.insert(name);
    }
  }
  for (const auto& [id, job] : this->own_record.jobs) {
    this->by_id[id] = &job;
    if (job.is_active()) {
      this->active[job.sequence] = &job;
    } else {
      this->finished.emplace(job.finished_at, id);
    }
  }
}

const Job* JobsState::FindJob(const JobId& id) const {
  const auto found = this->by_id.find(id);
  return found == this->by_id.end() ? nullptr : found->second;
}

const StepSpec* JobsState::FindStep(const TaskId& task) const {
  const Job* job = this->FindJob(task.step.job);
  return job == nullptr || !job->HasTask(task)
             ? nullptr
             : &job->spec.steps[task.step.step];
}

const Worker* JobsState::FindWorker(const WorkerId& id) const {
  const auto found = this->own_record.workers.find(id);
  return found == this->own_record.workers.end() ? nullptr : &found->second;
}

const Worker* JobsState::FindCurrentIncarnation(const WorkerName& name) const {
  const auto found = this->current_incarnations.find(name);
  return found == this->current_incarnations.end()
             ? nullptr
             : this->FindWorker(found->second);
}

// Returns the incarnation that a command refers to, or null. The command may
// hold the worker's name instead of an incarnation's id. The last report of a
// leaving worker may arrive after the worker has started again, so by name it
// ends only an incarnation that is draining.
const Worker* JobsState::FindIncarnationToForget(
    const ForgetWorker& command) const {
  if (const Worker* worker = this->FindWorker(command.worker)) {
    return worker;
  }
  const Worker* present =
      this->FindCurrentIncarnation(WorkerName(command.worker.value()));
  return present != nullptr && present->is_draining ? present : nullptr;
}

std::set<WorkerId> JobsState::FindAffectedWorkers(
    const Command& command) const {
  std::set<WorkerId> affected;
  const auto add = [&affected](const Worker* worker) {
    if (worker != nullptr) {
      affected.insert(worker->id);
    }
  };
  if (const auto* record = std::get_if<RecordWorker>(&command)) {
    affected.insert(record->worker.id);
    add(this->FindCurrentIncarnation(record->worker.name));
  } else if (const auto* forget = std::get_if<ForgetWorker>(&command)) {
    affected.insert(forget->worker);
    add(this->FindIncarnationToForget(*forget));
  }
  return affected;
}

bool JobsState::HasRoomForEnd(const WorkerId& unknown) const {
  return unknown.value().size() <= kMaxUnknownIdLength &&
         (this->own_record.ended_workers.size() < kMaxEndedWorkers ||
          this->own_record.ended_workers.contains(unknown));
}

void JobsState::EndIncarnation(const WorkerId& worker, WallTime at) {
  this->own_record.ended_workers.insert_or_assign(worker, at);
  this->own_record.workers.erase(worker);
}

fleet::Answer JobsState::ApplyCommand(const BeginEpoch& /*command*/,
                                      WallTime /*at*/) {
  this->own_record.epoch = this->own_record.epoch.Next();
  return fleet::Answer{.document = {{"epoch", this->own_record.epoch.value()}}};
}

std::optional<fleet::Answer> JobsState::AnswerIfNotNewer(
    const Declare& command) const {
  if (command.version > this->own_record.declaration_version) {
    return std::nullopt;
  }
  return fleet::Answer::Success("a version as high is already in force");
}

fleet::Answer JobsState::ApplyCommand(const Declare& command, WallTime /*at*/) {
  absl::StatusOr<JobsDeclaration> read = this->decoder(command.document);
  const absl::Status status = read.ok() ? read->Check() : read.status();
  if (!status.ok()) {
    return fleet::Answer::FromStatus(status);
  }
  if (const auto answer = this->AnswerIfNotNewer(command)) {
    return *answer;
  }
  this->own_record.declaration_version = command.version;
  this->own_record.declaration_document = command.document;
  this->declared = *std::move(read);
  for (const auto& [sequence, job] : this->active) {
    this->UpdateFromDeclaration(this->own_record.jobs.at(job->id));
  }
  return fleet::Answer::Success("in force");
}

// Assigns a job to the service that its queue now belongs to. Jobs of a queue
// that is no longer declared keep their service.
void JobsState::UpdateFromDeclaration(Job& job) const {
  const QueueDeclaration* queue = this->declared.FindQueue(job.queue);
  if (queue == nullptr) {
    return;
  }
  if (job.service != queue->service) {
    const bool is_listed =
        std::find(job.former_services.begin(), job.former_services.end(),
                  job.service) != job.former_services.end();
    if (!is_listed) {
      job.former_services.push_back(job.service);
    }
    job.service = queue->service;
  }
  job.most_attempts = queue->most_attempts;
}

fleet::Answer JobsState::ApplyCommand(const RecordWorker& command,
                                      WallTime at) {
  if (this->own_record.ended_workers.contains(command.worker.id)) {
    return fleet::Answer::Success("its life is over");
  }
  Worker announced = command.worker;
  if (announced.name.value().empty()) {
    announced.name = WorkerName(announced.id.value());
  }
  const Worker* present = this->FindCurrentIncarnation(announced.name);
  if (present != nullptr && present->id != announced.id) {
    if (!announced.has_start_time()) {
      return fleet::Answer{
          .code = ResultCode::kStaleReport,
          .message = StrCat("a life of ", announced.name.value(),
                            " that tells its start is known")};
    }
    if (!announced.IsLaterThan(*present)) {
      return fleet::Answer::Success("a later life of it is known");
    }
    this->EndIncarnation(WorkerId(present->id), at);
  }
  this->current_incarnations[announced.name] = announced.id;
  Worker& worker = this->own_record.workers[command.worker.id];
  if (announced.sequence < worker.sequence) {
    return fleet::Answer::Success("an older announcement changes nothing");
  }
  // A worker that has begun to drain never stops draining.
  const bool was_draining = worker.is_draining;
  worker = std::move(announced);
  worker.is_draining = worker.is_draining || was_draining;
  return fleet::Answer::Success("recorded");
}

fleet::Answer JobsState::ApplyCommand(const ForgetWorker& command,
                                      WallTime at) {
  for (const CrashedRun& run : command.crashed_runs) {
    this->ApplyCrash(command.worker, run, at);
  }
  const Worker* worker = this->FindIncarnationToForget(command);
  const bool is_by_name =
      worker == nullptr && this->FindCurrentIncarnation(
                               WorkerName(command.worker.value())) != nullptr;
  if (is_by_name) {
    return fleet::Answer::Success("the present life has not said it leaves");
  }
  if (!command.is_over && worker != nullptr &&
      worker->sequence > command.sequence) {
    return fleet::Answer::Success("it was heard of since");
  }
  if (command.is_over && worker == nullptr &&
      !this->HasRoomForEnd(command.worker)) {
    return fleet::Answer{
        .code = ResultCode::kTooManyEnds,
        .message =
            StrCat("no such worker is known, and ",
                   this->own_record.ended_workers.size(), " ends are kept")};
  }
  const WorkerId id = worker == nullptr ? command.worker : worker->id;
  if (worker != nullptr) {
    const auto present = this->current_incarnations.find(worker->name);
    if (present != this->current_incarnations.end() && present->second == id) {
      this->current_incarnations.erase(present);
    }
  }
  if (command.is_over) {
    this->EndIncarnation(id, at);
  }
  this->own_record.workers.erase(id);
  return fleet::Answer::Success("forgotten");
}

fleet::Answer JobsState::ApplyCommand(const SubmitJob& command, WallTime at) {
  if (command.address) {
    return this->ApplyAt(*command.address, command, at);
  }
  if (this->own_record.jobs.contains(command.job)) {
    return fleet::Answer::Success("accepted before");
  }
  if (auto refusal = this->RefuseIfCancelled(
          command.job, {command.queue, command.customer})) {
    return *std::move(refusal);
  }
  const QueueDeclaration* queue = this->declared.FindQueue(command.queue);
  if (queue == nullptr) {
    return fleet::Answer{
        .code = ResultCode::kUnknownName,
        .message = StrCat("no queue ", command.queue.value(), " is declared")};
  }
  Job& job = this->own_record.jobs[command.job];
  job.id = command.job;
  job.queue = command.queue;
  job.customer = command.customer;
  job.is_beyond_share = command.is_beyond_share;
  job.service = queue->service;
  job.most_attempts = queue->most_attempts;
  job.spec = command.spec;
  job.sequence = this->own_record.next_sequence++;
  job.accepted_at = at;
  job.waited = command.waited;
  this->active[job.sequence] = &job;
  this->by_id[job.id] = &job;
  return fleet::Answer::Success("accepted");
}

fleet::Answer JobsState::ApplyCommand(const RecordEnds& command, WallTime at) {
  for (const RunEnd& end : command.ends) {
    this->ApplyRunEnd(end, at);
  }
  return fleet::Answer::Success("recorded");
}

fleet::Answer JobsState::ApplyCommand(const RecordBegun& command,
                                      WallTime /*at*/) {
  for (const JobId& id : command.jobs) {
    const auto found = this->own_record.jobs.find(id);
    if (found != this->own_record.jobs.end()) {
      found->second.has_begun = true;
    }
  }
  return fleet::Answer::Success("recorded");
}

void JobsState::ApplyRunEnd(const RunEnd& end, WallTime at) {
  const auto found = this->own_record.jobs.find(end.task.step.job);
  if (found == this->own_record.jobs.end()) {
    return;
  }
  Job& job = found->second;
  if (!job.is_active() || !job.HasTask(end.task)) {
    return;
  }
  auto [occurrence, is_new] =
      job.occurrences.try_emplace(end.task.step.occurrence);
  if (is_new) {
    occurrence->second = NewProgress(job.spec);
  }
  StepProgress& step = occurrence->second.steps[end.task.step.step];
  if (job.spec.steps[end.task.step.step].is_gang) {
    this->ApplyGangEnd(job, end, step, at);
    return;
  }
  TaskProgress& task = step.tasks[end.task.index];
  const bool is_repeated = end.run <= task.last_ended_run;
  task.last_ended_run = std::max(task.last_ended_run, end.run);
  const bool is_long_running =
      job.spec.steps[end.task.step.step].is_long_running;
  if (task.is_done || is_long_running) {
    return;
  }
  if (end.outcome == RunOutcome::kDone) {
    task.is_done = true;
    ++step.done_count;
    this->FinishIfAllDone(job, end.task, at);
    return;
  }
  if (is_repeated) {
    return;
  }
  ++task.failures;
  if (task.failures >= job.most_attempts) {
    this->Finish(
        job, JobState::kFailed,
        StrCat("task ", end.task.ToText(), " failed ", task.failures, " times"),
        at);
  }
}

bool JobsState::IsCrashSettled(const CrashedRun& run) const {
  const Job* job = this->FindJob(run.task.step.job);
  if (job == nullptr || !job->is_active() || !job->HasTask(run.task) ||
      job->ProgressOf(run.task).is_done) {
    return true;
  }
  const TaskCrashes* crashes = job->FindCrashes(run.task);
  return crashes != nullptr && crashes->Has(run.run);
}

void JobsState::ApplyCrash(const WorkerId& worker,
                           const CrashedRun& run,
                           WallTime at) {
  if (this->IsCrashSettled(run)) {
    return;
  }
  Job& job = this->own_record.jobs.at(run.task.step.job);
  auto known = std::find_if(
      job.crashes.begin(), job.crashes.end(),
      [&run](const TaskCrashes& crashes) { return crashes.task == run.task; });
  if (known == job.crashes.end()) {
    known = job.crashes.insert(known, TaskCrashes{.task = run.task});
  }
  known->Add(TaskCrash{worker, run, at});
  if (known->IsOverLimit()) {
    this->Finish(job, JobState::kFailed,
                 StrCat(known->CountEvidence(), " workers crashed under task ",
                        run.task.ToText(), ": ", known->ToText()),
                 at);
  }
}

// The members of a gang share their runs: one member that is done counts for
// all, and a failed run counts once, however many members report it.
void JobsState::ApplyGangEnd(Job& job,
                             const RunEnd& end,
                             StepProgress& step,
                             WallTime at) {
  TaskProgress& first = step.tasks.front();
  const bool is_repeated = end.run <= first.last_ended_run;
  if (step.is_done()) {
    return;
  }
  for (TaskProgress& task : step.tasks) {
    task.last_ended_run = std::max(task.last_ended_run, end.run);
  }
  const bool is_long_running =
      job.spec.steps[end.task.step.step].is_long_running;
  if (end.outcome == RunOutcome::kDone && !is_long_running) {
    for (TaskProgress& task : step.tasks) {
      task.is_done = true;
    }
    step.done_count = static_cast<std::uint32_t>(step.tasks.size());
    this->FinishIfAllDone(job, end.task, at);
    return;
  }
  if (is_repeated || is_long_running) {
    return;
  }
  ++first.failures;
  if (first.failures >= job.most_attempts) {
    this->Finish(job, JobState::kFailed,
                 StrCat("gang ", end.task.ToText(), " failed ", first.failures,
                        " times"),
                 at);
  }
}

void JobsState::FinishIfAllDone(Job& job, const TaskId& task, WallTime at) {
  if (!job.occurrences.at(task.step.occurrence).is_done()) {
    return;
  }
  std::uint32_t done = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    done += static_cast<std::uint32_t>(occurrence.is_done());
  }
  if (done == job.spec.occurrences()) {
    this->Finish(job, JobState::kDone, "", at);
  }
}

void JobsState::Finish(Job& job,
                       JobState state,
                       std::string reason,
                       WallTime at) {
  ++this->finishes;
  job.state = state;
  job.reason = std::move(reason);
  job.finished_at = at;
  job.DropWorkingState();
  this->active.erase(job.sequence);
  this->finished.emplace(at, job.id);
}

void JobsState::DropOldRecords(WallTime now) {
  while (!this->finished.empty() &&
         IsOutcomeExpired(this->finished.begin()->first, now)) {
    this->by_id.erase(this->finished.begin()->second);
    this->own_record.jobs.erase(this->finished.begin()->second);
    this->finished.erase(this->finished.begin());
  }
  // A clock that was set back must not delay the sweeps.
  const bool is_sweep_due = now < this->own_record.swept_at ||
                            now - this->own_record.swept_at >= kSweepInterval;
  if (is_sweep_due) {
    this->SweepRecords(now);
  }
}

// NOTE: The time of the last sweep is part of the replicated record, because
// all replicas must remove the same records with the same command, including a
// replica that started from a snapshot.
void JobsState::SweepRecords(WallTime now) {
  this->own_record.swept_at = now;
  std::erase_if(this->own_record.moves, [now](const auto& move) {
    return move.second.at + kMoveRetention < now;
  });
  std::erase_if(this->own_record.ended_workers, [now](const auto& ended) {
    return IsOutcomeExpired(ended.second, now);
  });
  this->own_record.cancelled_jobs.DropExpired(now);
}

}  // namespace sumac::jobs
