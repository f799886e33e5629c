// SPDX-License-Identifier: Apache-2.0
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/text.h"
#include "libraries/base/verify.h"
#include "libraries/codec/json_writer.h"
#include "libraries/fleet/budget.h"
#include "libraries/fleet/fleet_machine.h"

namespace sumac::fleet {
namespace {

// A job that failed on this many good workers is at fault itself.
constexpr std::size_t kFaultyJobFailures = 3;
// A worker on which this many different jobs failed in a row is at fault
// itself.
constexpr std::size_t kFaultyWorkerFailures = 3;

Decision DecisionAbout(const Job& job, std::string rule) {
  return Decision{.subject_kind = SubjectKind::kJob,
                  .subject = job.spec.id.value(),
                  .pool = job.spec.pool,
                  .rule = std::move(rule)};
}

// Refuses a job that no worker of its pool could ever run.
Answer RefuseJob(FleetState& state, const Job& job) {
  const WorkerIndex& workers = state.WorkersOf(job.spec.pool);
  const Resources need = Resources::Of(job.spec);
  Decision decision = DecisionAbout(job, "no-worker-could-ever-run-it");
  decision.outcome = "refused";
  decision.inputs.push_back(DecisionInput{"need", need.ToString()});
  decision.inputs.push_back(
      DecisionInput{"workers in pool", StrCat(workers.size())});
  decision.sentence = StrCat(
      "The job ", job.spec.id.value(), " can never run in the pool ",
      job.spec.pool.value(), ": ", workers.DescribeNearestMiss(need), ".");
  std::string sentence = decision.sentence;
  return Answer{ResultCode::kNeverRunnable,
                std::move(sentence),
                state.AddDecision(std::move(decision)),
                {}};
}

absl::Status CheckSpec(const FleetState& state, const JobSpec& spec) {
  if (spec.id.value().empty()) {
    return MakeError(ResultCode::kBadArgument, "a job needs an id");
  }
  if (state.FindJob(spec.id) != nullptr) {
    return MakeError(ResultCode::kDuplicateName,
                     StrCat("there is a job ", spec.id.value(), " already"));
  }
  const Declaration& declaration = state.record().declaration;
  if (declaration.FindPool(spec.pool) == nullptr) {
    return MakeError(ResultCode::kUnknownName,
                     StrCat("no pool ", spec.pool.value(), " is declared"));
  }
  if (!spec.team.value().empty() &&
      declaration.FindTeam(spec.team) == nullptr) {
    return MakeError(ResultCode::kUnknownName,
                     StrCat("no team ", spec.team.value(), " is declared"));
  }
  return absl::OkStatus();
}

// Ends a job's hold on its worker because the lease ran out.
void ExpireLease(FleetState& state, Job job) {
  // NOTE: A non-repeatable job that may have started is never placed again by
  // itself.
  const bool is_repeatable = job.spec.repeatable;
  Decision decision =
      DecisionAbout(job, is_repeatable ? "lease-ran-out" : "may-have-run");
  decision.inputs.push_back(DecisionInput{"worker", job.worker.value()});
  decision.inputs.push_back(DecisionInput{"token", StrCat(job.token.value())});
  const InstanceName worker = job.worker;
  VERIFY(state
             .FireJobEvent(job, is_repeatable ? JobEvent::kLeaseLost
                                              : JobEvent::kLeaseLostForGood)
             .ok());
  decision.outcome = std::string(NameOf(job.state));
  decision.sentence = StrCat(
      "The lease of ", job.spec.id.value(), " on ", worker.value(),
      " ran out without a renewal. ",
      is_repeatable
          ? "It may be placed again with a higher token."
          : "It must not run twice and may have run, so an operator has to "
            "decide: look at "
            "what it did, then cancel it or submit it anew under another id.");
  job.detail = decision.sentence;
  state.PutJob(std::move(job));
  state.AddDecision(std::move(decision));
}

// Sets a worker aside on which different jobs failed one after the other, if
// the budget allows, and takes its failures off the jobs' accounts.
void QuarantineIfFaulty(FleetState& state, const InstanceName& worker_name) {
  const Instance* worker = state.FindInstance(worker_name);
  if (worker == nullptr || worker->failed_jobs.size() < kFaultyWorkerFailures) {
    return;
  }
  Instance instance = *worker;
  Decision decision{.subject_kind = SubjectKind::kInstance,
                    .subject = worker_name.value(),
                    .pool = instance.pool,
                    .rule = "different-jobs-failed-here"};
  decision.inputs.push_back(DecisionInput{"different jobs failed in a row",
                                          StrCat(instance.failed_jobs.size())});
  const Pool* pool = state.record().declaration.FindPool(instance.pool);
  if (pool != nullptr && state.InstanceHasTag(instance, "counts")) {
    const BudgetLine line = WholePoolLine(state, *pool);
    decision.inputs.push_back(DecisionInput{"budget of pool", ToString(line)});
    if (line.available < line.needed + 1) {
      decision.outcome = "kept";
      decision.sentence =
          StrCat(worker_name.value(),
                 " fails different jobs but is kept, "
                 "since the pool ",
                 instance.pool.value(), " has ", ToString(line), ".");
      state.AddDecision(std::move(decision));
      return;
    }
  }
  if (!state.FireInstanceEvent(instance, InstanceEvent::kQuarantine).ok()) {
    return;
  }
  for (const JobId& id : instance.failed_jobs) {
    if (const Job* job = state.FindJob(id)) {
      Job cleared_job = *job;
      cleared_job.failed_on.erase(worker_name);
      state.PutJob(std::move(cleared_job));
    }
  }
  decision.outcome = "quarantined";
  decision.sentence = StrCat(
      worker_name.value(), " was quarantined: ", instance.failed_jobs.size(),
      " different jobs failed on it with none succeeding between.");
  state.PutInstance(std::move(instance));
  state.AddDecision(std::move(decision));
}

void RecordFailureOnWorker(FleetState& state,
                           const InstanceName& worker_name,
                           const JobId& job) {
  if (const Instance* worker = state.FindInstance(worker_name)) {
    Instance instance = *worker;
    instance.failed_jobs.insert(job);
    state.PutInstance(std::move(instance));
    QuarantineIfFaulty(state, worker_name);
  }
}

void RecordSuccessOnWorker(FleetState& state, const InstanceName& worker_name) {
  const Instance* worker = state.FindInstance(worker_name);
  if (worker != nullptr && !worker->failed_jobs.empty()) {
    Instance instance = *worker;
    instance.failed_jobs.clear();
    state.PutInstance(std::move(instance));
  }
}

// The step that a worker's report of a failed task means for the job.
JobEvent EventForFailure(const Job& job) {
  const bool has_attempts_left = job.failed_on.size() < kFaultyJobFailures;
  return job.spec.repeatable && has_attempts_left ? JobEvent::kFail
                                                  : JobEvent::kGiveUp;
}

void ApplyTaskReport(FleetState& state,
                     const InstanceName& worker,
                     const TaskReport& report) {
  const Job* known = state.FindJob(report.job);
  if (known == nullptr || known->worker != worker ||
      known->token != report.token) {
    return;
  }
  Job job = *known;
  job.detail = report.detail;
  bool is_applied = false;
  switch (report.state) {
    case TaskState::kRunning:
      is_applied = state.FireJobEvent(job, JobEvent::kStarted).ok();
      break;
    case TaskState::kFinished:
      is_applied = state.FireJobEvent(job, JobEvent::kFinish).ok();
      break;
    case TaskState::kStopped:
      is_applied = state.FireJobEvent(job, JobEvent::kStopped).ok();
      break;
    case TaskState::kFailed:
      job.failed_on.insert(worker);
      is_applied = state.FireJobEvent(job, EventForFailure(job)).ok();
      break;
  }
  if (!is_applied) {
    return;
  }
  if (report.state == TaskState::kFailed) {
    Decision decision = DecisionAbout(job, "task-failed");
    decision.outcome = std::string(NameOf(job.state));
    decision.inputs.push_back(DecisionInput{"worker", worker.value()});
    decision.inputs.push_back(DecisionInput{"good workers it failed on",
                                            StrCat(job.failed_on.size())});
    decision.sentence =
        StrCat("The job ", job.spec.id.value(), " failed on ", worker.value(),
               " (", report.detail, ") and is now ", NameOf(job.state), ".");
    state.AddDecision(std::move(decision));
  }
  state.PutJob(std::move(job));
  if (report.state == TaskState::kFailed) {
    RecordFailureOnWorker(state, worker, report.job);
  } else if (report.state == TaskState::kFinished) {
    RecordSuccessOnWorker(state, worker);
  }
}

// Why a placement that the leader proposed does not hold on the committed
// state; empty if it does.
std::string CheckPlacement(const FleetState& state,
                           const Job& job,
                           const Instance& worker) {
  if (job.state != JobState::kQueued) {
    return "the job is not queued";
  }
  if (worker.pool != job.spec.pool) {
    return "the worker is in another pool";
  }
  if (!state.InstanceHasTag(worker, "can_take_work")) {
    return StrCat("the worker is ", NameOf(worker.state));
  }
  Resources free = Resources::Of(worker.target);
  for (const JobId& id : state.JobsOn(worker.target.name)) {
    free -= Resources::Of(state.FindJob(id)->spec);
  }
  if (!free.Covers(Resources::Of(job.spec))) {
    return StrCat("the worker has only ", free.ToString(), " free");
  }
  return "";
}

void ApplyPlacement(FleetState& state, const Placement& placement) {
  const Job* known = state.FindJob(placement.job);
  const Instance* worker = state.FindInstance(placement.worker);
  if (known == nullptr || worker == nullptr ||
      !CheckPlacement(state, *known, *worker).empty()) {
    return;
  }
  Job job = *known;
  VERIFY(state.FireJobEvent(job, JobEvent::kPlace).ok());
  job.worker = placement.worker;
  job.token = job.token.Next();
  Decision decision = DecisionAbout(job, placement.rule);
  decision.outcome = "placed";
  decision.inputs.push_back(
      DecisionInput{"need", Resources::Of(job.spec).ToString()});
  decision.inputs.push_back(
      DecisionInput{"waited", "", state.record().now - job.submitted_at});
  decision.inputs.push_back(DecisionInput{"token", StrCat(job.token.value())});
  for (const std::string& rejected : placement.rejected) {
    const std::size_t colon = rejected.find(": ");
    decision.alternatives.push_back(
        Alternative{rejected.substr(0, colon),
                    colon == rejected.npos ? "" : rejected.substr(colon + 2)});
  }
  decision.sentence = StrCat("The job ", job.spec.id.value(), " was placed on ",
                             placement.worker.value(), " under token ",
                             job.token.value(), ": the tightest worker of ",
                             job.spec.pool.value(), " with room for it.");
  state.PutJob(std::move(job));
  state.AddDecision(std::move(decision));
}

}  // namespace

Answer Apply(FleetState& state, const SubmitJob& command) {
  TRY_OR_ANSWER(CheckSpec(state, command.job));
  Job job{.spec = command.job,
          .state_since = state.record().now,
          .submitted_at = state.record().now};
  if (!state.WorkersOf(job.spec.pool).CouldEverFit(Resources::Of(job.spec))) {
    return RefuseJob(state, job);
  }
  const std::string id = job.spec.id.value();
  state.PutJob(std::move(job));
  Answer answer = Answer::Success(StrCat("The job ", id, " is queued."));
  answer.document = {{"job", id}};
  return answer;
}

Answer Apply(FleetState& state, const CancelJob& command) {
  const absl::StatusOr<const Job*> found = state.GetJob(command.job);
  if (!found.ok()) {
    return Answer::FromStatus(found.status());
  }
  Job job = **found;
  TRY_OR_ANSWER(state.FireJobEvent(job, JobEvent::kCancel));
  Decision decision = DecisionAbout(job, "cancel-asked");
  decision.outcome = std::string(NameOf(job.state));
  decision.sentence =
      StrCat("The job ", job.spec.id.value(), " is ", NameOf(job.state),
             " for ", command.identity.operator_name, ".");
  Answer answer = Answer::Success(decision.sentence);
  state.PutJob(std::move(job));
  answer.decision = state.AddDecision(std::move(decision));
  return answer;
}

Answer Apply(FleetState& state, const PlaceJobs& command) {
  for (const Placement& placement : command.placements) {
    ApplyPlacement(state, placement);
  }
  return Answer::Success("placed");
}

Answer Apply(FleetState& state, const RecordTasks& command) {
  for (const TaskReport& report : command.reports) {
    ApplyTaskReport(state, command.worker, report);
  }
  return Answer::Success("recorded");
}

Answer Apply(FleetState& state, const ExpireLeases& command) {
  for (const ExpireLeases::Item& item : command.items) {
    const Job* job = state.FindJob(item.job);
    if (job != nullptr && job->token == item.token &&
        state.JobHasTag(*job, "leased")) {
      ExpireLease(state, *job);
    }
  }
  return Answer::Success("recorded");
}

void RefuseImpossibleJobs(FleetState& state, const PoolName& pool) {
  std::vector<JobId> impossible;
  for (const auto& [key, id] : state.queued_jobs()) {
    const Job* job = state.FindJob(id);
    if (job->spec.pool == pool &&
        !state.WorkersOf(pool).CouldEverFit(Resources::Of(job->spec))) {
      impossible.push_back(id);
    }
  }
  for (const JobId& id : impossible) {
    Job job = *state.FindJob(id);
    const Answer refusal = RefuseJob(state, job);
    VERIFY(state.FireJobEvent(job, JobEvent::kRefuse).ok());
    job.detail = refusal.message;
    state.PutJob(std::move(job));
  }
}

}  // namespace sumac::fleet
