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

constexpr Milliseconds kOpenInterval{500};
// A relay that does not answer within this is given up: workers' leases outlast
// several such times.
constexpr Milliseconds kRelayTimeout{1'000};
// Renewals wait this long for others, so that a batch carries several; orders
// leave at once.
constexpr Milliseconds kBatchDelay{10};
// Beyond the time that a call takes its worker, twice if its connection turns
// out to be closed, for the way to the relay and its turn there.
constexpr Milliseconds kAnswerSlack{2'000};
constexpr int kMaxTries = 2;
// Without calls the relay's clock is read this often.
constexpr Milliseconds kClockReadInterval{1'000};
// A message of some hundred kilobytes; the largest that is taken is 64 MiB.
constexpr std::size_t kMaxCallsPerBatch = 512;

bool IsOrder(const CallBody& body) {
  return !std::holds_alternative<RenewCall>(body) &&
         !std::holds_alternative<ForgetCall>(body);
}

}  // namespace

// The relay holds it, and may do so for longer than the link lives.
class RelayLink::AnswerSink final : public wire::RelayAnswers::Server {
 public:
  explicit AnswerSink(RelayLink& link) : link(&link) {}
  ~AnswerSink() noexcept {
    if (this->link != nullptr && this->link->sink == this) {
      this->link->sink = nullptr;
    }
  }

  // Answers go nowhere from now on.
  void Detach() { this->link = nullptr; }

  kj::Promise<void> take(TakeContext context) override {
    if (this->link != nullptr) {
      this->link->Take(context.getParams().getAnswers());
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

// What has left may still be carried out; what has not never will.
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
  auto lost = std::exchange(this->open, {});
  for (auto& [id, call] : lost) {
    call.fulfiller->fulfill(
        RelayAnswer{id, scheduler::OrderResult::kRelayLost});
  }
  this->done.lost += lost.size();
  if (was_open) {
    LogEvent(LogLevel::kWarning, "relay-closed",
             {{"relay", this->channel.address()},
              {"reason", reason},
              {"open_calls", lost.size()}});
    this->host.on_change();
  }
}

// NOTE: A loop that reads late may have the answers in its sockets, unread.
void RelayLink::CheckOpenCalls(SteadyTime now) {
  std::vector<std::uint64_t> overdue;
  for (const auto& [id, call] : this->open) {
    if (call.due + ReadLateness() >= now) {
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

// One call without an answer among others that were answered says nothing
// against the relay.
void RelayLink::GiveUpCall(std::uint64_t id) {
  ++this->done.lost;
  this->Fulfill({id, scheduler::OrderResult::kRelayLost});
}

kj::Promise<RelayAnswer> RelayLink::Call(CallBody body, Milliseconds limit) {
  if (!this->is_open()) {
    return RelayAnswer{0, scheduler::OrderResult::kNotSent};
  }
  const std::uint64_t id = ++this->last_id;
  const SteadyTime now = this->clock.SteadyNow();
  auto paf = kj::newPromiseAndFulfiller<RelayAnswer>();
  this->open.emplace(id, OpenCall{kj::mv(paf.fulfiller), now,
                                  now + kMaxTries * limit + kAnswerSlack});
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

// Orders of one pass leave together, with all renewals that wait.
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

// NOTE: The lease is checked as the calls leave: a process that was suspended
// must send nothing when it goes on.
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

// Without calls it only reads the relay's clock.
void RelayLink::SendBatch(wire::Relay::Client& present,
                          const std::vector<RelayCall>& calls) {
  auto request = present.carryRequest();
  WriteCalls(calls, request.initCalls());
  this->done.calls += calls.size();
  ++this->done.batches;
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

void RelayLink::Take(wire::RelayedAnswers::Reader answers) {
  this->relay_clock.RecordReading(RelayTime(answers.getClockMs()),
                                  this->clock.SteadyNow());
  this->answered_at = this->clock.SteadyNow();
  ++this->done.answer_batches;
  for (const auto item : answers.getAnswers()) {
    ++this->done.answers;
    RelayAnswer answer = ReadAnswer(item);
    answer.is_refused_by_relay =
        answer.result == scheduler::OrderResult::kNotSent;
    this->Fulfill(std::move(answer));
  }
}

void RelayLink::Fulfill(RelayAnswer&& answer) {
  const auto found = this->open.find(answer.id);
  if (found != this->open.end()) {
    found->second.fulfiller->fulfill(std::move(answer));
    this->open.erase(found);
  }
}

void RelayLink::taskFailed(kj::Exception&& exception) {
  LogEvent(LogLevel::kError, "task-failed",
           {{"error", exception.getDescription().cStr()}});
}

}  // namespace sumac::relay
