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

// The kinds of events that may happen to a fleet.
enum class EventKind {
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
  kSubmitLongRunning,
  kCordon,
  kRestartUnderName,
  kAnnounceEarlier,
  kPauseRelay,
  kLoseRelay,
  kCutRelay,
  kMoveCalls,
  kEvacuate,
  kReturnToUse,
  kDelayOrder,
};

struct HistoryEvent {
  EventKind kind = EventKind::kSubmit;
  int worker = 0;
  // The intensity of the event, from 0 to 99.
  int amount = 0;
  // The time that passes before the next event, in milliseconds.
  int pause_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const HistoryEvent& event);

// Which runs fail.
enum class Failing { kNone, kAll, kEveryOther };

// A fleet to which events happen, with models of the rules that must hold.
class RunHistory {
 public:
  explicit RunHistory(std::uint64_t seed);

  // Shortens the leases and the time after which a silent worker's record is
  // removed, so that both expire within a history.
  void ShortenLeases();

  // Lets the leaders tolerate the loss of a data centre: they then act on the
  // platform's list before a call has failed, and spread what lasts.
  void TolerateLoss();

  // Sends most calls through relays from now on.
  void UseRelays();

  // Puts each worker in a data centre of its own.
  void UseDataCentres();

  // Applies an event and lets the time after it pass.
  void ApplyEvent(const HistoryEvent& event);

  void PassTime(Milliseconds time);

  // Ends all faults; afterwards all accepted jobs must end.
  void Recover();
  bool is_finished() const { return this->fleet.state.active_jobs().empty(); }

  // The violations that were found; empty if there are none.
  std::string problem() const {
    return this->fleet.problem + this->ledger.problem + this->budgets.problem +
           this->data_centre_problem;
  }
  // The number of stops of tasks with a disruption budget.
  std::uint64_t budgeted_stops() const { return this->budgets.stops; }
  // The number of calls that were carried out after the leader had given them
  // up.
  std::uint64_t late_calls() const {
    return this->relays ? this->relays->late_calls() : 0;
  }

 private:
  FakeWorker& IncarnationOn(int number);
  void SubmitLongRunning(int amount);
  void Cordon(const FakeWorker& worker, bool is_cordoned);
  void Restart(int number);
  void RestartUnderName(int number);
  void AnnounceLate(const FakeWorker& present);
  void HarmRelay(const HistoryEvent& event);
  void Refuse(std::optional<OrderResult>& refusal, int amount);
  void ChangeDataCentre(const HistoryEvent& event);
  void CheckDataCentres();

  std::uint64_t seed;
  FakeFleet fleet;
  std::optional<FakeRelays> relays;
  RunLedger ledger;
  BudgetLedger budgets;
  Failing failing = Failing::kNone;
  int next_job = 0;
  int next_incarnation = 0;
  std::vector<JobId> long_running_jobs;
  std::set<InstanceName> cordoned;
  // The data centres that are evacuated by the orders that were acknowledged.
  std::set<DataCentre> evacuated;
  // The orders so far, of which delayed copies may arrive.
  std::vector<jobs::ChangeDataCentre> data_centre_orders;
  std::string data_centre_problem;
  // Incarnations that were followed by another one of the same name.
  std::vector<std::string> earlier_incarnations;
  // The present incarnation on each instance.
  std::array<std::string, kHistoryWorkers> incarnations = {"w0", "w1", "w2"};
};

}  // namespace sumac::scheduler

#endif  // TESTS_LIBRARIES_SCHEDULER_RUN_HISTORY_H_
