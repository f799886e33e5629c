// SPDX-License-Identifier: Apache-2.0
#include "tests/stand_ins/task_worker.h"

#include <utility>

#include "libraries/base/kj_time.h"
#include "libraries/base/text.h"

namespace sumac::stand_ins {
namespace {

constexpr std::uint32_t kConflict = 409;
constexpr Milliseconds kAnnounceInterval{500};
constexpr Milliseconds kHoldStep{5};
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
    case kLapsed:
      return "lapsed";
    case kBroken:
      return "broken";
    case kAlone:
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

TaskWorker::TaskWorker(kj::Network& network, kj::Timer& timer, Settings given)
    : network(network),
      timer(timer),
      settings(std::move(given)),
      worker(this->settings.description, Milliseconds(5'000), 0),
      headers(this->header_builder.build()),
      door(timer,
           http::DoorSettings{.address = this->settings.description.address},
           [this](const http::DoorRequest& request) {
             return this->Handle(request);
           }) {
  for (const std::string& control : this->settings.controls) {
    this->controls.push_back(std::make_unique<http::AsyncConnection>(
        network, timer, *this->headers, control));
  }
}

kj::Promise<void> TaskWorker::Run() {
  return this->door.Listen(this->network).then([this] {
    return this->AnnounceLoop();
  });
}

std::string TaskWorker::Announcement() {
  const jobs::Worker& about = this->settings.description;
  return nlohmann::json({{"service", about.service.value()},
                         {"address", about.address},
                         {"zone", about.data_centre.value()},
                         {"machine", about.instance.value()},
                         {"state", "ready"},
                         {"capacity",
                          {{"cpu", about.capacity.millicores},
                           {"mem_mb", about.capacity.memory_mb},
                           {"gpu", 0}}},
                         {"labels", about.labels},
                         {"seq", ++this->sequence}})
      .dump();
}

kj::Promise<void> TaskWorker::AnnounceLoop() {
  http::CallRequest request{
      .method = kj::HttpMethod::PUT,
      .path = StrCat("/instances/", this->settings.description.id.value()),
      .body = this->Announcement()};
  http::AsyncConnection& control =
      *this->controls[this->next_control % this->controls.size()];
  return control.Call(std::move(request), kCallLimit)
      .then([this](const http::CallReply& reply) {
        constexpr std::uint32_t kOk = 200;
        const bool is_taken = reply.status == kOk;
        if (!is_taken) {
          ++this->next_control;
        }
        return this->timer.afterDelay(
            ToKj(is_taken ? kAnnounceInterval : kHoldStep * 10));
      })
      .then([this] { return this->AnnounceLoop(); });
}

kj::Promise<http::DoorReply> TaskWorker::Handle(
    const http::DoorRequest& request) {
  const SteadyTime now = this->clock.SteadyNow();
  this->worker.Tick(now);
  nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
  if (request.path == "/run-start") {
    return this->Start(body);
  }
  if (request.path == "/run-stop") {
    return this->Stop(body);
  }
  if (request.path == "/hold") {
    const Milliseconds wait(body.value("wait_ms", 0));
    return this->Hold(std::move(body), now + wait);
  }
  constexpr std::uint32_t kNotFound = 404;
  return http::DoorReply{.status = kNotFound};
}

http::DoorReply TaskWorker::OrderReply(
    const scheduler::OrderAnswer& answer) const {
  nlohmann::json body = {{"clock_ms", answer.clock->value()}};
  if (answer.result == scheduler::OrderResult::kDone) {
    return http::DoorReply{.body = body.dump()};
  }
  body["reason"] = ReasonName(answer.result);
  return http::DoorReply{.status = kConflict, .body = body.dump()};
}

http::DoorReply TaskWorker::Start(const nlohmann::json& body) {
  scheduler::StartOrder order;
  order.epoch = LeaderEpoch(body.at("fence_token").get<std::uint64_t>());
  order.task = *jobs::TaskId::Parse(body.at("task").get<std::string>());
  order.run = RunNumber(body.at("run").get<std::uint64_t>());
  order.lease_end =
      scheduler::WorkerTime(body.at("until_ms").get<std::int64_t>());
  const std::size_t before = this->worker.running().size();
  const scheduler::OrderAnswer answer =
      this->worker.Start(order, this->settings.work, false, jobs::StepSpec(),
                         this->clock.SteadyNow());
  this->start_count += this->worker.running().size() - before;
  return this->OrderReply(answer);
}

http::DoorReply TaskWorker::Stop(const nlohmann::json& body) {
  scheduler::StopOrder order;
  order.epoch = LeaderEpoch(body.at("fence_token").get<std::uint64_t>());
  order.task = *jobs::TaskId::Parse(body.at("task").get<std::string>());
  order.run = RunNumber(body.at("run").get<std::uint64_t>());
  return this->OrderReply(this->worker.Stop(order, this->clock.SteadyNow()));
}

// Answers once a run has ended, or the time to wait is over.
kj::Promise<http::DoorReply> TaskWorker::Hold(nlohmann::json body,
                                              SteadyTime until) {
  const SteadyTime now = this->clock.SteadyNow();
  this->worker.Tick(now);
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
  if (report->ended.empty() && now < until) {
    return this->timer.afterDelay(ToKj(kHoldStep))
        .then([this, body = std::move(body), until]() mutable {
          return this->Hold(std::move(body), until);
        });
  }
  nlohmann::json reply = {{"clock_ms", report->clock.value()},
                          {"running", nlohmann::json::array()},
                          {"ended", nlohmann::json::array()}};
  for (const auto& running : report->running) {
    reply["running"].push_back({running.task.ToText(), running.run.value(),
                                running.checkpoint, running.percent,
                                running.load});
  }
  for (const auto& end : report->ended) {
    reply["ended"].push_back({end.number, end.task.ToText(), end.run.value(),
                              CauseName(end.cause), end.checkpoint});
  }
  return http::DoorReply{.body = reply.dump()};
}

}  // namespace sumac::stand_ins
