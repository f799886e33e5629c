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

// In-memory relays between a leader and its workers. A relay sends a call
// before it expires or not at all; a call that was sent may be carried out
// seconds later, whatever happens to the relay and the leader.
class FakeRelays {
 public:
  static constexpr std::size_t kCount = 2;

  explicit FakeRelays(std::uint64_t seed);

  // Accepts a call. Returns false if the leader has to make it directly.
  bool Carry(const WorkerId& worker, const CarriedCall& call, SteadyTime now);
  // Handles everything that is due.
  void Step(SteadyTime now);

  // Pause stops the relay's process while its network continues; Resume resumes
  // it.
  void Pause(std::size_t relay) { this->relays.at(relay).is_paused = true; }
  void Resume(std::size_t relay) { this->relays.at(relay).is_paused = false; }
  // The relay's process dies and is restarted immediately.
  void Lose(std::size_t relay, SteadyTime now);
  // While the relay is cut off, it receives nothing from the workers, and what
  // it sends to them is late or lost.
  void CutOff(std::size_t relay) { this->relays.at(relay).is_cut = true; }
  void Heal(std::size_t relay) { this->relays.at(relay).is_cut = false; }
  // Routes the next calls to the worker another way.
  void Move(const WorkerId& worker, SteadyTime now);
  // Ends the leadership of the present leader and begins the next one.
  void ChangeLeader(SteadyTime now);

  // Returns false if nothing may be started on the worker, as far as the relays
  // know.
  std::function<bool(const WorkerId&)> may_start_on = [](const WorkerId&) {
    return true;
  };

  // The number of calls that were carried out after their relay was lost.
  std::uint64_t late_calls() const { return this->late_call_count; }

 private:
  enum class Stage {
    // The call waits in the relay.
    kHeld,
    // The call was sent and is not answered yet.
    kSent,
    // The relay knows the outcome of the call.
    kAnswered,
    // Neither relay nor leader waits for the call any more, though it may still
    // be carried out.
    kAbandoned,
  };
  struct Call {
    WorkerId worker;
    CarriedCall body;
    Stage stage = Stage::kHeld;
    // Whether the leader still waits for the call.
    bool is_open = true;
    // The earliest time at which the call can be sent, and the time by which it
    // must be sent.
    SteadyTime leaves_at{};
    SteadyTime expires{};
    // When the call is carried out; never if the network lost it.
    SteadyTime arrives_at = SteadyTime::max();
    bool loses_answer = false;
    // When the relay stops waiting for the worker.
    SteadyTime unanswered_at = SteadyTime::max();
    // When the leader gives up on the relay.
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
  bool MaySend(const Call& call, SteadyTime now) const;
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
