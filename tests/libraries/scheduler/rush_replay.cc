// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/scheduler/rush_replay.h"

#include <algorithm>
#include <utility>

#include "libraries/base/text.h"

namespace sumac::scheduler {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The costs of the leader's work when it has all the processor time that it
// needs under peak load, as measured on a real leader with 350 workers.
constexpr microseconds kPassCost{1'500};
constexpr microseconds kStartCost{250};
constexpr microseconds kAnswerCost{100};
constexpr microseconds kReportCost{250};
constexpr microseconds kEndCost{50};
constexpr microseconds kRoundCost{600};
constexpr microseconds kCommandCost{80};
constexpr microseconds kSubmitCost{200};
constexpr microseconds kRefusalCost{150};

constexpr milliseconds kOneWay{1};
constexpr milliseconds kTick{20};
constexpr seconds kCalm{10};
constexpr seconds kDrain{60};
constexpr double kCalmCalls = 15;

constexpr std::size_t kWorkers = 300;
constexpr std::uint32_t kWidth = 8;
// The number of tasks of a step that run on one worker.
constexpr std::uint32_t kNeighbours = 2;
constexpr milliseconds kShortestRun{700};
constexpr milliseconds kLongestRun{1'300};
constexpr int kMostTries = 5;
constexpr double kStretch = 1.6;
constexpr Milliseconds kLatencyTarget{600};

jobs::JobsDeclaration Declared() {
  const ServiceName service("workers");
  const auto queue = [&](const QueueName& name, std::uint32_t priority) {
    return jobs::QueueDeclaration{.name = name,
                                  .host = "h",
                                  .path_prefix = StrCat("/", name.value(), "/"),
                                  .service = service,
                                  .priority = priority,
                                  .most_attempts = 3,
                                  .stretch = kStretch,
                                  .latency_target = kLatencyTarget};
  };
  return jobs::JobsDeclaration(
      1, {queue(RushReplay::kUrgent, 0), queue(RushReplay::kPatient, 1)},
      {{.name = service}});
}

}  // namespace

const QueueName RushReplay::kUrgent("urgent");
const QueueName RushReplay::kPatient("patient");

RushReplay::RushReplay(RushSettings settings)
    : settings(settings),
      state([](std::string_view /*document*/) { return Declared(); }),
      waiting(state, run_times, true, Milliseconds(1'000)),
      workers(kWorkers) {
  this->state.Apply({this->WallNow(), jobs::Declare{1, "document"}});
}

void RushReplay::Schedule(Instant at, std::function<void()> action) {
  this->events.push({at, this->event_count++, std::move(action)});
}

void RushReplay::SpendTime(Instant cost) {
  this->now += std::chrono::duration_cast<Instant>(
      cost / this->settings.processor_share);
}

SteadyTime RushReplay::Now() const {
  return SteadyTime(std::chrono::duration_cast<Milliseconds>(this->now));
}

WallTime RushReplay::WallNow() const {
  return WallTime(std::chrono::duration_cast<Milliseconds>(this->now));
}

void RushReplay::Run() {
  this->SendCalls(Instant(0), kCalm, kCalmCalls);
  this->SendCalls(kCalm, kCalm + this->settings.rush,
                  this->settings.rush_calls_a_second);
  this->Schedule(kTick, [this] { this->MeasureLateness(kTick); });
  while (!this->events.empty()) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = std::max(this->now, event.at);
    event.action();
  }
}

// Measures how late the loop reads received messages.
void RushReplay::MeasureLateness(Instant due) {
  this->admission.RecordLateness(
      std::chrono::duration_cast<Milliseconds>(this->now - due));
  this->pacer.RecordLateness(this->admission.lateness());
  const Instant next = std::max(due + kTick, this->now);
  if (next < kCalm + this->settings.rush + kDrain) {
    this->Schedule(next, [this, next] { this->MeasureLateness(next); });
  }
  this->SchedulePass();
}

void RushReplay::SendCalls(Instant from, Instant to, double calls_a_second) {
  constexpr double kMicroseconds = 1'000'000;
  const Instant gap(static_cast<std::int64_t>(kMicroseconds / calls_a_second));
  for (Instant at = from; at < to; at += gap) {
    const JobId id(StrCat("job", this->calls.size()));
    const std::uint64_t drawn = this->random();
    this->calls[id] = Call{.id = id,
                           .queue = drawn % 2 == 0 ? kUrgent : kPatient,
                           .steps = drawn % 10 < 6 ? 2U : 1U,
                           .first_sent = at};
    this->Schedule(at + kOneWay, [this, id] { this->Submit(id); });
  }
}

// Submits the job of a call. A refused caller retries when it was told to.
void RushReplay::Submit(const JobId& id) {
  Call& call = this->calls.at(id);
  jobs::JobSpec spec{.text = "text"};
  for (std::uint32_t number = 0; number < call.steps; ++number) {
    jobs::StepSpec step{.count = kWidth,
                        .need = {.millicores = 100, .memory_mb = 10},
                        .estimate = Milliseconds(1'000)};
    if (number > 0) {
      step.after = {number - 1};
    }
    spec.steps.push_back(std::move(step));
  }
  if (auto retry_after = this->RefuseForBacklog(call, spec)) {
    return this->Refuse(call, *retry_after);
  }
  if (!this->admission.AdmitJob()) {
    return this->Refuse(call, this->admission.RetryAfter());
  }
  this->SpendTime(kSubmitCost);
  call.is_accepted = true;
  this->forecast.RecordAccepted(call.queue);
  this->Commit(
      jobs::SubmitJob{id, call.queue, std::move(spec),
                      this->refused_callers.WaitingTimeOf(id, this->Now())});
}

// Returns when the caller should retry, or nothing if admission accepts the
// job.
std::optional<Milliseconds> RushReplay::RefuseForBacklog(
    const Call& call,
    const jobs::JobSpec& spec) {
  if (!this->settings.has_backlog_limits) {
    return std::nullopt;
  }
  const WaitingCounts waiting = this->waiting.CountFor(call.queue);
  if (this->backlog.IsFull(waiting)) {
    return this->backlog.RetryAfter(waiting);
  }
  const auto to_spare = TimeToSpare(
      *this->state.declaration().FindQueue(call.queue), spec, this->run_times);
  const Milliseconds waited =
      this->refused_callers.WaitingTimeOf(call.id, this->Now());
  if (to_spare &&
      this->forecast.IsTooLate(call.queue, *to_spare - waited, this->Now())) {
    return this->forecast.RetryAfter(call.queue, this->Now());
  }
  return std::nullopt;
}

void RushReplay::Refuse(Call& call, Milliseconds retry_after) {
  this->SpendTime(kRefusalCost);
  ++this->refused;
  if (this->settings.has_backlog_limits) {
    this->refused_callers.RecordRefusal(call.id, this->Now());
  }
  ++call.tries;
  if (this->settings.stretches_retries) {
    retry_after = this->return_times.Stretch(call.queue, call.tries == 1,
                                             retry_after, this->Now());
  }
  Instant retry_at = this->now + retry_after;
  bool keeps_trying = call.tries < kMostTries;
  if (this->settings.patience) {
    retry_at = this->now + std::chrono::ceil<seconds>(retry_after);
    keeps_trying = retry_at - call.first_sent < *this->settings.patience;
  }
  if (keeps_trying) {
    this->Schedule(retry_at, [this, id = call.id] { this->Submit(id); });
  }
}

void RushReplay::Commit(jobs::Command command) {
  this->gathered.push_back(std::move(command));
  if (this->gathered.size() == 1) {
    this->Schedule(this->now + this->pacer.CommitPause(),
                   [this] { this->CommitRound(); });
  }
}

void RushReplay::CommitRound() {
  const std::vector<jobs::Command> round = std::exchange(this->gathered, {});
  this->SpendTime(kRoundCost + kCommandCost * round.size());
  for (const jobs::Command& command : round) {
    this->state.Apply({this->WallNow(), command});
    if (const auto* ends = std::get_if<jobs::RecordEnds>(&command)) {
      for (const jobs::RunEnd& end : ends->ends) {
        this->waiting.Reconsider(end.task.step.job);
        this->RecordFinished(end.task.step.job);
      }
    }
  }
  this->SchedulePass();
}

void RushReplay::RecordFinished(const JobId& id) {
  const jobs::Job* job = this->state.FindJob(id);
  Call& call = this->calls.at(id);
  if (job == nullptr || job->is_active()) {
    return;
  }
  Instant chain{};
  for (std::uint32_t step = 0; step < call.steps; ++step) {
    chain += this->longest_runs.at({id, 0, step});
  }
  const auto objective =
      std::chrono::duration_cast<Instant>(chain * kStretch) + kLatencyTarget;
  this->backlog.RecordFinished(this->Now());
  call.is_done = true;
  call.is_in_time = this->now - call.first_sent <= objective;
}

void RushReplay::SchedulePass() {
  if (!std::exchange(this->is_pass_due, true)) {
    this->Schedule(this->now + this->pacer.PassPause(),
                   [this] { this->Pass(); });
  }
}

void RushReplay::Pass() {
  this->is_pass_due = false;
  const Instant began = this->now;
  this->SpendTime(kPassCost);
  StartAllowance left = this->admission.AllowStarts(this->open_starts);
  std::set<std::uint64_t> unplaced;
  const std::vector<DueOccurrence> order =
      this->waiting.Order(this->Now(), this->WallNow());
  this->forecast.UpdateWaiting(this->waiting.waiting_by_queue());
  for (const DueOccurrence& due : order) {
    const std::size_t started_before = this->started.size();
    bool is_all_placed = true;
    this->StartSteps(due, left, is_all_placed);
    if (!is_all_placed) {
      unplaced.insert(due.job->sequence);
    } else if (due.is_new && this->started.size() > started_before) {
      this->forecast.RecordFirstStart(due.job->queue, this->Now());
    }
  }
  this->waiting.RemovePlaced(unplaced, this->WallNow());
  this->pacer.RecordPass(this->now - began);
}

void RushReplay::StartSteps(const DueOccurrence& due,
                            StartAllowance& left,
                            bool& is_all_placed) {
  const jobs::Job& job = *due.job;
  const bool is_late = due.lateness != Lateness::kInTime;
  for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
    if (!job.IsStepReady(0, step)) {
      continue;
    }
    for (std::uint32_t index = 0; index < kWidth; ++index) {
      const jobs::TaskId task{{job.id, 0, step}, index};
      if (this->started.contains(task)) {
        continue;
      }
      if (left.all == 0 || (is_late && left.late == 0)) {
        is_all_placed = false;
        return;
      }
      --left.all;
      left.late -= std::min<std::size_t>(left.late, is_late ? 1 : 0);
      this->Start(task);
    }
  }
}

void RushReplay::Start(const jobs::TaskId& task) {
  this->SpendTime(kStartCost);
  this->started[task] = this->now;
  ++this->open_starts;
  std::uniform_int_distribution<std::int64_t> draw(kShortestRun.count(),
                                                   kLongestRun.count());
  const milliseconds run(draw(this->random));
  Instant& longest = this->longest_runs[task.step];
  longest = std::max<Instant>(longest, run);
  const std::size_t worker = (std::hash<std::string>()(task.step.job.value()) +
                              task.step.step + task.index / kNeighbours) %
                             kWorkers;
  this->Schedule(this->now + 2 * kOneWay, [this] {
    this->SpendTime(kAnswerCost);
    --this->open_starts;
    this->SchedulePass();
  });
  this->Schedule(this->now + kOneWay + run,
                 [this, worker, task] { this->End(worker, task); });
}

// Reports the end of a run to the leader at once, or after the report pause if
// the worker has just reported.
void RushReplay::End(std::size_t number, const jobs::TaskId& task) {
  Worker& worker = this->workers[number];
  worker.ended.push_back({task, RunNumber(1), jobs::RunOutcome::kDone});
  if (!std::exchange(worker.is_report_due, true)) {
    this->Schedule(std::max(this->now, worker.earliest_report_at) + kOneWay,
                   [this, number] { this->Report(number); });
  }
}

void RushReplay::Report(std::size_t number) {
  Worker& worker = this->workers[number];
  worker.is_report_due = false;
  std::vector<jobs::RunEnd> ended = std::exchange(worker.ended, {});
  this->SpendTime(kReportCost + kEndCost * ended.size());
  worker.earliest_report_at = this->now + this->pacer.ReportPause();
  for (const jobs::RunEnd& end : ended) {
    this->run_times.RecordRunTime(this->calls.at(end.task.step.job).queue,
                                  std::chrono::duration_cast<Milliseconds>(
                                      this->now - this->started.at(end.task)));
  }
  this->Commit(jobs::RecordEnds{std::move(ended)});
}

double RushReplay::RefusalsPerLostCall() const {
  const auto lost =
      std::count_if(this->calls.begin(), this->calls.end(),
                    [](const auto& call) { return !call.second.is_accepted; });
  return static_cast<double>(this->refused) / static_cast<double>(lost);
}

double RushReplay::DoneShare() const {
  const auto done =
      std::count_if(this->calls.begin(), this->calls.end(),
                    [](const auto& call) { return call.second.is_done; });
  return static_cast<double>(done) / static_cast<double>(this->calls.size());
}

double RushReplay::AcceptedShare() const {
  const auto accepted =
      std::count_if(this->calls.begin(), this->calls.end(),
                    [](const auto& call) { return call.second.is_accepted; });
  return static_cast<double>(accepted) /
         static_cast<double>(this->calls.size());
}

double RushReplay::InTimeShare(const QueueName& queue) const {
  double all = 0;
  double in_time = 0;
  for (const auto& [id, call] : this->calls) {
    all += call.queue == queue ? 1 : 0;
    in_time += call.queue == queue && call.is_in_time ? 1 : 0;
  }
  return in_time / all;
}

}  // namespace sumac::scheduler
