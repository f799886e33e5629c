// SPDX-License-Identifier: Apache-2.0
#include "benchmarks/scheduler_load.h"

#include <algorithm>
#include <array>
#include <utility>

#include "libraries/base/text.h"

namespace sumac::benchmarks {
namespace {

constexpr int kServices = 5;
constexpr Milliseconds kIterationTime{20};
constexpr int kSettlingIterations = 150;
constexpr int kMeasuredIterations = 400;
constexpr double kIterationSeconds =
    0.001 * static_cast<double>(kIterationTime.count());
// Starts and moves for each worker and second.
constexpr double kStartsPerWorkerSecond = 0.75;
constexpr double kMovesPerWorkerSecond = 0.12;
// The number of workers for each waiting job and for each long-running job.
constexpr std::size_t kWorkersPerWaitingJob = 4;
constexpr int kWorkersPerLastingJob = 12;
constexpr Milliseconds kReportInterval{600};
constexpr Milliseconds kShortestRun{700};
constexpr Milliseconds kLongestRun{1'300};
constexpr int kRefusedPercent = 10;

QueueName QueueOf(int service) {
  return QueueName(StrCat("queue-", service));
}

ServiceName ServiceOf(int service) {
  return ServiceName(StrCat("service-", service));
}

// Returns the reported progress of a run that ends at `ends_at`. A long-running
// run, which has no end, reports 100 percent.
std::uint32_t PercentOf(SteadyTime ends_at, SteadyTime now) {
  constexpr std::int64_t kWhole = 100;
  const std::int64_t left =
      ends_at == SteadyTime::max()
          ? 0
          : kWhole * (ends_at - now).count() / kLongestRun.count();
  return static_cast<std::uint32_t>(kWhole - std::min(left, kWhole));
}

jobs::JobsDeclaration Declared() {
  std::vector<jobs::QueueDeclaration> queues;
  std::vector<jobs::ServiceDeclaration> services;
  for (int service = 0; service < kServices; ++service) {
    queues.push_back({.name = QueueOf(service),
                      .host = "h",
                      .path_prefix = StrCat("/", service, "/"),
                      .service = ServiceOf(service),
                      .priority = static_cast<std::uint32_t>(service % 2),
                      .most_attempts = 3,
                      .stretch = 1.6,
                      .latency_target = Milliseconds(600)});
    services.push_back({.name = ServiceOf(service)});
  }
  return jobs::JobsDeclaration(1, std::move(queues), std::move(services));
}

}  // namespace

SchedulerLoad::SchedulerLoad(int workers)
    : size(static_cast<std::size_t>(workers)),
      state([](std::string_view /*document*/) { return Declared(); }) {
  this->Commit(jobs::Declare{1, "document"});
  this->Commit(jobs::BeginEpoch{});
  this->scheduler.emplace(this->state, scheduler::SchedulerSettings(),
                          this->clock.SteadyNow());
  for (int number = 0; number < workers; ++number) {
    this->AddTarget(number);
  }
  for (int number = 0; number < workers; number += kWorkersPerLastingJob) {
    this->SubmitLastingJob(number / kWorkersPerLastingJob);
  }
}

std::string SchedulerLoad::DrawName() {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string name;
  std::uint64_t drawn = this->random();
  for (int digit = 0; digit < 16; ++digit, drawn >>= 4) {
    name += kDigits[drawn & 15];
  }
  return name;
}

void SchedulerLoad::Commit(jobs::Command command) {
  const std::set<WorkerId> changed = this->state.FindAffectedWorkers(command);
  this->state.Apply({this->clock.Now(), std::move(command)});
  if (this->scheduler && !changed.empty()) {
    this->meters->move.Measure([&] {
      this->scheduler->SyncWorkers(changed, this->clock.SteadyNow());
    });
  }
}

void SchedulerLoad::AddTarget(int number) {
  const std::string name = this->DrawName();
  const Rack rack(StrCat("rack-", number / 20));
  jobs::Worker worker{
      .id = WorkerId(name),
      .name = WorkerName(name),
      .instance = InstanceName(StrCat("instance-", number)),
      .service = ServiceOf(number % kServices),
      .address = StrCat("10.0.", number / 250, ".", number % 250, ":7000"),
      .capacity = {.millicores = 16'000, .memory_mb = 65'536},
      .rack = rack,
      .labels = {"a", rack.value()},
      .sequence = 1};
  const SteadyTime now = this->clock.SteadyNow();
  std::uniform_int_distribution<std::int64_t> delay(0, kReportInterval.count());
  this->targets[worker.id] =
      Target{.worker = worker,
             .report_due = now + Milliseconds(delay(this->random)),
             .began_at = now};
  this->by_age.push_back(worker.id);
  this->Commit(jobs::RecordWorker{std::move(worker)});
}

// Moves an instance: removes the oldest worker, and adds a new incarnation of
// it on the same instance.
void SchedulerLoad::MoveTarget() {
  const WorkerId oldest = this->by_age.front();
  this->by_age.pop_front();
  const std::string& instance =
      this->targets.at(oldest).worker.instance.value();
  int number = 0;
  ParseNumber(std::string_view(instance).substr(instance.find('-') + 1),
              &number);
  this->targets.erase(oldest);
  this->Commit(jobs::ForgetWorker{oldest, true});
  this->AddTarget(number);
}

void SchedulerLoad::SubmitLastingJob(int number) {
  jobs::StepSpec step{.count = 24,
                      .need = {.millicores = 2'400, .memory_mb = 8'000},
                      .estimate = Milliseconds(700),
                      .most_per_worker = 1,
                      .is_long_running = true,
                      .has_disruption_budget = true,
                      .disruption_budget = 1};
  this->Commit(jobs::SubmitJob{
      JobId(this->DrawName()), QueueOf(number % kServices),
      jobs::JobSpec{.text = std::string(150, 't'), .steps = {step}}});
}

void SchedulerLoad::SubmitShortJob() {
  std::uniform_int_distribution<int> width(2, 14);
  std::uniform_int_distribution<std::int64_t> need(1'000, 5'000);
  std::uniform_int_distribution<int> pick(0, kServices - 1);
  jobs::JobSpec spec{.text = std::string(500, 't')};
  const std::uint32_t steps = 1 + static_cast<std::uint32_t>(pick(random) < 3);
  for (std::uint32_t number = 0; number < steps; ++number) {
    jobs::StepSpec step{
        .count = static_cast<std::uint32_t>(width(this->random)),
        .need = {.millicores = need(this->random), .memory_mb = 2'000},
        .estimate = Milliseconds(1'000)};
    if (number > 0) {
      step.after = {number - 1};
    }
    spec.steps.push_back(std::move(step));
  }
  this->Commit(jobs::SubmitJob{JobId(this->DrawName()),
                               QueueOf(pick(this->random)), std::move(spec)});
}

scheduler::WorkerTime SchedulerLoad::ClockOf(const Target& target) const {
  return scheduler::WorkerTime(
      (this->clock.SteadyNow() - target.began_at).count() + 1);
}

void SchedulerLoad::AddToFingerprint(std::string_view text) {
  for (const char letter : text) {
    this->fingerprint ^= static_cast<unsigned char>(letter);
    this->fingerprint *= 1'099'511'628'211U;
  }
}

void SchedulerLoad::Run() {
  for (int iteration = 0; iteration < kSettlingIterations; ++iteration) {
    this->RunIteration();
  }
  this->meters.emplace(this->instructions);
  this->start_count = 0;
  this->waiting_sum = 0;
  for (int iteration = 0; iteration < kMeasuredIterations; ++iteration) {
    this->RunIteration();
  }
}

void SchedulerLoad::RunIteration() {
  this->clock.Advance(kIterationTime);
  const auto workers = static_cast<double>(this->size);
  for (this->moves_due += kMovesPerWorkerSecond * workers * kIterationSeconds;
       this->moves_due >= 1; this->moves_due -= 1) {
    this->MoveTarget();
  }
  const std::size_t wanted =
      std::max<std::size_t>(this->size / kWorkersPerWaitingJob, 4);
  for (std::size_t waiting = this->scheduler->waiting_count(); waiting < wanted;
       ++waiting) {
    this->SubmitShortJob();
  }
  for (auto& [id, target] : this->targets) {
    this->EndRuns(target);
    if (this->clock.SteadyNow() >= target.report_due) {
      this->Report(target);
    }
  }
  this->RunPlanningPass();
}

void SchedulerLoad::EndRuns(Target& target) {
  const SteadyTime now = this->clock.SteadyNow();
  const std::size_t before = target.ended.size();
  for (auto run = target.running.begin(); run != target.running.end();) {
    if (run->second > now) {
      ++run;
      continue;
    }
    target.ended.push_back({.number = ++target.end_count,
                            .task = run->first.first,
                            .run = run->first.second});
    run = target.running.erase(run);
  }
  // A worker reports an end at once.
  if (target.ended.size() > before) {
    target.report_due = now;
  }
}

void SchedulerLoad::Report(Target& target) {
  const SteadyTime now = this->clock.SteadyNow();
  target.report_due = now + kReportInterval;
  const auto renewal = this->meters->renewal.Measure(
      [&] { return this->scheduler->NextRenewal(target.worker.id, now); });
  std::erase_if(target.ended, [&](const scheduler::EndReport& end) {
    return renewal && end.number <= renewal->acknowledged_ends;
  });
  scheduler::RenewReport report{.clock = this->ClockOf(target),
                                .ended = target.ended};
  for (const auto& [key, ends_at] : target.running) {
    report.running.push_back({.task = key.first,
                              .run = key.second,
                              .percent = PercentOf(ends_at, now)});
  }
  const scheduler::EndsToRecord ends = this->meters->report.Measure([&] {
    return this->scheduler->HandleReport(target.worker.id, report, now);
  });
  if (ends.up_to > 0) {
    this->Commit(jobs::RecordEnds{ends.ends});
    this->scheduler->HandleEndsCommitted(target.worker.id, ends);
  }
}

void SchedulerLoad::RunPlanningPass() {
  this->starts_due = std::min(this->starts_due, 1.0) +
                     kStartsPerWorkerSecond * static_cast<double>(this->size) *
                         kIterationSeconds;
  const scheduler::StartAllowance allowed{
      .all = static_cast<std::size_t>(this->starts_due)};
  const scheduler::SchedulerOutput output = this->meters->pass.Measure([&] {
    return this->scheduler->Plan(this->clock.SteadyNow(), this->clock.Now(),
                                 allowed);
  });
  this->waiting_sum += this->scheduler->waiting_count();
  for (const scheduler::Order& order : output.orders) {
    this->ExecuteOrder(order);
  }
  for (const jobs::Command& command : output.commands) {
    this->Commit(command);
  }
}

void SchedulerLoad::ExecuteOrder(const scheduler::Order& order) {
  std::visit(
      [this](const auto& order) {
        this->AddToFingerprint(StrCat(order.worker.value(), order.task.ToText(),
                                      "#", order.run.value(), ";"));
      },
      order);
  scheduler::OrderAnswer answer{.result = scheduler::OrderResult::kDone};
  if (const auto* start = std::get_if<scheduler::StartOrder>(&order)) {
    this->starts_due -= 1;
    ++this->start_count;
    answer = this->Start(*start);
  } else if (const auto* stop = std::get_if<scheduler::StopOrder>(&order)) {
    const auto target = this->targets.find(stop->worker);
    if (target != this->targets.end()) {
      target->second.running.erase({stop->task, stop->run});
      answer.clock = this->ClockOf(target->second);
    }
  }
  this->meters->answer.Measure([&] {
    this->scheduler->HandleOrderAnswer(order, answer, this->clock.SteadyNow());
  });
}

scheduler::OrderAnswer SchedulerLoad::Start(
    const scheduler::StartOrder& order) {
  std::uniform_int_distribution<int> percent(1, 100);
  std::uniform_int_distribution<std::int64_t> work(kShortestRun.count(),
                                                   kLongestRun.count());
  Target& target = this->targets.at(order.worker);
  const scheduler::WorkerTime now = this->ClockOf(target);
  if (percent(this->random) <= kRefusedPercent) {
    return {.result = scheduler::OrderResult::kNoRoom, .clock = now};
  }
  const jobs::StepSpec* step = this->state.FindStep(order.task);
  const SteadyTime ends_at =
      step->is_long_running
          ? SteadyTime::max()
          : this->clock.SteadyNow() + Milliseconds(work(this->random));
  target.running[{order.task, order.run}] = ends_at;
  return {.result = scheduler::OrderResult::kDone, .clock = now};
}

nlohmann::json SchedulerLoad::ToJson() const {
  nlohmann::json line{{"bench", "scheduler"},
                      {"workers", this->size},
                      {"starts", this->start_count},
                      {"mean_waiting", this->waiting_sum / kMeasuredIterations},
                      {"decisions", this->fingerprint}};
  this->meters->pass.Write("pass", line);
  this->meters->answer.Write("answer", line);
  this->meters->report.Write("report", line);
  this->meters->renewal.Write("renewal", line);
  this->meters->move.Write("move", line);
  return line;
}

}  // namespace sumac::benchmarks
