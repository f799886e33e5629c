// SPDX-License-Identifier: Apache-2.0
#include "libraries/relay/relay_link.h"

#include <utility>
#include <variant>

#include "libraries/base/kj_time.h"
#include "libraries/base/read_lateness.h"
#include "libraries/log/json_log.h"
#include "libraries/relay/relay_codec.h"
#include "libraries/rpc/answer_codec.h"
#include "libraries/wire/generated/peer.capnp.h"
#include "libraries/wire/replication_codec.h"

namespace sumac::relay {
namespace {

// The minimum time between two requests to open the relay.
constexpr Milliseconds kOpenInterval{500};
// A relay that does not answer within this time is given up. Workers' leases
// last several times as long.
constexpr Milliseconds kRelayTimeout{1'000};
// The time that renewals wait for others, so that a batch contains several.
// Orders are sent at once.
constexpr Milliseconds kBatchDelay{10};
// The time allowed for an answer in addition to the worker's own, for the
// transmission to the relay and the queue there.
constexpr Milliseconds kAnswerSlack{2'000};
// A relay calls a worker a second time if the connection turns out to be
// closed.
constexpr int kMaxTries = 2;
// The interval at which the relay's clock is read while there are no calls.
constexpr Milliseconds kClockReadInterval{1'000};
// Keeps a message to a few hundred kilobytes; the receiver accepts up to 64
// MiB.
constexpr std::size_t kMaxCallsPerBatch = 512;

bool IsOrder(const CallBody& body) {
  return !std::holds_alternative<RenewCall>(body) &&
         !std::holds_alternative<ForgetCall>(body);
}

}  // namespace

// Receives the relay's answers. The relay holds a reference to the sink and may
// keep it for longer than the link exists.
class RelayLink::AnswerSink final : public wire::RelayAnswers::Server {
 public:
  explicit AnswerSink(RelayLink& link) : link(&link) {}
  ~AnswerSink() noexcept {
    if (this->link != nullptr && this->link->sink == this) {
      this->link->sink = nullptr;
    }
  }

  // Makes the sink drop all further answers.
  void Detach() { this->link = nullptr; }

  kj::Promise<void> take(TakeContext context) override {
    if (this->link != nullptr) {
      this->link->HandleAnswers(context.getParams().getAnswers());
    }
    return kj::READY_NOW;
  }

 private:
  RelayLink* link;
};

RelayLink::RelayLink(rpc::Channel& channel,
                     kj::Timer& timer,
                     LeaderEpoch epoch,
                     Host host)
    : channel(channel),
      timer(timer),
      epoch(epoch),
      host(std::move(host)),
      tasks(*this) {}

RelayLink::~RelayLink() {
  this->host.on_change = [] {};
  this->Close("the leadership is over");
}

void RelayLink::OpenIfDue(SteadyTime now) {
  if (this->state != State::kClosed || now - this->opened_at < kOpenInterval) {
    return;
  }
  this->opened_at = now;
  this->state = State::kOpening;
  const std::uint64_t own_generation = ++this->generation;
  auto new_sink = kj::heap<AnswerSink>(*this);
  this->sink = new_sink.get();
  auto request = this->channel.Get<wire::Peer>().openRelayRequest();
  request.setEpoch(this->epoch.value());
  request.setAnswers(kj::mv(new_sink));
  auto opened = this->channel.Guard(
      kRelayTimeout,
      request.send().then(
          [](auto&& response)
              -> kj::Own<capnp::Response<wire::Peer::OpenRelayResults>> {
            return kj::heap(kj::mv(response));
          }));
  this->tasks.add(opened.then(
      [this, own_generation](auto&& response) {
        if (own_generation != this->generation) {
          return;
        }
        const fleet::Answer answer = rpc::ReadAnswer(response->getResult());
        if (!answer.is_ok()) {
          this->Close(answer.message);
          return;
        }
        this->FinishOpening(
            response->getRelay(), RelayTime(response->getClockMs()),
            DataCentre(wire::ToString(response->getDataCentre())));
      },
      [this, own_generation](kj::Exception&& exception) {
        if (own_generation == this->generation) {
          this->Close(exception.getDescription().cStr());
        }
      }));
}

void RelayLink::FinishOpening(wire::Relay::Client new_relay,
                              RelayTime reading,
                              DataCentre data_centre) {
  this->relay = kj::mv(new_relay);
  this->relay_data_centre = std::move(data_centre);
  this->relay_clock = RelayClock();
  this->clock_read_at = this->clock.SteadyNow();
  this->answered_at = this->clock_read_at;
  this->relay_clock.RecordReading(reading, this->clock_read_at);
  this->state = State::kOpen;
  LogEvent(LogLevel::kInfo, "relay-opened",
           {{"relay", this->channel.address()},
            {"data_centre", this->relay_data_centre.value()},
            {"epoch", this->epoch.value()}});
  this->host.on_change();
}

// Calls that were sent may still be carried out, so their outcome is unknown;
// queued calls will never be sent and fail as such.
void RelayLink::Close(const std::string& reason) {
  const bool was_open = this->state == State::kOpen;
  ++this->generation;
  this->state = State::kClosed;
  this->relay = nullptr;
  if (this->sink != nullptr) {
    this->sink->Detach();
    this->sink = nullptr;
  }
  this->FailQueued();
  auto lost = std::exchange(this->calls_by_id, {});
  for (auto& [id, call] : lost) {
    call.fulfiller->fulfill(
        RelayAnswer{id, scheduler::OrderResult::kRelayLost});
  }
  this->call_counts.lost += lost.size();
  if (was_open) {
    LogEvent(LogLevel::kWarning, "relay-closed",
             {{"relay", this->channel.address()},
              {"reason", reason},
              {"open_calls", lost.size()}});
    this->host.on_change();
  }
}

// NOTE: When the event loop is late, answers may lie unread in its sockets, so
// its lateness is added to the time limit.
void RelayLink::CheckOpenCalls(SteadyTime now) {
  std::vector<std::uint64_t> overdue;
  for (const auto& [id, call] : this->calls_by_id) {
    if (call.answer_deadline + ReadLateness() >= now) {
      continue;
    }
    if (this->answered_at <= call.made_at) {
      this->Close("a call was not answered in time");
      return;
    }
    overdue.push_back(id);
  }
  for (const std::uint64_t id : overdue) {
    this->GiveUpCall(id);
  }
  if (this->is_open() && now - this->clock_read_at >= kClockReadInterval) {
    KJ_IF_MAYBE (present, this->relay) {
      this->SendBatch(*present, {});
    }
  }
}

// Gives up a single call. The relay stays open, since it has answered others in
// the meantime.
void RelayLink::GiveUpCall(std::uint64_t id) {
  ++this->call_counts.lost;
  this->Fulfill({id, scheduler::OrderResult::kRelayLost});
}

kj::Promise<RelayAnswer> RelayLink::Call(CallBody body,
                                         Milliseconds worker_timeout) {
  if (!this->is_open()) {
    return RelayAnswer{0, scheduler::OrderResult::kNotSent};
  }
  const std::uint64_t id = ++this->last_id;
  const SteadyTime now = this->clock.SteadyNow();
  auto paf = kj::newPromiseAndFulfiller<RelayAnswer>();
  this->calls_by_id.emplace(
      id, OpenCall{kj::mv(paf.fulfiller), now,
                   now + kMaxTries * worker_timeout + kAnswerSlack});
  this->Enqueue(std::move(body), id);
  return kj::mv(paf.promise);
}

void RelayLink::CloseConnectionsTo(const WorkerId& worker) {
  if (this->is_open()) {
    this->Enqueue(ForgetCall{worker}, ++this->last_id);
  }
}

void RelayLink::Enqueue(CallBody body, std::uint64_t id) {
  const bool is_urgent = IsOrder(body);
  this->queue.push_back(RelayCall{.id = id, .body = std::move(body)});
  this->ScheduleFlush(is_urgent);
}

// Orders of one planning pass are sent together, with all queued renewals.
void RelayLink::ScheduleFlush(bool is_urgent) {
  if (is_urgent && !std::exchange(this->is_urgent_flush_scheduled, true)) {
    this->tasks.add(kj::evalLater([this] {
      this->is_urgent_flush_scheduled = false;
      this->Flush();
    }));
  }
  if (!is_urgent && !std::exchange(this->is_flush_scheduled, true)) {
    this->tasks.add(this->timer.afterDelay(ToKj(kBatchDelay)).then([this] {
      this->is_flush_scheduled = false;
      this->Flush();
    }));
  }
}

// NOTE: The lease is checked when the calls are sent, since a process that was
// suspended must not send them after it resumes without a lease.
void RelayLink::Flush() {
  if (this->queue.empty()) {
    return;
  }
  const std::optional<SteadyTime> lease_end = this->host.lease_end();
  KJ_IF_MAYBE (present, this->relay) {
    if (lease_end) {
      this->SendQueue(*present, *lease_end);
      return;
    }
  }
  this->FailQueued();
}

void RelayLink::FailQueued() {
  for (const RelayCall& call : std::exchange(this->queue, {})) {
    this->Fulfill({call.id, scheduler::OrderResult::kNotSent});
  }
}

void RelayLink::SendQueue(wire::Relay::Client& present, SteadyTime lease_end) {
  const std::optional<RelayTime> expires =
      this->relay_clock.LowerBoundAt(lease_end, this->clock.SteadyNow());
  if (!expires) {
    this->Close("its clock is not known any more");
    return;
  }
  std::vector<RelayCall> batch;
  for (RelayCall& call : std::exchange(this->queue, {})) {
    call.expires = *expires;
    batch.push_back(std::move(call));
    if (batch.size() == kMaxCallsPerBatch) {
      this->SendBatch(present, batch);
      batch.clear();
    }
  }
  if (!batch.empty()) {
    this->SendBatch(present, batch);
  }
}

// Sends a batch; one without calls only reads the relay's clock.
void RelayLink::SendBatch(wire::Relay::Client& present,
                          const std::vector<RelayCall>& calls) {
  auto request = present.carryRequest();
  WriteCalls(calls, request.initCalls());
  this->call_counts.calls += calls.size();
  ++this->call_counts.batches;
  this->clock_read_at = this->clock.SteadyNow();
  auto carried = this->channel.Guard(kRelayTimeout,
                                     request.send().then([](auto&& response) {
                                       return RelayTime(response.getClockMs());
                                     }));
  this->tasks.add(carried.then(
      [this, own_generation = this->generation](RelayTime reading) {
        if (own_generation == this->generation) {
          this->relay_clock.RecordReading(reading, this->clock.SteadyNow());
        }
      },
      [this, own_generation = this->generation](kj::Exception&& exception) {
        if (own_generation == this->generation) {
          this->Close(exception.getDescription().cStr());
        }
      }));
}

void RelayLink::HandleAnswers(wire::RelayedAnswers::Reader answers) {
  this->relay_clock.RecordReading(RelayTime(answers.getClockMs()),
                                  this->clock.SteadyNow());
  this->answered_at = this->clock.SteadyNow();
  ++this->call_counts.answer_batches;
  for (const auto item : answers.getAnswers()) {
    ++this->call_counts.answers;
    RelayAnswer answer = ReadAnswer(item);
    answer.is_refused_by_relay =
        answer.result == scheduler::OrderResult::kNotSent;
    this->Fulfill(std::move(answer));
  }
}

void RelayLink::Fulfill(RelayAnswer&& answer) {
  const auto found = this->calls_by_id.find(answer.id);
  if (found != this->calls_by_id.end()) {
    found->second.fulfiller->fulfill(std::move(answer));
    this->calls_by_id.erase(found);
  }
}

void RelayLink::taskFailed(kj::Exception&& exception) {
  LogEvent(LogLevel::kError, "task-failed",
           {{"error", exception.getDescription().cStr()}});
}

}  // namespace sumac::relay
