// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_SCHEDULER_FAKE_RELAYS_H_
#define TESTS_LIBRARIES_SCHEDULER_FAKE_RELAYS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/relay/relay_routes.h"
#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {

// Relays between a leader and its workers, in memory. A call leaves its relay
// before it expires or not at all; what has left may be carried out seconds
// later, whatever becomes of the relay and of the leader.
class FakeRelays {
 public:
  static constexpr std::size_t kCount = 2;

  explicit FakeRelays(std::uint64_t seed);

  // Takes a call; false if the leader makes it by itself.
  bool Carry(const WorkerId& worker, const CarriedCall& call, SteadyTime now);
  // Everything due happens.
  void Step(SteadyTime now);

  // The process stops, with its network going on without it, and goes on.
  void Pause(std::size_t relay) { this->relays.at(relay).is_paused = true; }
  void GoOn(std::size_t relay) { this->relays.at(relay).is_paused = false; }
  // The process dies, and is started again at once.
  void Lose(std::size_t relay, SteadyTime now);
  // Nothing comes from the workers to the relay; what it sends to them is late,
  // or lost.
  void CutOff(std::size_t relay) { this->relays.at(relay).is_cut = true; }
  void Heal(std::size_t relay) { this->relays.at(relay).is_cut = false; }
  // The next calls to the worker go another way.
  void Move(const WorkerId& worker, SteadyTime now);
  // The lease of the leader is over; the next one begins.
  void ChangeLeader(SteadyTime now);

  // How many calls of lost relays were carried out after that.
  std::uint64_t late_calls() const { return this->late_call_count; }

 private:
  enum class Stage {
    // In the relay.
    kHeld,
    // It has left, and nothing was answered yet.
    kSent,
    // What became of it is known in the relay.
    kAnswered,
    // Nobody waits for it any more, though it may still be carried out.
    kForgotten,
  };
  struct Call {
    WorkerId worker;
    CarriedCall body;
    Stage stage = Stage::kHeld;
    // The leader still waits for it.
    bool is_open = true;
    // When it can leave, and by when it must have left.
    SteadyTime leaves_at{};
    SteadyTime expires{};
    // When it is carried out; never if the network lost it.
    SteadyTime arrives_at = SteadyTime::max();
    bool loses_answer = false;
    // When the relay gives up waiting for the worker.
    SteadyTime unanswered_at = SteadyTime::max();
    // When the leader gives up the relay.
    SteadyTime due{};
    std::function<void()> answer;
  };
  struct Relay {
    bool is_paused = false;
    bool is_cut = false;
    bool is_open = true;
    SteadyTime closed_at{};
    std::vector<Call> calls;
  };

  void Open(std::size_t number);
  void Close(std::size_t number, SteadyTime now);
  void StepRelay(std::size_t number, SteadyTime now);
  void Release(const Relay& relay, Call& call, SteadyTime now);
  void Delay(Call& call, SteadyTime now);
  void CarryOut(Call& call);
  void Answer(std::size_t number, Call& call, SteadyTime now);
  Milliseconds Draw(Milliseconds most);

  std::mt19937_64 random;
  relay::RelayRoutes routes;
  std::array<Relay, kCount> relays;
  std::uint64_t late_call_count = 0;
};

}  // namespace sumac::scheduler

#endif  // TESTS_LIBRARIES_SCHEDULER_FAKE_RELAYS_H_
