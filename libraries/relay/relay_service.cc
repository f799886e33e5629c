// SPDX-License-Identifier: Apache-2.0
#include "libraries/relay/relay_service.h"

#include <algorithm>
#include <cstddef>
#include <type_traits>
#include <utility>
#include <variant>

#include "libraries/base/kj_time.h"
#include "libraries/log/json_log.h"
#include "libraries/relay/relay_codec.h"

namespace sumac::relay {
namespace {

// The minimum time between two batches of answers. An answer after a longer
// pause is sent at once; others are gathered, since a batch costs the leader
// more than a single answer in it.
constexpr Milliseconds kBatchDelay{10};
// Limits the size of a message, which the leader accepts up to 64 MiB: a single
// report may list hundreds of ends.
constexpr std::size_t kMaxAnswersPerBatch = 256;

}  // namespace

RelayService::RelayService(OwnedWorkerCalls workers,
                           wire::RelayAnswers::Client answers,
                           LeaderEpoch epoch,
                           kj::Timer& timer,
                           Host host)
    : workers(std::move(workers)),
      answers(kj::mv(answers)),
      epoch(epoch),
      timer(timer),
      host(std::move(host)),
      tasks(*this) {}

kj::Promise<void> RelayService::carry(CarryContext context) {
  const wire::RelayedCalls::Reader batch = context.getParams().getCalls();
  const std::vector<std::string> texts = ReadTexts(batch);
  for (const auto item : batch.getCalls()) {
    absl::StatusOr<RelayCall> call = ReadCall(item, texts, this->epoch);
    if (call.ok()) {
      this->MakeCall(*std::move(call));
      continue;
    }
    LogEvent(LogLevel::kError, "relayed-call-malformed",
             {{"code", static_cast<int>(CodeOf(call.status()))},
              {"error", std::string(call.status().message())}});
    this->Answer({item.getId(), scheduler::OrderResult::kNotSent});
  }
  context.getResults().setClockMs(
      this->clock.SteadyNow().time_since_epoch().count());
  return kj::READY_NOW;
}

// Makes a call, unless its deadline has passed or a later leadership is known.
// NOTE: The remaining time is checked again right before the call is sent,
// since the call may wait for its connection and this machine may be suspended.
void RelayService::MakeCall(RelayCall call) {
  const SteadyTime expires{Milliseconds(call.expires.value())};
  const Milliseconds time_left = expires - this->clock.SteadyNow();
  if (const auto* forget = std::get_if<ForgetCall>(&call.body)) {
    this->workers.calls.forget(forget->worker);
    return;
  }
  if (time_left <= Milliseconds(0) || !this->host.is_current(this->epoch)) {
    this->Answer({call.id, scheduler::OrderResult::kNotSent});
    return;
  }
  std::visit(
      [this, &call, time_left](auto& body) {
        using Body = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<Body, RenewCall>) {
          body.order.longest_wait = time_left;
          this->MakeRenewal(call.id, this->workers.calls.renew(body.order));
        } else if constexpr (std::is_same_v<Body, ReportCall>) {
          body.order.longest_wait = time_left;
          this->MakeRenewal(call.id,
                            this->workers.calls.request_report(body.order));
        } else if constexpr (std::is_same_v<Body, scheduler::StartOrder>) {
          if (this->host.may_start_on &&
              !this->host.may_start_on(body.worker)) {
            this->Answer({call.id, scheduler::OrderResult::kNotSent});
            return;
          }
          this->MakeOrder(call.id, std::move(body), time_left);
        } else if constexpr (!std::is_same_v<Body, ForgetCall>) {
          this->MakeOrder(call.id, std::move(body), time_left);
        }
      },
      call.body);
}

template <typename Order>
void RelayService::MakeOrder(std::uint64_t id,
                             Order order,
                             Milliseconds time_left) {
  order.longest_wait = time_left;
  this->tasks.add(this->workers.calls.send(std::move(order))
                      .then([this, id](const scheduler::OrderAnswer& answer) {
                        this->Answer({id, answer.result, answer.clock});
                      }));
}

void RelayService::MakeRenewal(std::uint64_t id,
                               kj::Promise<scheduler::RenewAnswer> renewed) {
  this->tasks.add(renewed.then([this, id](scheduler::RenewAnswer&& answer) {
    RelayAnswer relayed{id, answer.result};
    if (answer.result == scheduler::OrderResult::kDone) {
      relayed.clock = answer.report.clock;
      relayed.report =
          std::make_unique<scheduler::RenewReport>(std::move(answer.report));
    }
    this->Answer(std::move(relayed));
  }));
}

void RelayService::Answer(RelayAnswer&& answer) {
  this->queue.push_back(std::move(answer));
  this->ScheduleFlush();
}

void RelayService::ScheduleFlush() {
  if (this->is_flush_scheduled || this->is_batch_in_flight ||
      this->is_leader_unreachable || this->queue.empty()) {
    return;
  }
  this->is_flush_scheduled = true;
  const SteadyTime now = this->clock.SteadyNow();
  const Milliseconds pause = std::clamp(this->flushed_at + kBatchDelay - now,
                                        Milliseconds(0), kBatchDelay);
  this->tasks.add(this->timer.afterDelay(ToKj(pause)).then([this] {
    this->is_flush_scheduled = false;
    this->Flush();
  }));
}

// Sends a batch of answers. Only one batch is in flight at a time, so that a
// leader that is slow to read gets fewer and larger batches.
void RelayService::Flush() {
  this->flushed_at = this->clock.SteadyNow();
  auto request = this->answers.takeRequest();
  auto batch = request.initAnswers();
  batch.setClockMs(this->flushed_at.time_since_epoch().count());
  const std::size_t count = std::min(this->queue.size(), kMaxAnswersPerBatch);
  const auto end = this->queue.begin() + static_cast<std::ptrdiff_t>(count);
  WriteAnswers({this->queue.data(), count}, batch);
  this->queue.erase(this->queue.begin(), end);
  this->is_batch_in_flight = true;
  this->tasks.add(request.send().ignoreResult().then(
      [this] {
        this->is_batch_in_flight = false;
        this->ScheduleFlush();
      },
      [this](kj::Exception&& exception) {
        this->is_leader_unreachable = true;
        LogEvent(LogLevel::kWarning, "relay-cut-off",
                 {{"epoch", this->epoch.value()},
                  {"error", exception.getDescription().cStr()}});
      }));
}

void RelayService::taskFailed(kj::Exception&& exception) {
  LogEvent(LogLevel::kError, "task-failed",
           {{"error", exception.getDescription().cStr()}});
}

}  // namespace sumac::relay
