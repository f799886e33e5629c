// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/job_queries.h"

#include <array>
#include <functional>
#include <string_view>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/codec/json_writer.h"
#include "services/sumacd/data_centre_queries.h"

namespace sumac::daemon {
namespace {

// The maximum number of jobs in one answer, which must fit into one message.
constexpr std::size_t kMaxListedJobs = 500;

using Rows = nlohmann::json;

std::string_view StateOf(const JobSources& sources, const jobs::Job& job) {
  return !job.is_active()                  ? NameOf(job.state)
         : sources.scheduler.HasBegun(job) ? "running"
                                           : "queued";
}

Rows DescribeJob(const JobSources& sources, const jobs::Job& job) {
  std::uint64_t tasks_per_occurrence = 0;
  for (const jobs::StepSpec& step : job.spec.steps) {
    tasks_per_occurrence += step.count;
  }
  return {{"id", job.id.value()},
          {"queue", job.queue.value()},
          {"customer", job.customer.value()},
          {"service", job.service.value()},
          {"state", StateOf(sources, job)},
          {"reason", job.reason},
          {"steps", job.spec.steps.size()},
          {"tasks", tasks_per_occurrence * job.spec.occurrences()},
          {"done", job.CountAllDone()},
          {"accepted_at_ms", job.accepted_at.time_since_epoch().count()}};
}

// Describes every run of the job that the leader knows.
Rows DescribeRuns(const JobSources& sources, const JobId& job) {
  Rows rows = Rows::array();
  for (const auto& [worker, session] : sources.scheduler.sessions()) {
    for (const auto& [key, run] : session.runs()) {
      if (run.task.step.job == job) {
        rows.push_back({{"task", run.task.ToText()},
                        {"run", run.number.value()},
                        {"worker", worker.value()},
                        {"percent", run.percent}});
      }
    }
  }
  return rows;
}

// Describes the worker crashes while the job's tasks were running, as decisions
// about the job.
Rows DescribeCrashes(const jobs::Job& job) {
  Rows rows = Rows::array();
  for (const jobs::TaskCrashes& task : job.crashes) {
    for (const jobs::TaskCrash& crash : task.crashes) {
      const std::string name = task.task.ToText();
      const jobs::CrashedRun& run = crash.run;
      Rows inputs = Rows::array();
      inputs.push_back({{"name", "worker"}, {"value", crash.worker.value()}});
      inputs.push_back(
          {{"name", "run"}, {"value", std::to_string(run.run.value())}});
      inputs.push_back({{"name", "survived-ms"},
                        {"value", std::to_string(run.survived.count())}});
      inputs.push_back(
          {{"name", "has-begun"}, {"value", run.has_begun ? "true" : "false"}});
      inputs.push_back({{"name", "may-have-ended"},
                        {"value", run.may_have_ended ? "true" : "false"}});
      inputs.push_back({{"name", "is-only-suspect"},
                        {"value", run.is_only_suspect ? "true" : "false"}});
      rows.push_back(
          {{"id", StrCat(name, "#", run.run.value())},
           {"at", crash.at.time_since_epoch().count()},
           {"sentence", StrCat("worker ", crash.worker.value(),
                               " crashed under task ", name)},
           {"subject_kind", "task"},
           {"subject", name},
           {"outcome", run.IsBystander() ? "not counted" : "counted"},
           {"rule", "worker-crash"},
           {"inputs", std::move(inputs)}});
    }
  }
  return rows;
}

// Lists the decisions about a job: the crashes that were recorded, and its end.
fleet::Answer ShowWhyJob(const JobSources& sources, const std::string& name) {
  const jobs::Job* job = sources.state.FindJob(JobId(name));
  if (job == nullptr) {
    return {.code = ResultCode::kUnknownName,
            .message = StrCat("no job ", name, " is known")};
  }
  Rows rows = DescribeCrashes(*job);
  if (!job->is_active()) {
    rows.push_back({{"id", name},
                    {"at", job->finished_at.time_since_epoch().count()},
                    {"sentence", job->reason},
                    {"subject_kind", "job"},
                    {"subject", name},
                    {"outcome", NameOf(job->state)},
                    {"rule", "job-finished"}});
  }
  return {.document = std::move(rows)};
}

// Returns a readable text about the worker crashes while a step's tasks were
// running.
std::string DescribeStepCrashes(const JobSources& sources,
                                const jobs::StepId& step) {
  const jobs::Job* job = sources.state.FindJob(step.job);
  std::string text;
  if (job == nullptr) {
    return text;
  }
  for (const jobs::TaskCrashes& task : job->crashes) {
    if (task.task.step == step) {
      StrAppend(&text, text.empty() ? "" : "; ", task.task.ToText(), ": ",
                task.ToText());
    }
  }
  return text;
}

fleet::Answer ShowJobs(const JobSources& sources, const std::string& name) {
  if (!name.empty()) {
    const jobs::Job* job = sources.state.FindJob(JobId(name));
    if (job == nullptr) {
      return {.code = ResultCode::kUnknownName,
              .message = StrCat("no job ", name, " is known")};
    }
    Rows document = DescribeJob(sources, *job);
    document["spec"] = ToJson(job->spec);
    document["runs"] = DescribeRuns(sources, job->id);
    document["crashes"] = DescribeCrashes(*job);
    return {.document = std::move(document)};
  }
  Rows rows = Rows::array();
  for (const auto& [sequence, job] : sources.state.active_jobs()) {
    if (rows.size() < kMaxListedJobs) {
      rows.push_back(DescribeJob(sources, *job));
    }
  }
  const std::size_t active = sources.state.active_jobs().size();
  return {.message = active > rows.size()
                         ? StrCat("the first ", rows.size(), " of ", active)
                         : "",
          .document = std::move(rows)};
}

Rows DescribeWorker(const scheduler::Scheduler& scheduler,
                    const scheduler::WorkerSession& session,
                    SteadyTime now) {
  const jobs::Worker& worker = session.worker();
  return {
      {"id", worker.id.value()},
      {"instance", worker.instance.value()},
      {"service", worker.service.value()},
      {"data_centre", worker.data_centre.value()},
      {"rack", worker.rack.value()},
      {"runs", session.runs().size()},
      {"free_millicores", session.Room().millicores},
      {"state", worker.is_draining                              ? "draining"
                : !session.is_answering()                       ? "silent"
                : scheduler.IsWorkerQuarantined(worker.id, now) ? "set-aside"
                                                                : "ready"},
      {"silent_ms", (now - session.last_answer).count()}};
}

fleet::Answer ShowWorkers(const JobSources& sources,
                          const std::string& name,
                          SteadyTime now) {
  Rows rows = Rows::array();
  for (const auto& [id, session] : sources.scheduler.sessions()) {
    if (name.empty() || name == id.value()) {
      rows.push_back(DescribeWorker(sources.scheduler, session, now));
    }
  }
  if (!name.empty() && rows.empty()) {
    return {.code = ResultCode::kUnknownName,
            .message = StrCat("no worker ", name, " is known")};
  }
  return {.document = std::move(rows)};
}

fleet::Answer ShowWaves(const JobSources& sources) {
  Rows rows = Rows::array();
  for (const auto& [id, wave] : sources.state.waves()) {
    std::uint64_t over = 0;
    for (const auto& [name, instance] : wave.instances) {
      over += static_cast<std::uint64_t>(instance.state ==
                                         jobs::MaintenanceState::kOver);
    }
    rows.push_back({{"id", id.value()},
                    {"instances", wave.instances.size()},
                    {"over", over},
                    {"down", wave.CountDown()},
                    {"most_at_once", wave.most_at_once},
                    {"state", wave.is_done() ? "done" : "running"}});
  }
  return {.document = std::move(rows)};
}

fleet::Answer ShowQueues(const JobSources& sources) {
  Rows rows = Rows::array();
  for (const jobs::QueueDeclaration& queue :
       sources.state.declaration().queues()) {
    rows.push_back({{"name", queue.name.value()},
                    {"service", queue.service.value()},
                    {"priority", queue.priority},
                    {"pending", sources.scheduler.CountPending(queue.name)},
                    {"has_policy", queue.placement_policy.has_value()}});
  }
  return {.document = std::move(rows)};
}

// Lists the waiting steps of one job or of all jobs, with the causes found by
// the last review.
fleet::Answer ShowWaiting(const JobSources& sources,
                          const std::string& name,
                          SteadyTime now) {
  Rows rows = Rows::array();
  for (const auto& [step, waiting] :
       sources.scheduler.waiting_table().steps()) {
    if (!name.empty() && step.job.value() != name) {
      continue;
    }
    const scheduler::WaitingCause& cause = waiting.cause;
    rows.push_back({{"step", step.ToText()},
                    {"tasks", waiting.tasks},
                    {"reason", NameOf(cause.reason)},
                    {"since_ms", (now - waiting.since).count()},
                    {"workers", cause.workers},
                    {"without_label", cause.without_label},
                    {"too_small", cause.too_small},
                    {"at_limit", cause.at_limit},
                    {"without_room", cause.without_room},
                    {"not_admitted", cause.not_admitted},
                    {"places", cause.places},
                    {"is_feasible", cause.is_feasible},
                    {"crashes", DescribeStepCrashes(sources, step)}});
  }
  return {.document = std::move(rows)};
}

fleet::Answer ShowPools(const JobSources& sources) {
  std::map<ServiceName, std::pair<std::size_t, std::size_t>> counts;
  for (const auto& [id, session] : sources.scheduler.sessions()) {
    auto& [workers, runs] = counts[session.worker().service];
    ++workers;
    runs += session.runs().size();
  }
  Rows rows = Rows::array();
  for (const auto& [name, service] : sources.state.declaration().services()) {
    const auto& [workers, runs] = counts[name];
    rows.push_back({{"name", name.value()},
                    {"is_headroom", service.is_headroom},
                    {"workers", workers},
                    {"runs", runs}});
  }
  return {.document = std::move(rows)};
}

Rows DescribeResources(const jobs::Resources& resources) {
  return {{"millicores", resources.millicores},
          {"memory_mb", resources.memory_mb},
          {"accelerators", resources.accelerators}};
}

// Lists the declared customers, or the one named: what they may use, what their
// runs use, and how many jobs of theirs are active.
fleet::Answer ShowCustomers(const JobSources& sources,
                            const std::string& name) {
  std::map<CustomerName, std::size_t> active;
  for (const auto& [sequence, job] : sources.state.active_jobs()) {
    ++active[job->customer];
  }
  const scheduler::QuotaLedger& ledger = sources.scheduler.quota_ledger();
  Rows rows = Rows::array();
  for (const auto& [customer, declared] :
       sources.state.declaration().customers()) {
    if (!name.empty() && customer.value() != name) {
      continue;
    }
    rows.push_back(
        {{"name", customer.value()},
         {"keys", declared.keys.size()},
         {"weight", declared.weight},
         {"quota", DescribeResources(declared.quota)},
         {"used", DescribeResources(ledger.UsedBy(customer))},
         {"unseen", DescribeResources(ledger.UnseenOf(customer))},
         {"is_held_by_quota", sources.scheduler.IsHeldByQuota(customer)},
         {"active_jobs", active[customer]}});
  }
  if (!name.empty() && rows.empty()) {
    return {.code = ResultCode::kUnknownName,
            .message = StrCat("no customer ", name, " is declared")};
  }
  return {.document = std::move(rows)};
}

fleet::Answer ShowControllers(const JobSources& sources) {
  const replication::Membership& members = sources.replica.membership();
  Rows rows = Rows::array();
  const auto add = [&](const replication::NodeId& node, const char* kind) {
    rows.push_back(
        {{"node", node.value()},
         {"kind", kind},
         {"leads", node == sources.replica.self()},
         {"silent_ms", sources.replica.silence().SilenceOf(node).count()}});
  };
  for (const replication::NodeId& voter : members.AllVoters()) {
    add(voter, "voter");
  }
  for (const replication::NodeId& learner : members.learners) {
    add(learner, "learner");
  }
  return {.document = std::move(rows)};
}

}  // namespace

fleet::Answer AnswerQuery(const JobSources& sources,
                          const std::string& kind,
                          const std::string& name,
                          SteadyTime now) {
  if (kind == "jobs") {
    return ShowJobs(sources, name);
  }
  if (kind == "why-job") {
    return ShowWhyJob(sources, name);
  }
  if (kind == "workers") {
    return ShowWorkers(sources, name, now);
  }
  if (kind == "waiting") {
    return ShowWaiting(sources, name, now);
  }
  if (kind == "waves") {
    return ShowWaves(sources);
  }
  if (kind == "queues") {
    return ShowQueues(sources);
  }
  if (kind == "customers") {
    return ShowCustomers(sources, name);
  }
  if (kind == "pools") {
    return ShowPools(sources);
  }
  if (kind == "data-centres") {
    return ShowDataCentres(sources.state, sources.scheduler,
                           sources.data_centres, name);
  }
  if (kind == "controllers") {
    return ShowControllers(sources);
  }
  return {.code = ResultCode::kBadArgument,
          .message = StrCat("found kind ", kind,
                            ", allowed: jobs, workers, waiting, waves, queues, "
                            "pools, customers, data-centres or controllers")};
}

}  // namespace sumac::daemon
