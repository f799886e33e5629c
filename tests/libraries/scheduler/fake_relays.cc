// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/scheduler/fake_relays.h"

#include <algorithm>
#include <utility>

namespace sumac::scheduler {
namespace {

constexpr Milliseconds kLongestHold{40};
constexpr Milliseconds kLongestWay{20};
constexpr Milliseconds kLongestLease{1'500};
constexpr Milliseconds kLatest{4'000};
constexpr Milliseconds kWorkerLimit{600};
constexpr Milliseconds kRelayLimit{1'000};
constexpr Milliseconds kReopenAfter{500};

}  // namespace

FakeRelays::FakeRelays(std::uint64_t seed) : random(seed) {
  for (std::size_t number = 0; number < kCount; ++number) {
    this->Open(number);
  }
}

Milliseconds FakeRelays::Draw(Milliseconds most) {
  std::uniform_int_distribution<std::int64_t> draw(0, most.count());
  return Milliseconds(draw(this->random));
}

void FakeRelays::Open(std::size_t number) {
  this->relays.at(number).is_open = true;
  this->routes.Add(number, DataCentre());
}

// The leader's open calls are lost to it. Calls held in the relay may still be
// sent in time.
void FakeRelays::Close(std::size_t number, SteadyTime now) {
  Relay& relay = this->relays.at(number);
  relay.is_open = false;
  relay.closed_at = now;
  this->routes.Remove(number);
  std::vector<CarriedCall> lost;
  for (Call& call : relay.calls) {
    if (std::exchange(call.is_open, false)) {
      lost.push_back(call.body);
    }
  }
  for (const CarriedCall& call : lost) {
    call.fail(OrderResult::kRelayLost);
  }
}

bool FakeRelays::Carry(const WorkerId& worker,
                       const CarriedCall& call,
                       SteadyTime now) {
  if (this->routes.empty()) {
    return false;
  }
  const std::size_t number = this->routes.Find(worker, DataCentre(), now);
  if (number == relay::RelayRoutes::kLeader) {
    return false;
  }
  this->relays.at(number).calls.push_back(
      Call{.worker = worker,
           .body = call,
           .leaves_at = now + this->Draw(kLongestHold),
           .expires = now + this->Draw(kLongestLease),
           .due = now + kRelayLimit});
  return true;
}

void FakeRelays::Step(SteadyTime now) {
  for (std::size_t number = 0; number < kCount; ++number) {
    Relay& relay = this->relays.at(number);
    const bool is_overdue = std::any_of(
        relay.calls.begin(), relay.calls.end(),
        [now](const Call& call) { return call.is_open && call.due < now; });
    if (relay.is_open && is_overdue) {
      this->Close(number, now);
    }
    if (!relay.is_open && !relay.is_paused &&
        now - relay.closed_at >= kReopenAfter) {
      this->Open(number);
    }
    this->StepRelay(number, now);
  }
}

void FakeRelays::StepRelay(std::size_t number, SteadyTime now) {
  Relay& relay = this->relays.at(number);
  for (Call& call : relay.calls) {
    if (call.stage == Stage::kHeld && !relay.is_paused &&
        now >= call.leaves_at) {
      this->Release(relay, call, now);
    }
    if (now >= call.arrives_at) {
      this->CarryOut(call);
    }
    if (!relay.is_paused) {
      this->Answer(number, call, now);
    }
  }
  std::erase_if(relay.calls, [](const Call& call) {
    const bool is_over =
        call.stage == Stage::kAbandoned || call.stage == Stage::kAnswered;
    return is_over && !call.answer && call.arrives_at == SteadyTime::max();
  });
}

void FakeRelays::Release(const Relay& relay, Call& call, SteadyTime now) {
  if (!this->MaySend(call, now)) {
    call.stage = Stage::kAnswered;
    call.answer = [fail = call.body.fail] { fail(OrderResult::kNotSent); };
    return;
  }
  call.body.on_sent();
  call.stage = Stage::kSent;
  call.unanswered_at = now + kWorkerLimit;
  call.arrives_at = now + this->Draw(kLongestWay);
  call.loses_answer = relay.is_cut;
  if (relay.is_cut) {
    this->Delay(call, now);
  }
}

bool FakeRelays::MaySend(const Call& call, SteadyTime now) const {
  return now < call.expires &&
         (!call.body.is_start || this->may_start_on(call.worker));
}

// A call whose connection broke is carried out late, or never.
void FakeRelays::Delay(Call& call, SteadyTime now) {
  const bool is_lost = this->Draw(Milliseconds(1)) == Milliseconds(0);
  call.arrives_at = is_lost ? SteadyTime::max() : now + this->Draw(kLatest);
}

void FakeRelays::CarryOut(Call& call) {
  call.arrives_at = SteadyTime::max();
  this->late_call_count += static_cast<std::uint64_t>(!call.is_open);
  std::function<void()> answer = call.body.carry_out();
  if (call.stage == Stage::kSent && !call.loses_answer && answer) {
    call.stage = Stage::kAnswered;
    call.answer = std::move(answer);
  }
}

void FakeRelays::Answer(std::size_t number, Call& call, SteadyTime now) {
  if (call.stage == Stage::kSent && now >= call.unanswered_at) {
    call.stage = Stage::kAbandoned;
    if (call.is_open) {
      this->routes.RecordFailure(call.worker, number, now);
    }
    call.answer = [fail = call.body.fail] { fail(OrderResult::kUnknown); };
  }
  if (call.answer) {
    const std::function<void()> answer = std::exchange(call.answer, nullptr);
    if (std::exchange(call.is_open, false)) {
      answer();
    }
  }
}

// The calls sent by then include calls that are sent at the last moment.
void FakeRelays::Lose(std::size_t number, SteadyTime now) {
  Relay& relay = this->relays.at(number);
  this->Close(number, now);
  for (Call& call : relay.calls) {
    const bool is_under_way = call.arrives_at != SteadyTime::max();
    const bool may_leave = call.stage == Stage::kHeld && !relay.is_paused &&
                           this->MaySend(call, now);
    if (may_leave) {
      call.body.on_sent();
    }
    if (is_under_way || may_leave) {
      this->Delay(call, now);
    }
    call.stage = Stage::kAbandoned;
    call.answer = nullptr;
  }
  relay.is_paused = false;
}

void FakeRelays::Move(const WorkerId& worker, SteadyTime now) {
  if (!this->routes.empty()) {
    this->routes.RecordFailure(
        worker, this->routes.Find(worker, DataCentre(), now), now);
  }
}

void FakeRelays::ChangeLeader(SteadyTime now) {
  this->routes = {};
  for (std::size_t number = 0; number < kCount; ++number) {
    Relay& relay = this->relays.at(number);
    for (Call& call : relay.calls) {
      call.is_open = false;
      call.expires = std::min(call.expires, now);
    }
    if (relay.is_open) {
      this->Open(number);
    }
  }
}

}  // namespace sumac::scheduler
