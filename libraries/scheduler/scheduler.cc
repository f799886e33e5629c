// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/scheduler.h"

#include <algorithm>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/base/verify.h"
#include "libraries/scheduler/crashed_runs.h"
#include "libraries/scheduler/due_stops.h"

namespace sumac::scheduler {
namespace {

// The runs of one leadership are numbered from epoch * 2^20, so that run
// numbers increase over changes of leader without a commit for each start.
constexpr int kRunBitsOfEpoch = 20;
// How long a run may stay unconfirmed before it is stopped. If another
// incarnation is at the worker's address, its next announcement shows that.
constexpr Milliseconds kUnconfirmedTime{1'500};
// The maximum number of runs that the log line about the end of an incarnation
// lists.
constexpr std::size_t kMaxLoggedRuns = 6;

// The first epoch of a group is 1, and its runs are numbered from 1.
RunNumber FirstRunOf(LeaderEpoch epoch) {
  const std::uint64_t earlier = epoch.value() > 0 ? epoch.value() - 1 : 0;
  return RunNumber((earlier << kRunBitsOfEpoch) + 1);
}

}  // namespace

Scheduler::Scheduler(const jobs::JobsState& state,
                     const SchedulerSettings& settings,
                     SteadyTime now)
    : state(state),
      settings(settings),
      epoch(state.epoch()),
      first_own_sequence(state.record().next_sequence),
      unseen_usage(state, this->first_own_sequence),
      began_at(now),
      lost_data_centres(settings.tolerated_data_centres),
      waiting(state,
              this->run_times,
              settings.orders_by_slack,
              settings.full_scan_interval),
      starvation(state, this->health),
      sharing(state),
      placement(this->health),
      stragglers(
          state,
          this->run_times,
          this->tasks,
          this->placement,
          this->health,
          [this](const jobs::Job& job) { return this->AdviceFor(job); },
          settings.max_moves),
      demand(state,
             this->run_times,
             settings.forecast,
             this->first_own_sequence) {
  for (const auto& [id, worker] : state.workers()) {
    this->SyncWorker(id, now);
  }
}

void Scheduler::SyncWorkers(const std::set<WorkerId>& changed, SteadyTime now) {
  for (const WorkerId& id : changed) {
    this->SyncWorker(id, now);
  }
  this->needs_plan = this->needs_plan || !changed.empty();
}

void Scheduler::SyncWorker(const WorkerId& id, SteadyTime now) {
  const jobs::Worker* worker = this->state.FindWorker(id);
  if (worker == nullptr) {
    this->SettleCrashes(id);
    this->pending_removals.erase(id);
    this->EndObsoleteIncarnation(id, now);
    return;
  }
  const auto removal = this->pending_removals.find(id);
  if (removal != this->pending_removals.end() &&
      worker->sequence <= removal->second.sequence) {
    return;
  }
  this->pending_removals.erase(id);
  if (this->ended_incarnations.Has(id)) {
    this->EndIncarnation(id, IncarnationEnd::kReplacedOnInstance, now);
    return;
  }
  const auto [session, is_new] = this->workers.try_emplace(
      id, WorkerSession(*worker, this->settings.lease, now));
  if (!is_new) {
    this->RemoveFromInstance(session->second.worker());
  }
  session->second.Update(*worker);
  this->incarnations_of[worker->instance].insert(id);
  this->MarkCordoned(session->second);
  session->second.is_evacuated = !this->state.IsInUse(worker->data_centre);
  this->CheckDataCentre(*worker);
}

// Logs the first worker that names a data centre that no settings hold. The
// worker is used like any other, but its data centre is no failure domain.
void Scheduler::CheckDataCentre(const jobs::Worker& worker) {
  const std::set<DataCentre>& known = this->settings.data_centres;
  if (this->settings.tolerated_data_centres == 0 || known.empty() ||
      known.contains(worker.data_centre) ||
      !this->unknown_data_centres.insert(worker.data_centre).second) {
    return;
  }
  this->collected_events.AddText(
      "unknown-data-centre", "no settings hold it", true,
      StrCat(worker.id.value(), " names \"", worker.data_centre.value(), "\""));
}

// Removes a worker from the known incarnations on its instance.
void Scheduler::RemoveFromInstance(const jobs::Worker& worker) {
  const auto incarnations = this->incarnations_of.find(worker.instance);
  incarnations->second.erase(worker.id);
  if (incarnations->second.empty()) {
    this->incarnations_of.erase(incarnations);
  }
}

// Ends an incarnation whose record has been removed, or that is not the current
// incarnation of its worker.
void Scheduler::EndObsoleteIncarnation(const WorkerId& worker, SteadyTime now) {
  const WorkerSession* session = this->FindSession(worker);
  const jobs::Worker* next =
      session == nullptr
          ? nullptr
          : this->state.FindCurrentIncarnation(session->worker().name);
  if (next == nullptr) {
    this->EndIncarnation(worker, IncarnationEnd::kPlanned, now);
    return;
  }
  this->collected_events.AddText(
      "worker-restarted", "it started again under its name", false,
      StrCat(worker.value(), " with ", session->runs().size(), " runs, now ",
             next->id.value()));
  this->EndIncarnation(worker, IncarnationEnd::kRestarted, now);
}

// Ends the other incarnations on the instance of a worker that has just
// answered. The order of announcements proves nothing: an announcement may
// arrive after its sender has ended and after that of the next incarnation. An
// answer to a call that was sent after another incarnation became known does
// prove that the other is over, since incarnations on one instance do not
// overlap.
void Scheduler::EndOtherIncarnations(const WorkerSession& answering,
                                     SteadyTime now) {
  const jobs::Worker& worker = answering.worker();
  if (worker.instance.value().empty()) {
    return;
  }
  std::vector<WorkerId> ended;
  for (const WorkerId& id : this->incarnations_of.at(worker.instance)) {
    if (id != worker.id &&
        this->workers.at(id).began_at() <= answering.began_at()) {
      ended.push_back(id);
    }
  }
  for (const WorkerId& id : ended) {
    this->ended_incarnations.Add(id);
    this->EndIncarnation(id, IncarnationEnd::kReplacedOnInstance, now);
  }
}

WorkerSession* Scheduler::FindSession(const WorkerId& worker) {
  const auto found = this->workers.find(worker);
  return found == this->workers.end() ? nullptr : &found->second;
}

std::optional<RenewOrder> Scheduler::NextRenewal(const WorkerId& worker,
                                                 SteadyTime now) {
  WorkerSession* session = this->FindSession(worker);
  if (session == nullptr) {
    return std::nullopt;
  }
  return session->NextRenewal(this->epoch, this->workers.size(), now);
}

EndsToRecord Scheduler::HandleReport(const WorkerId& worker,
                                     const RenewReport& report,
                                     SteadyTime now) {
  WorkerSession* known = this->FindSession(worker);
  if (known == nullptr) {
    return {};
  }
  WorkerSession& session = *known;
  if (!session.IsNewest(report.clock)) {
    return {};
  }
  const bool is_adopting = !session.is_adopted();
  session.RecordClock(report.clock, now);
  session.RecordReport(report.clock, now);
  // While the list of ends is incomplete, the outcome of the worker's runs is
  // not known yet.
  if (!is_adopting || !report.has_more_ends) {
    session.RecordAnswer(now);
  }
  if (is_adopting) {
    this->EndOtherIncarnations(session, now);
  }
  EndsToRecord ends = this->ApplyEnds(session, report, now);
  this->ApplyRunningRuns(session, report, is_adopting, now);
  if (!report.has_more_ends) {
    this->ReleaseMissingRuns(session, report);
  }
  if (auto reason = this->sharing.ApplyReport(session, now)) {
    this->LogPaceChange(session, *reason);
  }
  this->needs_plan = this->needs_plan || is_adopting || ends.up_to > 0;
  return ends;
}

void Scheduler::RecordRunTime(const Run& run, SteadyTime now) {
  const jobs::Job* job = this->state.FindJob(run.task.step.job);
  if (job != nullptr) {
    this->run_times.RecordRunTime(job->queue, now - run.ordered_at);
  }
}

// Applies the ends in a report. A worker repeats its ends until they are
// acknowledged; each is applied once.
EndsToRecord Scheduler::ApplyEnds(WorkerSession& session,
                                  const RenewReport& report,
                                  SteadyTime now) {
  EndsToRecord result;
  for (const EndReport& end : report.ended) {
    if (end.number <= session.seen_ends) {
      continue;
    }
    if (result.up_to == 0) {
      result.after = session.seen_ends;
    }
    session.seen_ends = end.number;
    result.up_to = end.number;
    const Run* known_run = session.FindRun(end.task, end.run);
    const bool was_known = known_run != nullptr;
    if (was_known && end.cause == EndCause::kDone && !known_run->is_adopted) {
      this->RecordRunTime(*known_run, now);
    }
    const bool is_final =
        end.cause == EndCause::kDone || end.cause == EndCause::kFailed;
    const jobs::StepSpec* step = this->state.FindStep(end.task);
    if (step != nullptr) {
      TaskMemory& memory = this->tasks.GetOrCreate(end.task);
      memory.last_run = std::max(memory.last_run, end.run);
      memory.last_ended_run = std::max(memory.last_ended_run, end.run);
      if (!end.checkpoint.empty()) {
        this->CheckpointOf(end.task, *step).checkpoint = end.checkpoint;
      }
      if (end.cause == EndCause::kFailed) {
        memory.failed_on.insert(session.worker().id);
        this->health.RecordFailure(session.worker().id, end.task.step.job, now);
      } else if (end.cause == EndCause::kDone) {
        this->health.RecordSuccess(session.worker().id, now);
      }
      if (is_final && !step->is_long_running) {
        result.ends.push_back(jobs::RunEnd{end.task, end.run,
                                           end.cause == EndCause::kDone
                                               ? jobs::RunOutcome::kDone
                                               : jobs::RunOutcome::kFailed});
        ++memory.uncommitted_ends;
        memory.has_done_run =
            memory.has_done_run || end.cause == EndCause::kDone;
      }
    }
    if (was_known) {
      this->ReleaseRun(session, end.task, end.run, "");
    }
    this->collected_events.Add(
        "run-ended", end.task, end.run, session.worker().id,
        end.cause == EndCause::kDone           ? "done"
        : end.cause == EndCause::kFailed       ? "failed"
        : end.cause == EndCause::kStopped      ? "stopped"
        : end.cause == EndCause::kLeaseExpired ? "lapsed"
        : end.cause == EndCause::kGangBroken   ? "gang broken"
                                               : "gang incomplete");
  }
  if (result.up_to > 0) {
    session.uncommitted_ends.insert(result.after);
  }
  return result;
}

void Scheduler::ApplyRunningRuns(WorkerSession& session,
                                 const RenewReport& report,
                                 bool is_adopting,
                                 SteadyTime now) {
  for (const RunningReport& running : report.running) {
    Run* run = session.FindRun(running.task, running.run);
    if (run == nullptr) {
      this->AdoptRun(session, running, report, is_adopting, now);
      continue;
    }
    if (running.percent != run->percent) {
      run->percent_changed_at = now;
    }
    run->seen_in_report = session.report_count();
    run->percent = running.percent;
    run->load = running.load;
    if (run->phase == RunPhase::kOrdered) {
      run->phase = RunPhase::kRunning;
      run->confirmed_clock = report.clock;
    }
    if (now - run->ordered_at >= jobs::TaskCrashes::kSuspectTime) {
      session.EndTrial(*run);
    }
    if (running.checkpoint.empty()) {
      continue;
    }
    if (const jobs::StepSpec* step = this->state.FindStep(running.task)) {
      this->CheckpointOf(running.task, *step).checkpoint = running.checkpoint;
    }
  }
}

// Returns true if this run of an earlier leader is the run that its task should
// have.
// NOTE: A leader that handled a failure started the next run immediately, so
// the end of an earlier run, committed or not, does not rule out a later one.
bool Scheduler::MayContinue(const jobs::Job& job,
                            const RunningReport& running) const {
  const jobs::TaskProgress progress = job.ProgressOf(running.task);
  if (progress.is_done || running.run <= progress.last_ended_run) {
    return false;
  }
  const TaskMemory* known = this->tasks.Find(running.task);
  return known == nullptr || (!known->placed && !known->has_done_run &&
                              running.run > known->last_ended_run);
}

// Handles a run that this leader did not order: a run of an earlier leader
// either continues or is stopped.
void Scheduler::AdoptRun(WorkerSession& session,
                         const RunningReport& running,
                         const RenewReport& report,
                         bool is_adopting,
                         SteadyTime now) {
  const jobs::Job* job = this->state.FindJob(running.task.step.job);
  const jobs::StepSpec* step = this->state.FindStep(running.task);
  const bool is_wanted = is_adopting && step != nullptr && job->is_active() &&
                         this->MayContinue(*job, running);
  Run run{
      .task = running.task,
      .number = running.run,
      .phase = is_wanted ? RunPhase::kRunning : RunPhase::kStopping,
      .need =
          step != nullptr ? Placement::CountedNeed(*step) : jobs::Resources(),
      .quota = step != nullptr ? this->quotas.Reserve(job->customer, step->need)
                               : QuotaLedger::Reservation(),
      .is_serving = step != nullptr && step->latency_target > Milliseconds(0),
      .is_filler = step != nullptr && step->is_filler,
      .is_budgeted = step != nullptr && step->has_disruption_budget,
      .ordered_at = now,
      .is_adopted = true,
      .settled_at =
          now + this->settings.max_stop_time + this->settings.lease.margin,
      .confirmed_clock = report.clock,
      .seen_in_report = session.report_count(),
      .percent = running.percent,
      .percent_changed_at = now,
      .load = running.load,
      .pace = std::nullopt,
      .stop_due = now};
  session.AddRun(std::move(run));
  if (step != nullptr) {
    TaskMemory& memory = this->tasks.GetOrCreate(running.task);
    memory.last_run = std::max(memory.last_run, running.run);
    ++memory.known_runs;
  }
  if (is_wanted) {
    this->tasks.GetOrCreate(running.task).placed = {session.worker().id,
                                                    running.run};
    this->RequestBegunRecord(*job);
  }
  this->needs_plan = true;
  this->collected_events.Add(is_wanted ? "run-adopted" : "run-unwanted",
                             running.task, running.run, session.worker().id,
                             is_wanted ? "it went on over a change of leader"
                                       : "its task is not wanted there");
}

// Releases runs that the worker neither reports as running nor lists as ended.
void Scheduler::ReleaseMissingRuns(WorkerSession& session,
                                   const RenewReport& report) {
  std::vector<std::pair<jobs::TaskId, RunNumber>> gone;
  for (const auto& [key, run] : session.runs()) {
    if (run.seen_in_report == session.report_count()) {
      continue;
    }
    const bool has_vanished =
        run.confirmed_clock && *run.confirmed_clock < report.clock;
    const bool never_starts = !run.is_adopted &&
                              run.phase != RunPhase::kRunning &&
                              report.clock >= run.start_expires;
    const bool is_stopped =
        run.stopped_clock && *run.stopped_clock < report.clock;
    if (has_vanished || never_starts || is_stopped) {
      gone.push_back(key);
    }
  }
  for (const auto& [task, number] : gone) {
    this->ReleaseRun(session, task, number, "the worker does not have it");
  }
}

void Scheduler::HandleRenewalFailure(const WorkerId& worker,
                                     OrderResult result,
                                     SteadyTime now) {
  WorkerSession* session = this->FindSession(worker);
  const bool is_inconclusive =
      result == OrderResult::kNotSent || result == OrderResult::kRelayLost;
  if (session == nullptr || is_inconclusive) {
    return;
  }
  session->RecordFailure(now, result == OrderResult::kUnknown);
  if (result == OrderResult::kOtherIncarnation) {
    this->EndIncarnationAtAddress(worker, now);
  }
  this->needs_plan = true;
}

void Scheduler::HandleEndsCommitted(const WorkerId& worker,
                                    const EndsToRecord& recorded) {
  for (const jobs::RunEnd& end : recorded.ends) {
    if (TaskMemory* memory = this->tasks.Find(end.task)) {
      --memory->uncommitted_ends;
    }
    this->waiting.Reconsider(end.task.step.job);
  }
  WorkerSession* session = this->FindSession(worker);
  if (session != nullptr && recorded.up_to > 0) {
    session->HandleEndsCommitted(recorded.after);
  }
  this->needs_plan = true;
}

void Scheduler::HandleOrderAnswer(const Order& order,
                                  const OrderAnswer& answer,
                                  SteadyTime now) {
  if (const auto* start = std::get_if<StartOrder>(&order)) {
    this->HandleStartAnswer(*start, answer, now);
  } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
    this->HandleStopAnswer(*stop, answer, now);
  } else if (const auto* pace = std::get_if<PaceOrder>(&order)) {
    WorkerSession* session = this->FindSession(pace->worker);
    if (session != nullptr) {
      Sharing::ApplyResult(*session, *pace, answer.result);
    }
  }
}

// Requests a record that the job has begun, with each start of its tasks until
// that record is committed.
void Scheduler::RequestBegunRecord(const jobs::Job& job) {
  if (!job.has_begun && job.is_active()) {
    this->begun.insert(job.id);
  }
}

void Scheduler::HandleStartAnswer(const StartOrder& order,
                                  const OrderAnswer& answer,
                                  SteadyTime now) {
  WorkerSession* known = this->FindSession(order.worker);
  if (known == nullptr) {
    return;
  }
  WorkerSession& session = *known;
  if (answer.clock) {
    session.RecordClock(*answer.clock, now);
  }
  Run* run = session.FindRun(order.task, order.run);
  if (run == nullptr) {
    return;
  }
  switch (answer.result) {
    case OrderResult::kDone:
      run->confirmed_clock = answer.clock;
      if (run->phase == RunPhase::kOrdered) {
        run->phase = RunPhase::kRunning;
      }
      if (const jobs::Job* job = this->state.FindJob(order.task.step.job)) {
        this->RequestBegunRecord(*job);
      }
      break;
    case OrderResult::kNoRoom:
      session.full_until = now + this->settings.full_pause;
      this->ReleaseRun(session, order.task, order.run, "the worker is full");
      break;
    case OrderResult::kBadTicket:
      this->advice.DropTicket(order.task.step, order.worker);
      this->ReleaseRun(session, order.task, order.run,
                       "the worker refused the ticket");
      break;
    case OrderResult::kTooLate:
    case OrderResult::kRefused:
      session.full_until = now + this->settings.full_pause;
      this->ReleaseRun(session, order.task, order.run,
                       "the worker refused the start");
      break;
    case OrderResult::kFenced:
      // Another leader controls the worker; this one will notice by the loss of
      // its own lease.
      this->ReleaseRun(session, order.task, order.run, "fenced off");
      break;
    case OrderResult::kOtherIncarnation:
      this->EndIncarnationAtAddress(order.worker, now);
      break;
    case OrderResult::kUnreachable:
      session.RecordFailure(now, false);
      this->ReleaseRun(session, order.task, order.run, "nobody listens there");
      break;
    case OrderResult::kNotSent:
      // This is no evidence against the worker, but the path to it is
      // congested.
      session.full_until = now + this->settings.full_pause;
      this->ReleaseRun(session, order.task, order.run, "the start never left");
      break;
    case OrderResult::kOldRun:
      // The worker knows this run or a later one, so the run may have started
      // and ended.
      this->SettleStart(session, *run, "refused as old", now);
      break;
    case OrderResult::kUnknown:
    case OrderResult::kRelayLost:
      this->SettleStart(session, *run, "unanswered", now);
      break;
  }
  this->needs_plan = true;
}

// Handles a start whose outcome is unknown: the run may have begun, may still
// begin, or may have ended. A stop and the next report settle this before its
// task is started elsewhere.
void Scheduler::SettleStart(WorkerSession& session,
                            Run& run,
                            const std::string& reason,
                            SteadyTime now) {
  if (run.phase != RunPhase::kOrdered) {
    // A report has shown that the run is running, or it is already being
    // stopped.
    return;
  }
  this->collected_events.Add("start-unsettled", run.task, run.number,
                             session.worker().id, reason);
  // The run may be running by the time the stop arrives: three such stops at
  // once have taken down all tasks of a step whose disruption budget was one.
  if (run.is_budgeted && !this->MayDisrupt(run.task, now)) {
    this->reports_to_request.insert(session.worker().id);
    return;
  }
  session.BeginStop(run, now);
  this->BreakGang(run.task, run.number);
}

void Scheduler::HandleStopAnswer(const StopOrder& order,
                                 const OrderAnswer& answer,
                                 SteadyTime now) {
  WorkerSession* session = this->FindSession(order.worker);
  if (session == nullptr) {
    return;
  }
  if (answer.result == OrderResult::kOtherIncarnation) {
    this->EndIncarnationAtAddress(order.worker, now);
    return;
  }
  Run* run = session->FindRun(order.task, order.run);
  if (run != nullptr && answer.result == OrderResult::kDone) {
    run->stopped_clock = answer.clock;
    this->reports_to_request.insert(order.worker);
    this->needs_plan = true;
  }
}

void Scheduler::HandleAdvice(const AdviceQuestion& question,
                             const AdviceAnswer& answer,
                             SteadyTime now) {
  this->advice.ApplyAnswer(question, answer, now);
  this->advice.DropFinished(this->state);
  this->needs_plan = true;
}

// Returns the placement policy of the job's queue, or null.
const jobs::PlacementPolicy* Scheduler::PolicyOf(const jobs::Job& job) const {
  const jobs::QueueDeclaration* queue =
      this->state.declaration().FindQueue(job.queue);
  return queue != nullptr && queue->placement_policy ? &*queue->placement_policy
                                                     : nullptr;
}

const PlacementAdvice* Scheduler::AdviceFor(const jobs::Job& job) const {
  return this->PolicyOf(job) == nullptr ? nullptr : &this->advice;
}

// Queues a question about the workers that have room for the task, if the
// task's queue has a placement policy.
void Scheduler::AskForAdvice(const Candidate& candidate,
                             const jobs::TaskId& task,
                             SteadyTime now) {
  const jobs::PlacementPolicy* policy = this->PolicyOf(*candidate.job);
  if (policy != nullptr && this->advice.CanRequestQuestion(now)) {
    const PlacementRequest request{.job = candidate.job, .task = task};
    this->advice.RequestQuestion(
        task.step, this->placement.ListWorkersWithRoom(request), *policy, now);
  }
}

void Scheduler::LogPaceChange(const WorkerSession& session,
                              const std::string& reason) {
  this->needs_plan = true;
  for (const auto& [key, run] : session.runs()) {
    if (run.is_filler) {
      this->collected_events.Add("filler-paced", run.task, run.number,
                                 session.worker().id, reason);
    }
  }
}

void Scheduler::EndIncarnation(const WorkerId& worker,
                               IncarnationEnd end,
                               SteadyTime now) {
  const auto found = this->workers.find(worker);
  if (found == this->workers.end()) {
    return;
  }
  if (this->lost_data_centres.is_on() &&
      this->IsUnplanned(found->second, end)) {
    this->lost_data_centres.RecordEnd(found->second.worker().data_centre,
                                      found->second.SilentSince(now));
    this->TakeCensus({worker}, now);
  }
  this->LogIncarnationEnd(found->second, end, now);
  if (this->IsCrash(found->second, end)) {
    this->RecordCrash(found->second, now);
  }
  this->ReleaseAllRuns(found->second, std::string(TextOf(end)));
  this->health.RemoveRecord(worker);
  this->RemoveFromInstance(found->second.worker());
  this->workers.erase(found);
  this->needs_plan = true;
}

// Returns true if no planned action explains the end: the worker had not
// announced that it would leave, and no order that ends it is committed.
bool Scheduler::IsUnplanned(const WorkerSession& session,
                            IncarnationEnd end) const {
  const jobs::Worker& worker = session.worker();
  const auto move = this->state.record().moves.find(worker.instance);
  const bool is_ordered = move != this->state.record().moves.end() &&
                          move->second.worker == worker.id;
  return IsUnexplained(end) && !worker.is_draining && !is_ordered;
}

// Returns true if a task may have caused the end: nothing planned explains it,
// and the worker's data centre was not lost as a whole.
bool Scheduler::IsCrash(const WorkerSession& session,
                        IncarnationEnd end) const {
  return this->IsUnplanned(session, end) &&
         !this->lost_data_centres.IsLost(session.worker().data_centre);
}

// Counts the workers of each data centre and those that are gone: they fail to
// answer, or the platform lists their instance as down, gone, or with another
// worker. `ending` are left out, since their ends are recorded already.
void Scheduler::TakeCensus(const std::set<WorkerId>& ending, SteadyTime now) {
  this->last_census = now;
  std::map<DataCentre, DataCentreCensus> census;
  const std::set<DataCentre>& known = this->settings.data_centres;
  for (const auto& [id, session] : this->workers) {
    const DataCentre& name = session.worker().data_centre;
    if (ending.contains(id) || (!known.empty() && !known.contains(name))) {
      continue;
    }
    DataCentreCensus& counts = census[name];
    ++counts.workers;
    if (session.is_possibly_down()) {
      counts.silent_since.push_back(session.SilentSince(now));
    } else if (this->listed_as_over.contains(id)) {
      counts.silent_since.push_back(now);
    }
  }
  for (const DataCentreChange& change :
       this->lost_data_centres.HandleCensus(census, now)) {
    this->LogDataCentreChange(change);
  }
}

void Scheduler::LogDataCentreChange(const DataCentreChange& change) {
  this->collected_events.AddText(
      change.is_lost ? "data-centre-lost" : "data-centre-back",
      change.is_lost ? "most of its workers fell silent together"
                     : "most of its workers answer again or are gone for good",
      change.is_lost,
      StrCat(change.data_centre.value(), ": ", change.gone, " of ",
             change.workers, " workers are gone"));
}

// Records the crash of a worker for the tasks that were running there.
// NOTE: These tasks are not started until the crash is committed, so that each
// start by any leader is decided with all earlier crashes known.
void Scheduler::RecordCrash(const WorkerSession& session, SteadyTime now) {
  std::vector<jobs::CrashedRun> runs = FindCrashedRuns(session, this->state);
  std::erase_if(runs, [this](const jobs::CrashedRun& run) {
    return this->state.IsCrashSettled(run);
  });
  if (runs.empty()) {
    return;
  }
  for (const jobs::CrashedRun& run : runs) {
    TaskMemory& memory = this->tasks.GetOrCreate(run.task);
    ++memory.uncommitted_crashes;
    memory.crashed_at = now;
    memory.trial_waiting_since.reset();
    this->collected_events.Add("run-crashed", run.task, run.run,
                               session.worker().id,
                               run.is_only_suspect ? "only suspect"
                               : run.IsBystander() ? "bystander"
                                                   : "suspect");
  }
  this->ended_incarnations.Add(session.worker().id, std::move(runs));
}

void Scheduler::SettleCrashes(const WorkerId& worker) {
  for (const jobs::CrashedRun& run :
       this->ended_incarnations.Settle(worker, this->state)) {
    if (TaskMemory* memory = this->tasks.Find(run.task)) {
      --memory->uncommitted_crashes;
    }
    this->waiting.Reconsider(run.task.step.job);
  }
}

// Logs which runs ended with an incarnation, the most recently ordered first.
void Scheduler::LogIncarnationEnd(const WorkerSession& session,
                                  IncarnationEnd end,
                                  SteadyTime now) {
  if (session.runs().empty()) {
    return;
  }
  const SteadyTime ended_at = std::min(session.SilentSince(now), now);
  std::vector<const Run*> latest;
  for (const auto& [key, run] : session.runs()) {
    latest.push_back(&run);
  }
  std::sort(latest.begin(), latest.end(), [](const Run* one, const Run* other) {
    return one->ordered_at > other->ordered_at;
  });
  latest.resize(std::min(latest.size(), kMaxLoggedRuns));
  std::string text =
      StrCat(session.worker().id.value(), " on ",
             session.worker().instance.value(), " with ", session.runs().size(),
             " runs, silent for ", (now - ended_at).count(), " ms; the latest");
  for (const Run* run : latest) {
    StrAppend(&text, " ", run->task.ToText(), "#", run->number.value(), " (",
              (ended_at - run->ordered_at).count(), " ms)");
  }
  const bool is_crash = this->IsCrash(session, end);
  this->collected_events.AddText(is_crash ? "worker-crashed" : "worker-ended",
                                 std::string(TextOf(end)), is_crash,
                                 std::move(text));
}

// Ends an incarnation because another one is at its address. An address is
// reused only after its previous incarnation is over.
void Scheduler::EndIncarnationAtAddress(const WorkerId& worker,
                                        SteadyTime now) {
  this->ended_incarnations.Add(worker);
  this->EndIncarnation(worker, IncarnationEnd::kReplacedAtAddress, now);
}

void Scheduler::ReleaseRun(WorkerSession& session,
                           const jobs::TaskId& task,
                           RunNumber run,
                           const std::string& reason) {
  const bool was_known = session.RemoveRun(task, run);
  TaskMemory* memory = this->tasks.Find(task);
  if (memory != nullptr && was_known && memory->known_runs > 0) {
    --memory->known_runs;
  }
  if (memory != nullptr &&
      memory->placed == std::pair(session.worker().id, run)) {
    memory->placed.reset();
  }
  this->waiting.Reconsider(task.step.job);
  if (!reason.empty()) {
    this->collected_events.Add("run-gone", task, run, session.worker().id,
                               reason);
    this->BreakGang(task, run);
  }
  this->needs_plan = true;
}

// Stops the other members of a gang that has lost a member. Otherwise they
// would hold their room until they give up waiting; stopping them lets the gang
// start again immediately.
void Scheduler::BreakGang(const jobs::TaskId& member, RunNumber run) {
  const jobs::StepSpec* step = this->state.FindStep(member);
  if (step == nullptr || !step->is_gang) {
    return;
  }
  for (std::uint32_t index = 0; index < step->count; ++index) {
    const jobs::TaskId task{member.step, index};
    const TaskMemory* memory = this->tasks.Find(task);
    if (memory == nullptr || !memory->placed || memory->placed->second != run) {
      continue;
    }
    WorkerSession* session = this->FindSession(memory->placed->first);
    Run* other = session == nullptr ? nullptr : session->FindRun(task, run);
    if (other != nullptr && other->phase != RunPhase::kStopping) {
      session->BeginStop(*other, SteadyTime{});
    }
  }
}

// Returns the entry that holds the checkpoint of a task: the members of a gang
// share one checkpoint.
TaskMemory& Scheduler::CheckpointOf(const jobs::TaskId& task,
                                    const jobs::StepSpec& step) {
  return this->tasks.GetOrCreate({task.step, step.is_gang ? 0 : task.index});
}

void Scheduler::ReleaseAllRuns(WorkerSession& session,
                               const std::string& reason) {
  std::vector<std::pair<jobs::TaskId, RunNumber>> all;
  for (const auto& [key, run] : session.runs()) {
    all.push_back(key);
  }
  for (const auto& [task, number] : all) {
    this->ReleaseRun(session, task, number, reason);
  }
}

SchedulerOutput Scheduler::Plan(SteadyTime now,
                                WallTime wall_now,
                                StartAllowance allowed) {
  this->needs_plan = false;
  this->starts_left = allowed;
  SchedulerOutput output;
  this->SyncEvacuations();
  this->ExpireSilentWorkers(now);
  if (this->lost_data_centres.is_on() &&
      now - this->last_census >= this->settings.straggler_interval) {
    this->TakeCensus({}, now);
  }
  this->placement.BeginPass(this->workers, now, this->starvation.needed());
  this->RemoveSilentWorkers(now, output);
  this->EvacuateCordoned(now);
  this->GiveUpStragglers(now);
  this->StopUnwanted(now, output);
  this->advice.BeginPass();
  this->StartDue(now, wall_now, output);
  for (PaceOrder& order : Sharing::NextOrders(this->workers, this->epoch)) {
    output.orders.emplace_back(std::move(order));
  }
  this->RequestReports(now, output);
  output.question = this->advice.NextQuestion(now);
  this->tasks.DropFinished(this->state);
  if (!this->begun.empty()) {
    output.commands.emplace_back(
        jobs::RecordBegun{{this->begun.begin(), this->begun.end()}});
    this->begun.clear();
  }
  output.events = this->collected_events.Take();
  return output;
}

void Scheduler::RequestReports(SteadyTime now, SchedulerOutput& output) {
  for (const WorkerId& id : std::exchange(this->reports_to_request, {})) {
    if (WorkerSession* session = this->FindSession(id)) {
      session->report_requested_at = now;
      output.report_requests.push_back(session->NextReportRequest(this->epoch));
    }
  }
}

// Requests reports from the workers of a step's tasks whose last report is too
// old to show whether their task is running.
void Scheduler::RequestStepReports(const jobs::StepId& step, SteadyTime now) {
  const jobs::TaskId first{step, 0};
  const jobs::StepSpec* spec = this->state.FindStep(first);
  for (std::uint32_t index = 0; spec != nullptr && index < spec->count;
       ++index) {
    const TaskMemory* memory = this->tasks.Find({step, index});
    WorkerSession* session = memory == nullptr || !memory->placed
                                 ? nullptr
                                 : this->FindSession(memory->placed->first);
    const bool is_stale =
        session != nullptr && session->is_answering() &&
        now - session->reported_at() > this->settings.max_report_age / 2 &&
        now - session->report_requested_at > this->settings.max_report_age / 2;
    if (is_stale) {
      this->reports_to_request.insert(session->worker().id);
    }
  }
}

void Scheduler::ExpireSilentWorkers(SteadyTime now) {
  this->services_with_unseen_runs.clear();
  this->run_count = 0;
  jobs::Resources unseen_capacity;
  for (auto& [id, session] : this->workers) {
    this->run_count += session.runs().size();
    this->CheckTrials(session, now);
    const bool is_expired = session.IsExpired(now);
    if (is_expired && (session.is_adopted() || !session.runs().empty())) {
      this->ReleaseAllRuns(session, "its lease is over");
      session.Reset();
    }
    // NOTE: Workers join continuously while pools grow. A worker that was first
    // recorded under this leader has had no orders from another one, so it must
    // not make all older jobs of its service wait.
    if (this->IsInherited(session) && !is_expired && !session.is_adopted()) {
      this->services_with_unseen_runs.insert(session.worker().service);
      unseen_capacity.Add(session.worker().capacity);
    }
  }
  this->UpdateUnseenUsage(unseen_capacity);
}

// Determines what customers may have running on workers with the given capacity
// that this leader has not heard of yet.
void Scheduler::UpdateUnseenUsage(const jobs::Resources& capacity) {
  if (this->services_with_unseen_runs.empty()) {
    this->quotas.SetUnseen({});
    return;
  }
  this->quotas.SetUnseen(this->unseen_usage.Measure(
      capacity,
      [this](const jobs::Job& job) { return this->MayRunUnseen(job); },
      [this](const jobs::TaskId& task) {
        const TaskMemory* memory = this->tasks.Find(task);
        return memory != nullptr && memory->known_runs > 0;
      }));
}

// Requests a report from a worker with a trial that has lasted long enough: a
// run that is still reported after that time has not crashed its worker.
// Waiting for the next renewal could take longer.
void Scheduler::CheckTrials(WorkerSession& session, SteadyTime now) {
  static constexpr Milliseconds kTime = jobs::TaskCrashes::kSuspectTime;
  if (session.trials() == 0 || now - session.report_requested_at < kTime) {
    return;
  }
  const bool is_over = std::any_of(
      session.runs().begin(), session.runs().end(), [now](const auto& run) {
        return run.second.is_on_trial && now - run.second.ordered_at >= kTime;
      });
  if (is_over) {
    this->reports_to_request.insert(session.worker().id);
  }
}

bool Scheduler::NeedsInstanceCheck() const {
  if (this->lost_data_centres.is_on() &&
      !this->services_with_unseen_runs.empty()) {
    return true;
  }
  return std::any_of(this->workers.begin(), this->workers.end(),
                     [](const auto& worker) {
                       return worker.second.is_possibly_down() &&
                              !worker.second.worker().instance.value().empty();
                     });
}

std::set<InstanceName> Scheduler::InstancesToCheck() const {
  std::set<InstanceName> instances;
  for (const auto& [id, session] : this->workers) {
    if ((session.is_possibly_down() || this->lost_data_centres.is_on()) &&
        !session.worker().instance.value().empty()) {
      instances.insert(session.worker().instance);
    }
  }
  return instances;
}

// Returns true if a worker whose instance is down, by a list requested at
// `asked_at`, is over although no call to it has failed yet. It was known
// before that, so its instance has gone down since then, and nothing runs there
// any more. Only a worker that may well be gone is ended in this way: one that
// has not answered this leader yet, or one of a lost data centre.
bool Scheduler::IsOverUnasked(const WorkerSession& session,
                              SteadyTime asked_at) const {
  const bool is_unseen = this->IsInherited(session) && !session.is_adopted();
  const bool is_lost =
      this->lost_data_centres.IsLost(session.worker().data_centre) &&
      session.last_answer < asked_at;
  return is_unseen || is_lost;
}

void Scheduler::HandleInstanceStatus(
    const std::map<InstanceName, InstanceStatus>& statuses,
    SteadyTime asked_at) {
  if (statuses.empty()) {
    // A platform that lists no instance at all has lost its list, not its
    // instances.
    return;
  }
  const bool tolerates_loss = this->lost_data_centres.is_on();
  std::vector<WorkerId> dead;
  std::vector<WorkerId> listed_as_down;
  this->listed_as_over.clear();
  for (const auto& [id, session] : this->workers) {
    const InstanceName& instance = session.worker().instance;
    if (instance.value().empty() || session.began_at() >= asked_at ||
        (!session.is_possibly_down() && !tolerates_loss)) {
      continue;
    }
    const auto status = statuses.find(instance);
    const bool is_over = status == statuses.end() || !status->second.is_up ||
                         (!status->second.worker.value().empty() &&
                          status->second.worker != session.worker().name);
    if (!is_over) {
      continue;
    }
    this->listed_as_over.insert(id);
    if (session.is_possibly_down()) {
      dead.push_back(id);
    } else if (status != statuses.end() && status->second.is_down) {
      listed_as_down.push_back(id);
    }
  }
  // The workers of a lost data centre are recognised as such before the first
  // of them ends, so that none of their tasks is suspected.
  if (!this->listed_as_over.empty() && tolerates_loss) {
    this->TakeCensus({}, asked_at);
  }
  for (const WorkerId& id : listed_as_down) {
    if (this->IsOverUnasked(this->workers.at(id), asked_at)) {
      dead.push_back(id);
    }
  }
  for (const WorkerId& id : dead) {
    this->EndIncarnation(id, IncarnationEnd::kListedAsDown, asked_at);
    this->ended_incarnations.Add(id);
  }
}

void Scheduler::RemoveSilentWorkers(SteadyTime now, SchedulerOutput& output) {
  for (jobs::Command& command :
       this->ended_incarnations.TakeDue(now, this->settings.removal_retry)) {
    output.commands.emplace_back(std::move(command));
  }
  if (now - this->last_silent_scan < this->settings.straggler_interval) {
    return;
  }
  this->last_silent_scan = now;
  std::map<WorkerId, std::uint64_t> gone;
  for (const auto& [id, session] : this->workers) {
    const bool is_gone =
        session.IsExpired(now) && !session.is_adopted() &&
        now - session.last_answer > this->settings.removal_delay;
    if (is_gone) {
      gone.emplace(id, session.worker().sequence);
    }
  }
  // NOTE: From here on the worker gets no orders, even if it answers again
  // before the command is committed: later leaders would not know of runs
  // started there.
  for (const auto& [id, sequence] : gone) {
    this->EndIncarnation(id, IncarnationEnd::kSilent, now);
    this->pending_removals[id] = {.submit_at = now, .sequence = sequence};
  }
  for (auto& [id, removal] : this->pending_removals) {
    if (now >= removal.submit_at) {
      // The command may be submitted twice; the sequence number keeps the
      // second one from ending runs that the worker has begun since.
      removal.submit_at = now + this->settings.removal_delay;
      output.commands.emplace_back(
          jobs::ForgetWorker{id, false, removal.sequence});
    }
  }
}

void Scheduler::SetCordoned(std::set<InstanceName> instances,
                            std::set<InstanceName> returning) {
  if (instances == this->cordoned && returning == this->returning) {
    return;
  }
  this->cordoned = std::move(instances);
  this->returning = std::move(returning);
  for (auto& [id, session] : this->workers) {
    this->MarkCordoned(session);
  }
  this->needs_plan = true;
}

// Marks the workers in evacuated data centres, after operators changed which
// data centres are in use.
void Scheduler::SyncEvacuations() {
  const std::set<DataCentre>& evacuated = this->state.evacuated_data_centres();
  if (evacuated == this->seen_evacuated) {
    return;
  }
  this->seen_evacuated = evacuated;
  CapacityLoss loss;
  for (auto& [id, session] : this->workers) {
    const jobs::Worker& worker = session.worker();
    const bool was_usable = !session.is_evacuated;
    session.is_evacuated = !this->state.IsInUse(worker.data_centre);
    loss.Add(worker.service, worker.capacity.millicores, was_usable,
             !session.is_evacuated);
  }
  this->HandleCapacityLoss(loss);
}

// Lowers the rates by which new jobs are admitted. They were measured with the
// capacity before the evacuation.
void Scheduler::HandleCapacityLoss(const CapacityLoss& loss) {
  if (this->capacity_change) {
    this->capacity_change->after = loss.all().after;
  } else {
    this->capacity_change = loss.all();
  }
  for (const jobs::QueueDeclaration& queue :
       this->state.declaration().queues()) {
    this->forecast.ScaleRate(queue.name, loss.LeftOf(queue.service));
  }
}

bool Scheduler::IsConfirmedRunning(const jobs::TaskId& task,
                                   SteadyTime now) const {
  constexpr std::uint32_t kWholePercent = 100;
  const TaskMemory* memory = this->tasks.Find(task);
  if (memory == nullptr || !memory->placed) {
    return false;
  }
  const auto& [worker, number] = *memory->placed;
  const auto session = this->workers.find(worker);
  if (session == this->workers.end() || !session->second.is_answering()) {
    return false;
  }
  // The next report may contain an end. In one evacuation the leader counted
  // tasks as running by reports that were 2.3 s old, although their leases had
  // ended 0.9 s before.
  if (now - session->second.reported_at() > this->settings.max_report_age) {
    return false;
  }
  const auto run = session->second.runs().find({task, number});
  return run != session->second.runs().end() &&
         run->second.phase == RunPhase::kRunning &&
         session->second.reported_at() >= run->second.settled_at &&
         run->second.percent >= kWholePercent;
}

std::set<InstanceName> Scheduler::NeededInstances() const {
  std::set<InstanceName> instances;
  for (const WorkerId& worker : this->starvation.needed()) {
    const auto session = this->workers.find(worker);
    if (session != this->workers.end() && session->second.is_cordoned) {
      instances.insert(session->second.worker().instance);
    }
  }
  return instances;
}

bool Scheduler::MayDisruptAll(const jobs::StepId& step,
                              const std::set<std::uint32_t>& tasks,
                              SteadyTime now) const {
  const jobs::StepSpec* spec = this->state.FindStep({step, 0});
  if (spec == nullptr || !spec->has_disruption_budget) {
    return true;
  }
  std::size_t away = tasks.size();
  for (std::uint32_t index = 0; index < spec->count; ++index) {
    away +=
        static_cast<std::size_t>(!tasks.contains(index) &&
                                 !this->IsConfirmedRunning({step, index}, now));
  }
  return away <= spec->disruption_budget;
}

// Returns where the tasks of a step are, if their data centres matter.
std::optional<DataCentreSpread> Scheduler::SpreadOf(
    const jobs::StepId& step) const {
  const jobs::StepSpec* spec = this->settings.tolerated_data_centres == 0
                                   ? nullptr
                                   : this->state.FindStep({step, 0});
  if (spec == nullptr || WishFor(*spec) == DataCentreWish::kNone) {
    return std::nullopt;
  }
  DataCentreSpread spread(WishFor(*spec), this->settings.data_centres);
  for (std::uint32_t index = 0; index < spec->count; ++index) {
    const TaskMemory* memory = this->tasks.Find({step, index});
    if (memory == nullptr || !memory->placed) {
      continue;
    }
    const auto session = this->workers.find(memory->placed->first);
    if (session != this->workers.end()) {
      spread.Add(session->second.worker().data_centre);
    }
  }
  return spread;
}

WorkerSession* Scheduler::ChooseWorker(const jobs::Job& job,
                                       const jobs::TaskId& task,
                                       bool is_suspect,
                                       const DataCentreSpread* spread) const {
  const jobs::StepSpec& step = job.spec.steps[task.step.step];
  PlacementRequest request{.job = &job,
                           .task = task,
                           .memory = this->tasks.Find(task),
                           .is_suspect = is_suspect,
                           .advice = this->AdviceFor(job),
                           .spread = spread};
  if (!step.is_long_running) {
    request.expected = this->run_times.Expect(job.queue, step);
  }
  return this->placement.Choose(request);
}

bool Scheduler::HasPlaceElsewhere(const jobs::TaskId& task) const {
  const jobs::Job* job = this->state.FindJob(task.step.job);
  return job != nullptr && this->ChooseWorker(*job, task) != nullptr;
}

// Moves long-running tasks off cordoned instances and, if the settings say so,
// out of evacuated data centres; other tasks end by themselves.
void Scheduler::EvacuateCordoned(SteadyTime now) {
  const bool leaves_evacuated =
      this->settings.moves_evacuated_tasks && !this->seen_evacuated.empty();
  if (this->cordoned.empty() && !leaves_evacuated) {
    return;
  }
  for (auto& [id, session] : this->workers) {
    if (session.is_cordoned) {
      for (auto& [key, run] : session.runs()) {
        this->MoveRun(session, run, "its instance is to be taken away", now);
      }
      if (session.is_returning) {
        this->InterruptRunsWithoutPlace(session, now);
      }
    } else if (leaves_evacuated && session.is_evacuated) {
      this->MoveOutOfEvacuated(session, now);
    }
  }
}

// Stops the long-running tasks that have no place but a worker that comes back
// soon, now or when other workers have room again, once nothing else runs
// there. All of them are stopped or none: while one has to stay, so does the
// worker.
void Scheduler::InterruptRunsWithoutPlace(WorkerSession& session,
                                          SteadyTime now) {
  std::map<jobs::StepId, std::set<std::uint32_t>> staying;
  for (const auto& [key, run] : session.runs()) {
    const jobs::StepSpec* step = this->state.FindStep(run.task);
    // A gang would have to start again as a whole.
    const bool may_wait =
        step != nullptr && step->is_long_running && !step->is_gang;
    if (run.phase == RunPhase::kOrdered || !may_wait) {
      return;
    }
    const jobs::Job* job = this->state.FindJob(run.task.step.job);
    if (run.phase == RunPhase::kStopping || job == nullptr) {
      continue;
    }
    if (this->starvation.HasOtherPlace({.job = job, .task = run.task},
                                       this->placement)) {
      return;
    }
    staying[run.task.step].insert(run.task.index);
  }
  for (const auto& [step, tasks] : staying) {
    if (!this->MayDisruptAll(step, tasks, now)) {
      this->RequestStepReports(step, now);
      return;
    }
  }
  for (auto& [key, run] : session.runs()) {
    if (run.phase == RunPhase::kRunning) {
      session.BeginStop(run, now);
      this->collected_events.Add(
          "run-evacuated", run.task, run.number, session.worker().id,
          "its instance is due for maintenance, and it has no other place");
    }
  }
}

// Moves one long-running task off a worker in an evacuated data centre, unless
// another was moved a moment ago. Otherwise all of them would be between two
// places at once and compete for the same room.
void Scheduler::MoveOutOfEvacuated(WorkerSession& session, SteadyTime now) {
  for (auto& [key, run] : session.runs()) {
    const bool is_due = !this->last_evacuation_move ||
                        now - *this->last_evacuation_move >=
                            this->settings.evacuation_move_interval;
    if (!is_due) {
      return;
    }
    const jobs::StepSpec* step = this->state.FindStep(run.task);
    // A gang would have to start again as a whole.
    const bool is_gang = step != nullptr && step->is_gang;
    if (!is_gang &&
        this->MoveRun(session, run, "its data centre is evacuated", now)) {
      this->last_evacuation_move = now;
    }
  }
}

// Stops a run of a long-running task, so that the task starts again elsewhere,
// if its disruption budget allows it and there is a place. Returns true if the
// run was stopped.
bool Scheduler::MoveRun(WorkerSession& session,
                        Run& run,
                        std::string_view reason,
                        SteadyTime now) {
  const jobs::StepSpec* step = this->state.FindStep(run.task);
  const bool should_leave = step != nullptr && step->is_long_running &&
                            run.phase == RunPhase::kRunning;
  if (!should_leave) {
    return false;
  }
  if (!this->MayDisrupt(run.task, now)) {
    this->RequestStepReports(run.task.step, now);
    return false;
  }
  if (!this->HasPlaceElsewhere(run.task)) {
    return false;
  }
  session.BeginStop(run, now);
  this->collected_events.Add("run-evacuated", run.task, run.number,
                             session.worker().id, std::string(reason));
  return true;
}

// Stops runs that are stalled or slow, so that their tasks start again on a
// worker with no known problem.
void Scheduler::GiveUpStragglers(SteadyTime now) {
  if (!this->settings.avoids_bad_workers ||
      now - this->last_straggler_scan <
          this->ScaledToRuns(this->settings.straggler_interval)) {
    return;
  }
  this->last_straggler_scan = now;
  for (const Straggler& straggler : this->stragglers.Find(this->workers, now)) {
    // NOTE: A long-running task that was not in operation according to the last
    // report may be so by the time the stop arrives, so the disruption budget
    // applies anyway.
    if (this->MayDisrupt(straggler.run->task, now)) {
      this->GiveUpRun(straggler, now);
    } else {
      this->RequestStepReports(straggler.run->task.step, now);
    }
  }
}

void Scheduler::GiveUpRun(const Straggler& straggler, SteadyTime now) {
  const WorkerId& worker = straggler.session->worker().id;
  Run& run = *straggler.run;
  TaskMemory& memory = this->tasks.GetOrCreate(run.task);
  ++memory.moves;
  memory.failed_on.insert(worker);
  straggler.session->BeginStop(run, now);
  this->collected_events.Add(
      "run-given-up", run.task, run.number, worker,
      straggler.pace == RunPace::kStalled ? "it stands still" : "it is slow");
}

Milliseconds Scheduler::ScaledToRuns(Milliseconds interval) const {
  const std::size_t parts =
      this->run_count / this->settings.runs_per_interval + 1;
  return interval * static_cast<std::int64_t>(parts);
}

bool Scheduler::IsWanted(const Run& run) const {
  const jobs::Job* job = this->state.FindJob(run.task.step.job);
  return job != nullptr && job->is_active() &&
         !job->ProgressOf(run.task).is_done;
}

// Marks runs whose job or task has finished as stopping.
void Scheduler::FindUnwanted(SteadyTime now) {
  const bool has_newly_finished =
      this->seen_finish_count != this->state.finish_count();
  if (!has_newly_finished ||
      now - this->last_unwanted_scan <
          this->ScaledToRuns(this->settings.unwanted_scan_interval)) {
    return;
  }
  this->last_unwanted_scan = now;
  this->seen_finish_count = this->state.finish_count();
  for (auto& [id, session] : this->workers) {
    for (auto& [key, run] : session.runs()) {
      if (run.phase != RunPhase::kStopping && !this->IsWanted(run)) {
        session.BeginStop(run, now);
      }
    }
  }
}

// Sends stops to runs that are no longer wanted.
// NOTE: A stopped run counts as gone only once a later report shows this. A
// worker also acknowledges the stop of a run that had already ended as done,
// and then the task must not run again.
void Scheduler::StopUnwanted(SteadyTime now, SchedulerOutput& output) {
  this->FindUnwanted(now);
  for (auto& [id, session] : this->workers) {
    if (std::exchange(session.has_unsettled_runs, false)) {
      this->StopUnsettled(session, now, output);
    }
  }
}

// Stops the runs of one worker that are marked as stopping or were not
// confirmed in time.
void Scheduler::StopUnsettled(WorkerSession& session,
                              SteadyTime now,
                              SchedulerOutput& output) {
  for (auto& [key, run] : session.runs()) {
    if (run.phase == RunPhase::kRunning) {
      continue;
    }
    session.has_unsettled_runs = true;
    const bool is_unconfirmed = run.phase == RunPhase::kOrdered &&
                                now - run.ordered_at > kUnconfirmedTime;
    if (is_unconfirmed) {
      if (!run.is_budgeted || this->MayDisrupt(run.task, now)) {
        session.BeginStop(run, now);
        this->collected_events.Add("start-unsettled", run.task, run.number,
                                   session.worker().id,
                                   "no report confirms it");
      } else {
        this->RequestStepReports(run.task.step, now);
      }
    }
  }
  const auto is_known = [this](const Run& run) {
    return this->state.FindStep(run.task) != nullptr;
  };
  for (Run* run : SelectDueStops(session, is_known, now)) {
    this->StopRun(session, *run, now, output);
  }
}

void Scheduler::StopRun(WorkerSession& session,
                        Run& run,
                        SteadyTime now,
                        SchedulerOutput& output) {
  run.stop_due = now + this->settings.stop_retry;
  output.orders.emplace_back(StopOrder{session.worker().id,
                                       session.worker().address, this->epoch,
                                       run.task, run.number});
}

void Scheduler::StartDue(SteadyTime now,
                         WallTime wall_now,
                         SchedulerOutput& output) {
  if (this->starts_left.all == 0) {
    this->needs_plan = true;
    return;
  }
  const std::vector<DueOccurrence> order =
      this->waiting.Order(now, wall_now, this->customers_at_quota);
  this->customers_at_quota.clear();
  JobNumbers unplaced(order.size());
  this->forecast.UpdateWaiting(this->waiting.waiting_by_queue());
  for (const DueOccurrence& due : order) {
    const std::size_t orders = output.orders.size();
    if (!this->MayStart(due.lateness) || !this->StartSteps(due, now, output)) {
      unplaced.Add(due.job->sequence);
    } else if (due.is_new && output.orders.size() > orders) {
      this->forecast.RecordFirstStart(due.job->queue, now);
    }
  }
  unplaced.Sort();
  this->ReviewStarvation(order, unplaced, now);
  this->ReviewWaiting(order, unplaced, now);
  this->waiting.RemovePlaced(unplaced, wall_now);
}

// Returns true if this planning pass may still order a start for a job of this
// lateness.
bool Scheduler::MayStart(Lateness lateness) const {
  return this->starts_left.all > 0 &&
         (lateness == Lateness::kInTime || this->starts_left.late > 0);
}

// Returns true if the quota of the job's customer has room for `count` more
// tasks that need `need` each; remembers the customer if not.
bool Scheduler::IsWithinQuota(const jobs::Job& job,
                              const jobs::Resources& need,
                              std::uint32_t count) {
  if (job.customer.value().empty()) {
    return true;
  }
  const bool is_allowed = this->quotas.Allows(
      this->state.declaration().FindCustomer(job.customer), need, count);
  if (!is_allowed) {
    this->customers_at_quota.insert(job.customer);
  }
  return is_allowed;
}

// Calls `visit` for each step that is ready and not done of the jobs that wait.
template <std::invocable<const Scheduler::Candidate&> Visit>
void Scheduler::VisitWaitingSteps(const std::vector<DueOccurrence>& due,
                                  const JobNumbers& unplaced,
                                  Visit visit) {
  for (const DueOccurrence& waiting : due) {
    if (!unplaced.contains(waiting.job->sequence)) {
      continue;
    }
    const auto steps =
        static_cast<std::uint32_t>(waiting.job->spec.steps.size());
    for (std::uint32_t step = 0; step < steps; ++step) {
      if (!waiting.job->IsStepDone(waiting.occurrence, step) &&
          waiting.job->IsStepReady(waiting.occurrence, step)) {
        visit(Candidate{waiting.job, waiting.occurrence, step});
      }
    }
  }
}

std::uint32_t Scheduler::CountWaitingTasks(const Candidate& candidate) const {
  const jobs::Job& job = *candidate.job;
  const jobs::StepId step{job.id, candidate.occurrence, candidate.step};
  std::uint32_t tasks = 0;
  for (std::uint32_t index = 0; index < job.spec.steps[step.step].count;
       ++index) {
    const jobs::TaskId task{step, index};
    tasks += static_cast<std::uint32_t>(
        NeedsStart(job, task, this->tasks.Find(task)));
  }
  return tasks;
}

// Finds, at intervals, the workers that a precaution keeps from tasks that have
// no other place.
void Scheduler::ReviewStarvation(const std::vector<DueOccurrence>& due,
                                 const JobNumbers& unplaced,
                                 SteadyTime now) {
  if (!this->starvation.IsDue(now)) {
    return;
  }
  this->starvation.Begin(this->workers, now);
  if (this->starvation.HasKeptWorkers()) {
    VisitWaitingSteps(due, unplaced, [&](const Candidate& candidate) {
      const jobs::Job& job = *candidate.job;
      const jobs::StepSpec& spec = job.spec.steps[candidate.step];
      const PlacementRequest request{
          .job = &job,
          .task = {{job.id, candidate.occurrence, candidate.step}, 0}};
      if (this->starvation.IsCovered(request)) {
        return;
      }
      const bool is_within_quota = this->quotas.Allows(
          this->state.declaration().FindCustomer(job.customer), spec.need,
          spec.is_gang ? spec.count : 1);
      if (is_within_quota && !this->MayRunUnseen(job) &&
          this->CountWaitingTasks(candidate) > 0) {
        this->starvation.RecordStep(request, this->placement);
      }
    });
  }
  const std::set<WorkerId> before = this->starvation.needed();
  this->starvation.End();
  for (const WorkerId& worker : this->starvation.needed()) {
    if (!before.contains(worker)) {
      this->collected_events.AddText(
          "worker-needed", worker.value(), false,
          "a task that has no other place waits for it");
    }
  }
}

// Determines, at intervals, why the most urgent of the waiting steps have no
// place.
void Scheduler::ReviewWaiting(const std::vector<DueOccurrence>& due,
                              const JobNumbers& unplaced,
                              SteadyTime now) {
  if (!this->waiting_steps.IsDue(now)) {
    return;
  }
  this->waiting_steps.Begin(now);
  this->near_wait.DropFinished(this->state);
  VisitWaitingSteps(due, unplaced, [&](const Candidate& candidate) {
    if (this->waiting_steps.HasRoom()) {
      this->ReviewStep(candidate, now);
    }
  });
}

void Scheduler::ReviewStep(const Candidate& candidate, SteadyTime now) {
  const jobs::Job& job = *candidate.job;
  const jobs::StepId step{job.id, candidate.occurrence, candidate.step};
  const std::uint32_t tasks = this->CountWaitingTasks(candidate);
  if (tasks == 0) {
    return;
  }
  WaitingCause cause = FindWaitingCause(
      PlacementRequest{
          .job = &job, .task = {step, 0}, .advice = this->AdviceFor(job)},
      this->placement, this->workers, this->MayRunUnseen(job), now);
  const jobs::StepSpec& spec = job.spec.steps[step.step];
  if (!this->IsWithinQuota(job, spec.need, spec.is_gang ? spec.count : 1)) {
    cause.reason = WaitingReason::kQuota;
  }
  const ReviewFinding news = this->waiting_steps.RecordWait(step, tasks, cause);
  const std::string& label = job.spec.steps[step.step].required_label;
  if (news != ReviewFinding::kNone) {
    const bool is_alarm = news == ReviewFinding::kWaitsDespiteRoom;
    this->collected_events.AddText(
        is_alarm ? "feasible-not-placed" : "step-waits",
        std::string(NameOf(cause.reason)), is_alarm,
        StrCat(step.ToText(), ": ", tasks, " tasks",
               label.empty() ? "" : " that require ", label, "; ",
               cause.ToText()));
  }
}

// Starts as many tasks as possible of one occurrence of a job. Returns false if
// some task lacks only a place.
bool Scheduler::StartSteps(const DueOccurrence& due,
                           SteadyTime now,
                           SchedulerOutput& output) {
  const jobs::Job& job = *due.job;
  bool is_all_placed = true;
  for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
    if (job.IsStepDone(due.occurrence, step) ||
        !job.IsStepReady(due.occurrence, step)) {
      continue;
    }
    const Candidate candidate{due.job, due.occurrence, step, due.lateness};
    const bool is_placed = job.spec.steps[step].is_gang
                               ? this->StartGang(candidate, now, output)
                               : this->StartStep(candidate, now, output);
    is_all_placed = is_all_placed && is_placed;
  }
  return is_all_placed;
}

// Returns true if the task is not done and no run of it may exist.
bool Scheduler::NeedsStart(const jobs::Job& job,
                           const jobs::TaskId& task,
                           const TaskMemory* memory) {
  const bool is_unsettled = memory != nullptr && memory->is_unsettled();
  return !is_unsettled && !job.ProgressOf(task).is_done;
}

// Returns true if a task of the job may be running on a worker that has not
// answered this leader yet. This concerns jobs accepted under earlier leaders,
// and workers of the job's service or of a service that its queue had before.
bool Scheduler::MayRunUnseen(const jobs::Job& job) const {
  if (job.sequence >= this->first_own_sequence) {
    return false;
  }
  return this->services_with_unseen_runs.contains(job.service) ||
         std::any_of(job.former_services.begin(), job.former_services.end(),
                     [this](const ServiceName& service) {
                       return this->services_with_unseen_runs.contains(service);
                     });
}

// Returns the workers that could hold the task if they were idle, and when
// their tasks are expected to end.
std::vector<ReservableWorker> Scheduler::ListReservable(
    const PlacementRequest& request,
    SteadyTime now) const {
  std::vector<ReservableWorker> workers;
  for (const WorkerSession* session :
       this->placement.ListWorkersThatCouldHold(request)) {
    ReservableWorker worker{.id = session->worker().id,
                            .room = session->Room()};
    for (const auto& [key, run] : session->runs()) {
      const jobs::Job* job = this->state.FindJob(run.task.step.job);
      const jobs::StepSpec* step = this->state.FindStep(run.task);
      if (job == nullptr || step == nullptr || step->is_long_running) {
        continue;
      }
      const SteadyTime end =
          run.ordered_at + this->run_times.Expect(job->queue, *step);
      // A run that is late by some time is expected to take as long again.
      worker.ends.push_back(
          {.at = end < now ? now + (now - end) : end, .need = run.need});
    }
    workers.push_back(std::move(worker));
  }
  return workers;
}

// Handles a step that found no room: reserves a worker for it if smaller tasks
// have taken the room for some time. Jobs that are late or beyond their
// customer's share have no claim to a worker.
void Scheduler::ReserveIfPassedOver(const Candidate& candidate,
                                    SteadyTime now) {
  const jobs::Job& job = *candidate.job;
  const jobs::StepSpec& step = job.spec.steps[candidate.step];
  const PlacementRequest request{
      .job = &job, .task = {{job.id, candidate.occurrence, candidate.step}, 0}};
  const bool is_on = this->settings.reserves_workers ||
                     this->state.declaration().has_customers();
  if (!is_on || candidate.lateness != Lateness::kInTime ||
      job.is_beyond_share || this->PolicyOf(job) != nullptr) {
    return;
  }
  Reservations& reservations = this->placement.reservations();
  const bool is_due = reservations.RecordWait(
      job.service, request.task.step, Placement::CountedNeed(step),
      this->placement.WorkersOf(job.service).size(), now);
  if (!is_due ||
      !this->quotas.Allows(this->state.declaration().FindCustomer(job.customer),
                           step.need, 1)) {
    return;
  }
  const std::vector<ReservableWorker> workers =
      this->ListReservable(request, now);
  const ReservableWorker* reserved =
      reservations.Reserve(job.service, request.task.step, workers, now);
  if (reserved != nullptr) {
    this->collected_events.AddText(
        "worker-reserved", reserved->id.value(), false,
        StrCat(request.task.step.ToText(),
               " has found no room while smaller tasks were started"));
  }
}

// Starts the tasks of a step that have no run. Returns false if one of them
// found no place.
bool Scheduler::StartStep(const Candidate& candidate,
                          SteadyTime now,
                          SchedulerOutput& output) {
  const jobs::Job& job = *candidate.job;
  const jobs::StepSpec& step = job.spec.steps[candidate.step];
  jobs::TaskId task{{job.id, candidate.occurrence, candidate.step}, 0};
  const bool may_run_unseen = this->MayRunUnseen(job);
  // Room on a worker that is reserved for the step is not visible to others.
  const bool may_have_place =
      !may_run_unseen &&
      (this->placement.HasRoom(job.service, Placement::CountedNeed(step)) ||
       this->placement.reservations().HasReservation(task.step));
  bool is_all_placed = true;
  std::optional<DataCentreSpread> spread;
  for (task.index = 0; task.index < step.count; ++task.index) {
    if (!NeedsStart(job, task, this->tasks.Find(task))) {
      continue;
    }
    if (!may_have_place && !may_run_unseen) {
      this->ReserveIfPassedOver(candidate, now);
    }
    if (!may_have_place || !this->MayStart(candidate.lateness)) {
      return false;
    }
    if (!this->IsWithinQuota(job, step.need)) {
      return false;
    }
    const TrialDecision trial = this->DecideTrial(job, task, now);
    if (trial == TrialDecision::kLater) {
      is_all_placed = false;
      continue;
    }
    if (!spread) {
      spread = this->SpreadOf(task.step);
    }
    WorkerSession* session = this->ChooseWorker(
        job, task, trial != TrialDecision::kNone, spread ? &*spread : nullptr);
    if (session == nullptr) {
      // Tasks of one step have the same needs: if there is no room for one,
      // there is none for the others.
      this->ReserveIfPassedOver(candidate, now);
      this->AskForAdvice(candidate, task, now);
      return false;
    }
    if (this->ShouldWaitForDataLocality(job, task, session->worker(), now)) {
      return false;
    }
    const RunNumber run = this->NextRun(job, task);
    this->StartRunOn(*session, candidate, task, run, now, output);
    if (spread) {
      spread->Add(session->worker().data_centre);
    }
    if (trial == TrialDecision::kNow) {
      session->BeginTrial(*session->FindRun(task, run));
      this->placement.RecordTrial(job.service);
      this->collected_events.Add("run-on-trial", task, run,
                                 session->worker().id,
                                 "its worker crashed before");
    }
  }
  return is_all_placed;
}

// Decides whether a task's next start is a trial. A task that may crash its
// worker is tried on a worker of its own, so that a second crash identifies the
// task and affects few other runs. Members of a gang can only start together
// and are not tried.
Scheduler::TrialDecision Scheduler::DecideTrial(const jobs::Job& job,
                                                const jobs::TaskId& task,
                                                SteadyTime now) {
  const jobs::TaskCrashes* crashes = job.FindCrashes(task);
  if (crashes == nullptr || !crashes->IsSuspect()) {
    return TrialDecision::kNone;
  }
  TaskMemory& memory = this->tasks.GetOrCreate(task);
  const bool is_repeated = crashes->crashes.size() > 1;
  const bool is_paused = memory.crashed_at &&
                         now - *memory.crashed_at < this->settings.crash_pause;
  if (is_repeated && is_paused) {
    return TrialDecision::kLater;
  }
  const SteadyTime wanted_at = memory.trial_waiting_since.value_or(now);
  memory.trial_waiting_since = wanted_at;
  const bool has_waited =
      now - wanted_at >= (is_repeated ? this->settings.max_repeated_trial_wait
                                      : this->settings.max_trial_wait);
  if (this->placement.HasTrialCapacity(job.service) &&
      (is_repeated || !has_waited)) {
    return TrialDecision::kNow;
  }
  return has_waited ? TrialDecision::kApart : TrialDecision::kLater;
}

// Returns true if the task should wait for room near its data instead of
// starting on this worker, the best one with room.
bool Scheduler::ShouldWaitForDataLocality(const jobs::Job& job,
                                          const jobs::TaskId& task,
                                          const jobs::Worker& worker,
                                          SteadyTime now) {
  const jobs::StepSpec& step = job.spec.steps[task.step.step];
  // A long-running task has no run time that a far place could extend.
  if (step.is_long_running || Placement::IsNear(step, worker)) {
    return false;
  }
  // A run far from its data holds its room several times as long, so under load
  // each of them delays other tasks, too.
  return this->placement.CanRunNearData({.job = &job, .task = task}) &&
         this->near_wait.ShouldWait(
             task.step, this->run_times.Expect(job.queue, step),
             this->placement.IsHalfFree(job.service), now);
}

// Returns a worker for each member of a gang, all in `rack` if it is not empty;
// fewer if there is not enough room.
std::vector<WorkerSession*> Scheduler::PlaceGang(const Candidate& candidate,
                                                 const Rack& rack) {
  const jobs::StepSpec& step = candidate.job->spec.steps[candidate.step];
  std::vector<WorkerSession*> places;
  jobs::TaskId task{{candidate.job->id, candidate.occurrence, candidate.step},
                    0};
  std::optional<DataCentreSpread> spread = this->SpreadOf(task.step);
  for (; task.index < step.count; ++task.index) {
    WorkerSession* session = this->placement.Choose(
        PlacementRequest{.job = candidate.job,
                         .task = task,
                         .memory = this->tasks.Find(task),
                         .rack = rack,
                         .advice = this->AdviceFor(*candidate.job),
                         .spread = spread ? &*spread : nullptr});
    if (session == nullptr) {
      break;
    }
    if (spread) {
      spread->Add(session->worker().data_centre);
    }
    // Reserves the room while the other members are placed.
    session->AddRun(Run{.task = task, .need = Placement::CountedNeed(step)});
    places.push_back(session);
  }
  for (task.index = 0; task.index < places.size(); ++task.index) {
    places[task.index]->RemoveRun(task, RunNumber());
  }
  return places;
}

// Starts a gang as a whole or not at all, with one run number for all members.
// Returns false if it found no place.
bool Scheduler::StartGang(const Candidate& candidate,
                          SteadyTime now,
                          SchedulerOutput& output) {
  const jobs::Job& job = *candidate.job;
  const jobs::StepSpec& step = job.spec.steps[candidate.step];
  jobs::TaskId task{{job.id, candidate.occurrence, candidate.step}, 0};
  RunNumber run;
  for (task.index = 0; task.index < step.count; ++task.index) {
    if (!NeedsStart(job, task, this->tasks.Find(task))) {
      // The gang is running, or a member of its last run has not ended yet.
      return true;
    }
    run = std::max(run, this->NextRun(job, task));
  }
  if (!this->MayStart(candidate.lateness) || this->MayRunUnseen(job) ||
      !this->placement.HasRoom(job.service, Placement::CountedNeed(step))) {
    return false;
  }
  if (!this->IsWithinQuota(job, step.need, step.count)) {
    return false;
  }
  std::vector<WorkerSession*> places;
  if (step.wants_same_rack) {
    for (const Rack& rack : this->placement.RacksOf(candidate.job->service)) {
      if (places.size() < step.count) {
        places = this->PlaceGang(candidate, rack);
      }
    }
  }
  if (places.size() < step.count) {
    places = this->PlaceGang(candidate, Rack());
  }
  if (places.size() < step.count) {
    task.index = 0;
    this->AskForAdvice(candidate, task, now);
    return false;
  }
  for (task.index = 0; task.index < step.count; ++task.index) {
    this->StartRunOn(*places[task.index], candidate, task, run, now, output);
  }
  return true;
}

// Subtracts one start from what this planning pass may still order.
// NOTE: A gang starts as a whole and may use more starts than are left.
void Scheduler::ConsumeStart(Lateness lateness) {
  const auto take = [](std::size_t& left) {
    left -= std::min<std::size_t>(left, 1);
  };
  take(this->starts_left.all);
  if (lateness != Lateness::kInTime) {
    take(this->starts_left.late);
  }
}

void Scheduler::StartRunOn(WorkerSession& session,
                           const Candidate& candidate,
                           const jobs::TaskId& task,
                           RunNumber run,
                           SteadyTime now,
                           SchedulerOutput& output) {
  this->ConsumeStart(candidate.lateness);
  this->starts_ordered.Count(candidate.lateness);
  this->placement.reservations().RecordStart(
      candidate.job->service, task.step,
      Placement::CountedNeed(candidate.job->spec.steps[candidate.step]), now);
  const WorkerTime lease_end = session.GrantLease(now);
  const jobs::StepSpec& step = candidate.job->spec.steps[candidate.step];
  session.AddRun(
      Run{.task = task,
          .number = run,
          .need = Placement::CountedNeed(step),
          .quota = this->quotas.Reserve(candidate.job->customer, step.need),
          .is_serving = step.latency_target > Milliseconds(0),
          .is_filler = step.is_filler,
          .is_budgeted = step.has_disruption_budget,
          .ordered_at = now,
          .start_expires = lease_end,
          .percent_changed_at = now});
  TaskMemory& memory = this->tasks.GetOrCreate(task);
  memory.placed = {session.worker().id, run};
  ++memory.known_runs;
  memory.last_run = run;
  this->sharing.SetFirstPace(session, now);
  const std::string* ticket =
      this->AdviceFor(*candidate.job) == nullptr
          ? nullptr
          : this->advice.FindTicket(task.step, session.worker().id, now);
  output.orders.emplace_back(
      StartOrder{.worker = session.worker().id,
                 .address = session.worker().address,
                 .epoch = this->epoch,
                 .task = task,
                 .run = run,
                 .text = candidate.job->spec.text,
                 .lease_end = lease_end,
                 .checkpoint = this->CheckpointOf(task, step).checkpoint,
                 .ticket = ticket == nullptr ? std::string() : *ticket});
  this->collected_events.Add("run-ordered", task, run, session.worker().id, "");
}

ShareRequest Scheduler::ShareRequestOf(const QueueName& queue,
                                       const jobs::JobSpec& spec) const {
  // A task that never ends is counted with what it takes in its first second.
  constexpr Milliseconds kFirstSecond{1'000};
  constexpr double kMillicoreMilliseconds = 1e6;
  ShareRequest request;
  for (const jobs::StepSpec& step : spec.steps) {
    const jobs::Resources need = Placement::CountedNeed(step).Times(step.count);
    const Milliseconds takes = step.is_long_running
                                   ? kFirstSecond
                                   : this->run_times.Expect(queue, step);
    request.core_seconds += static_cast<double>(need.millicores) *
                            static_cast<double>(takes.count()) /
                            kMillicoreMilliseconds;
    request.need.millicores =
        std::max(request.need.millicores, need.millicores);
    request.need.memory_mb = std::max(request.need.memory_mb, need.memory_mb);
    request.need.accelerators =
        std::max(request.need.accelerators, need.accelerators);
  }
  return request;
}

jobs::Resources Scheduler::Capacity() const {
  jobs::Resources all;
  for (const auto& [id, session] : this->workers) {
    all.Add(session.worker().capacity);
  }
  return all;
}

RunNumber Scheduler::NextRun(const jobs::Job& job,
                             const jobs::TaskId& task) const {
  const TaskMemory* memory = this->tasks.Find(task);
  RunNumber last = job.ProgressOf(task).last_ended_run;
  if (memory != nullptr) {
    last = std::max(last, memory->last_run);
  }
  return std::max(last.Next(), FirstRunOf(this->epoch));
}

bool Scheduler::HasBegun(const jobs::Job& job) const {
  return job.has_begun || !job.occurrences.empty();
}

std::uint64_t Scheduler::CountPending(const QueueName& queue) const {
  std::uint64_t pending = 0;
  for (const auto& [sequence, job] : this->state.active_jobs()) {
    pending += static_cast<std::uint64_t>(job->queue == queue &&
                                          !this->HasBegun(*job));
  }
  return pending;
}

}  // namespace sumac::scheduler
