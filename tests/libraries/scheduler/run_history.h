// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_SCHEDULER_RUN_HISTORY_H_
#define TESTS_LIBRARIES_SCHEDULER_RUN_HISTORY_H_

#include <array>
#include <cstdint>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "tests/libraries/scheduler/budget_ledger.h"
#include "tests/libraries/scheduler/fake_fleet.h"
#include "tests/libraries/scheduler/fake_relays.h"
#include "tests/libraries/scheduler/run_ledger.h"

namespace sumac::scheduler {

constexpr int kHistoryWorkers = 3;

// What may happen to a fleet.
enum class Kind {
  kSubmit,
  kChangeLeader,
  kCut,
  kHeal,
  kRestart,
  kAnnounceLate,
  kLoseOrders,
  kLoseReports,
  kDelayAnswers,
  kFail,
  kWork,
  kCommit,
  kStopSlowly,
  kRefuseStarts,
  kRefuseStops,
  kHideInstances,
  kMoveQueue,
  kResend,
  kSubmitLasting,
  kCordon,
  kStartAgain,
  kAnnounceEarlier,
  kPauseRelay,
  kLoseRelay,
  kCutRelay,
  kMoveCalls,
};

struct Happening {
  Kind kind = Kind::kSubmit;
  int worker = 0;
  // How much of it, from 0 to 99.
  int amount = 0;
  // What passes before the next.
  int pause_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Happening& happening);

// Which runs fail.
enum class Failing { kNone, kAll, kEveryOther };

// A fleet to which things happen, with models of what must hold.
class RunHistory {
 public:
  explicit RunHistory(std::uint64_t seed);

  // Short leases and a short memory for silent workers, so that both run out.
  void ShortenLeases();

  // Most calls go through relays from now on.
  void UseRelays();

  // Lets it happen, and the time after it pass.
  void Happen(const Happening& happening);

  void PassTime(Milliseconds time);

  // Ends all faults; everything accepted has to end then.
  void Recover();
  bool is_finished() const { return this->fleet.state.active_jobs().empty(); }

  // What was found broken; empty while all holds.
  std::string problem() const {
    return this->fleet.problem + this->ledger.problem + this->budgets.problem;
  }
  // How many tasks with a disruption budget were stopped.
  std::uint64_t budgeted_stops() const { return this->budgets.stops; }
  // How many calls were carried out after the leader had given them up.
  std::uint64_t late_calls() const {
    return this->relays ? this->relays->late_calls() : 0;
  }

 private:
  FakeWorker& LifeOn(int number);
  void SubmitLasting(int amount);
  void Cordon(const FakeWorker& worker, bool is_cordoned);
  void Restart(int number);
  void StartAgain(int number);
  void AnnounceLate(const FakeWorker& present);
  void HarmRelay(const Happening& happening);
  void Refuse(std::optional<OrderResult>& refusal, int amount);

  std::uint64_t seed;
  FakeFleet fleet;
  std::optional<FakeRelays> relays;
  RunLedger ledger;
  BudgetLedger budgets;
  Failing failing = Failing::kNone;
  int next_job = 0;
  int next_life = 0;
  std::vector<JobId> lasting_jobs;
  std::set<InstanceName> cordoned;
  // Lives that were followed by another of their name.
  std::vector<std::string> earlier_lives;
  // The life on each instance now.
  std::array<std::string, kHistoryWorkers> lives = {"w0", "w1", "w2"};
};

}  // namespace sumac::scheduler

#endif  // TESTS_LIBRARIES_SCHEDULER_RUN_HISTORY_H_
