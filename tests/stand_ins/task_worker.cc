// SPDX-License-Identifier: Apache-2.0
#include "tests/stand_ins/task_worker.h"

#include <algorithm>
#include <utility>

#include "libraries/base/kj_time.h"
#include "libraries/base/text.h"

namespace sumac::stand_ins {
namespace {

constexpr std::uint32_t kConflict = 409;
constexpr std::uint32_t kMisdirected = 421;
constexpr std::uint32_t kUnavailable = 503;
constexpr const char* kExpectedWorkerHeader = "Sumacstack-Expected-Instance";
// The spec text of jobs whose tasks last until they are stopped.
constexpr const char* kLastingSpec = "lasting";
constexpr Milliseconds kLastingWork{3'600'000};
// The spec text of jobs whose tasks crash the worker that starts them.
constexpr const char* kCrashingSpec = "crashing";
// The time from the start of such a task to the crash, and the time that the
// worker is down afterwards.
constexpr Milliseconds kCrashDelay{10};
constexpr Milliseconds kRestartTime{700};
// The interval at which leases and ends are checked.
constexpr Milliseconds kTickInterval{10};
constexpr Milliseconds kAnnounceInterval{500};
constexpr Milliseconds kHoldCheckInterval{5};
constexpr Milliseconds kCallLimit{1'000};

std::string CauseName(scheduler::EndCause cause) {
  using enum scheduler::EndCause;
  switch (cause) {
    case kDone:
      return "done";
    case kFailed:
      return "failed";
    case kStopped:
      return "stopped";
    case kLeaseExpired:
      return "lapsed";
    case kGangBroken:
      return "broken";
    case kGangIncomplete:
      return "alone";
  }
  return "?";
}

std::string ReasonName(scheduler::OrderResult result) {
  using enum scheduler::OrderResult;
  return result == kFenced    ? "fence"
         : result == kOldRun  ? "old"
         : result == kTooLate ? "late"
                              : "room";
}

}  // namespace

TaskWorker::TaskWorker(kj::Network& network,
                       kj::Timer& timer,
                       Settings given,
                       EventLog& log)
    : network(network),
      timer(timer),
      settings(std::move(given)),
      log(log),
      worker(this->settings.description, this->settings.clock_offset, 0),
      headers(this->header_builder.build()),
      door(timer,
           http::AsyncServerSettings{
               .address = this->settings.listen_address.empty()
                              ? this->settings.description.address
                              : this->settings.listen_address,
               .headers = {kExpectedWorkerHeader}},
           [this](const http::ServerRequest& request) {
             return this->Handle(request);
           }) {
  for (const std::string& control : this->settings.controls) {
    this->controls.push_back(std::make_unique<http::AsyncConnection>(
        network, timer, *this->headers, control));
  }
}

kj::Promise<void> TaskWorker::Run() {
  this->log.Add({{"event", "life"},
                 {"worker", this->settings.description.id.value()},
                 {"address", this->settings.description.address},
                 {"process", this->settings.process}});
  return this->door.Listen(this->network).then([this] {
    return this->AnnounceLoop().exclusiveJoin(this->TickLoop());
  });
}

kj::Promise<void> TaskWorker::Leave() {
  this->is_leaving = true;
  this->log.Add(
      {{"event", "leaves"}, {"worker", this->settings.description.id.value()}});
  return this->timer.afterDelay(ToKj(this->settings.leave_time))
      .then([this] {
        // No task may still run here once the system can learn of the removal.
        this->Tick(this->clock.SteadyNow());
        this->worker.Crash();
        this->log.Add({{"event", "gone"},
                       {"worker", this->settings.description.id.value()}});
        return this->controls[this->next_control % this->controls.size()]->Call(
            {.method = kj::HttpMethod::DELETE,
             .path = StrCat("/instances/", this->Name()),
             .body = this->reports_start_time()
                         ? nlohmann::json({{"born", this->Born()}}).dump()
                         : std::string()},
            kCallLimit);
      })
      .ignoreResult();
}

kj::Promise<void> TaskWorker::TickLoop() {
  this->Tick(this->clock.SteadyNow());
  return this->timer.afterDelay(ToKj(kTickInterval)).then([this] {
    return this->TickLoop();
  });
}

void TaskWorker::Tick(SteadyTime now) {
  const auto earlier = this->worker.running();
  this->LogLeaseExpiry(now);
  this->worker.Tick(now);
  this->LogEnds(now, earlier);
}

void TaskWorker::LogLeaseExpiry(SteadyTime now) {
  const scheduler::WorkerTime lease_end = this->worker.lease_ends_at();
  const Milliseconds late(this->worker.ClockAt(now).value() -
                          lease_end.value());
  if (late < Milliseconds(0) || lease_end == this->logged_lease_end) {
    return;
  }
  this->logged_lease_end = lease_end;
  this->log.Add(
      {{"event", "lapse"}, {"worker", this->settings.description.id.value()}},
      late);
}

// A process that was paused detects late which runs ended meanwhile, so ends
// are logged with the times at which they were due.
void TaskWorker::LogEnds(
    SteadyTime now,
    const std::map<jobs::TaskId, scheduler::FakeWorker::Running>& earlier) {
  const Milliseconds since_lease_end(this->worker.ClockAt(now).value() -
                                     this->worker.lease_ends_at().value());
  for (const scheduler::EndReport& end : this->worker.unacknowledged_ends()) {
    if (end.number <= this->logged_end) {
      continue;
    }
    this->logged_end = end.number;
    Milliseconds ago{0};
    if (end.cause == scheduler::EndCause::kLeaseExpired) {
      ago = since_lease_end;
    } else if (end.cause == scheduler::EndCause::kDone) {
      ago = now - earlier.at(end.task).ends_at;
    }
    this->log.Add({{"event", "end"},
                   {"worker", this->settings.description.id.value()},
                   {"number", end.number},
                   {"task", end.task.ToText()},
                   {"run", end.run.value()},
                   {"cause", CauseName(end.cause)}},
                  ago);
  }
}

const std::string& TaskWorker::Name() const {
  return this->reports_start_time() ? this->settings.description.name.value()
                                    : this->settings.description.id.value();
}

std::int64_t TaskWorker::Born() const {
  return this->settings.description.born.time_since_epoch().count();
}

std::string TaskWorker::Announcement() {
  const jobs::Worker& about = this->settings.description;
  nlohmann::json announcement =
      nlohmann::json({{"service", about.service.value()},
                      {"address", about.address},
                      {"zone", about.data_centre.value()},
                      {"machine", about.instance.value()},
                      {"state", this->is_leaving ? "draining" : "ready"},

                      {"capacity",
                       {{"cpu", about.capacity.millicores},
                        {"mem_mb", about.capacity.memory_mb},
                        {"gpu", 0}}},
                      {"labels", about.labels},
                      {"seq", ++this->sequence}});
  if (this->reports_start_time()) {
    announcement["born"] = this->Born();
  }
  return announcement.dump();
}

kj::Promise<void> TaskWorker::Crash() {
  return this->timer.afterDelay(ToKj(kCrashDelay))
      .then([this] {
        this->Tick(this->clock.SteadyNow());
        this->worker.Crash();
        ++this->incarnation;
        this->log.Add({{"event", "gone"},
                       {"worker", this->settings.description.id.value()}});
        return this->timer.afterDelay(ToKj(kRestartTime));
      })
      .then([this] { this->BeginNextIncarnation(); });
}

void TaskWorker::BeginNextIncarnation() {
  jobs::Worker& description = this->settings.description;
  description.id = WorkerId(
      StrCat(description.instance.value(), "-life-", this->incarnation));
  this->worker =
      scheduler::FakeWorker(description, this->settings.clock_offset, 0);
  this->sequence = 0;
  this->logged_end = 0;
  this->logged_acknowledgement = 0;
  this->logged_lease_end = {};
  this->log.Add({{"event", "life"},
                 {"worker", description.id.value()},
                 {"address", description.address},
                 {"process", this->settings.process}});
}

kj::Promise<void> TaskWorker::AnnounceLoop() {
  if (!this->worker.is_up) {
    return this->timer.afterDelay(ToKj(kHoldCheckInterval)).then([this] {
      return this->AnnounceLoop();
    });
  }
  http::CallRequest request{.method = kj::HttpMethod::PUT,
                            .path = StrCat("/instances/", this->Name()),
                            .body = this->Announcement()};
  http::AsyncConnection& control =
      *this->controls[this->next_control % this->controls.size()];
  return control.Call(std::move(request), kCallLimit)
      .then([this](const http::CallReply& reply) {
        constexpr std::uint32_t kOk = 200;
        const bool is_accepted = reply.status == kOk;
        if (!is_accepted) {
          ++this->next_control;
        }
        return this->timer.afterDelay(
            ToKj(is_accepted ? kAnnounceInterval : kHoldCheckInterval * 10));
      })
      .then([this] { return this->AnnounceLoop(); });
}

kj::Promise<http::ServerReply> TaskWorker::Handle(
    const http::ServerRequest& request) {
  const SteadyTime now = this->clock.SteadyNow();
  this->Tick(now);
  if (!this->worker.is_up) {
    return http::ServerReply{.status = kUnavailable};
  }
  const auto expected = request.headers.find(kExpectedWorkerHeader);
  if (expected != request.headers.end() && expected->second != this->Name()) {
    return http::ServerReply{.status = kMisdirected};
  }
  nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
  if (request.path == "/run-start") {
    return this->Start(body);
  }
  if (request.path == "/run-stop") {
    return this->Stop(body);
  }
  if (request.path == "/hold") {
    const Milliseconds wait(body.value("wait_ms", 0));
    return this->Hold(std::move(body), now + wait, this->incarnation);
  }
  constexpr std::uint32_t kNotFound = 404;
  return http::ServerReply{.status = kNotFound};
}

http::ServerReply TaskWorker::OrderReply(
    const scheduler::OrderAnswer& answer) const {
  nlohmann::json body = {{"clock_ms", answer.clock->value()}};
  if (answer.result == scheduler::OrderResult::kDone) {
    return http::ServerReply{.body = body.dump()};
  }
  body["reason"] = ReasonName(answer.result);
  return http::ServerReply{.status = kConflict, .body = body.dump()};
}

http::ServerReply TaskWorker::Start(const nlohmann::json& body) {
  scheduler::StartOrder order;
  order.epoch = LeaderEpoch(body.at("fence_token").get<std::uint64_t>());
  order.task = *jobs::TaskId::Parse(body.at("task").get<std::string>());
  order.run = RunNumber(body.at("run").get<std::uint64_t>());
  order.lease_end =
      scheduler::WorkerTime(body.at("until_ms").get<std::int64_t>());
  const bool is_lasting = body.value("spec", "") == kLastingSpec;
  jobs::StepSpec step;
  step.is_long_running = is_lasting;
  const std::size_t before = this->worker.running().size();
  const scheduler::OrderAnswer answer =
      this->worker.Start(order, is_lasting ? kLastingWork : this->settings.work,
                         false, step, this->clock.SteadyNow());
  if (this->worker.running().size() > before) {
    ++this->start_count;
    this->log.Add({{"event", "start"},
                   {"worker", this->settings.description.id.value()},
                   {"task", order.task.ToText()},
                   {"run", order.run.value()},
                   {"epoch", order.epoch.value()},
                   {"lasting", is_lasting}});
    if (body.value("spec", "") == kCrashingSpec) {
      this->crashing = this->Crash().eagerlyEvaluate(nullptr);
    }
  }
  return this->OrderReply(answer);
}

http::ServerReply TaskWorker::Stop(const nlohmann::json& body) {
  scheduler::StopOrder order;
  order.epoch = LeaderEpoch(body.at("fence_token").get<std::uint64_t>());
  order.task = *jobs::TaskId::Parse(body.at("task").get<std::string>());
  order.run = RunNumber(body.at("run").get<std::uint64_t>());
  const SteadyTime now = this->clock.SteadyNow();
  const auto earlier = this->worker.running();
  const scheduler::OrderAnswer answer = this->worker.Stop(order, now);
  this->LogEnds(now, earlier);
  return this->OrderReply(answer);
}

// Answers once a run has ended or the time to wait is over.
// `expected_incarnation` is the incarnation that received the call; another one
// answers "unavailable".
kj::Promise<http::ServerReply> TaskWorker::Hold(nlohmann::json body,
                                                SteadyTime until,
                                                int expected_incarnation) {
  if (expected_incarnation != this->incarnation) {
    return http::ServerReply{.status = kUnavailable};
  }
  const SteadyTime now = this->clock.SteadyNow();
  this->Tick(now);
  scheduler::RenewOrder order;
  order.epoch = LeaderEpoch(body.at("fence_token").get<std::uint64_t>());
  order.acknowledged_ends = body.value("acked_upto", std::uint64_t{0});
  if (body.contains("until_ms")) {
    order.lease_end =
        scheduler::WorkerTime(body["until_ms"].get<std::int64_t>());
  }
  const auto report = this->worker.Renew(order, now);
  if (!report) {
    return this->OrderReply({.result = scheduler::OrderResult::kFenced,
                             .clock = this->worker.ClockAt(now)});
  }
  if (order.acknowledged_ends > this->logged_acknowledgement) {
    this->logged_acknowledgement = order.acknowledged_ends;
    this->log.Add({{"event", "acknowledged"},
                   {"worker", this->settings.description.id.value()},
                   {"number", order.acknowledged_ends}});
  }
  if (report->ended.empty() && now < until) {
    return this->timer.afterDelay(ToKj(kHoldCheckInterval))
        .then([this, body = std::move(body), until,
               expected_incarnation]() mutable {
          return this->Hold(std::move(body), until, expected_incarnation);
        });
  }
  nlohmann::json reply = {{"clock_ms", report->clock.value()},
                          {"running", nlohmann::json::array()},
                          {"ended", nlohmann::json::array()}};
  if (this->reports_start_time()) {
    reply["born"] = this->Born();
  }
  for (const auto& running : report->running) {
    reply["running"].push_back({running.task.ToText(), running.run.value(),
                                running.checkpoint, running.percent,
                                running.load});
  }
  for (const auto& end : report->ended) {
    reply["ended"].push_back({end.number, end.task.ToText(), end.run.value(),
                              CauseName(end.cause), end.checkpoint});
  }
  return http::ServerReply{.body = reply.dump()};
}

}  // namespace sumac::stand_ins
