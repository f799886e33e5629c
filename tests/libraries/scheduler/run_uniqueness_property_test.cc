// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "tests/libraries/scheduler/history_generator.h"
#include "tests/libraries/scheduler/run_history.h"

namespace sumac::scheduler {
namespace {

// The events of most histories. Jobs and changes of leader are more frequent
// than the rest.
std::vector<EventKind> CommonKinds() {
  return {
      EventKind::kSubmit, EventKind::kSubmit,       EventKind::kChangeLeader,
      EventKind::kFail,   EventKind::kChangeLeader, EventKind::kCut,
      EventKind::kHeal,   EventKind::kDelayAnswers, EventKind::kWork,
      EventKind::kCommit, EventKind::kStopSlowly};
}

// The same with losses, refusals and restarts.
std::vector<EventKind> FaultyKinds() {
  std::vector<EventKind> kinds = CommonKinds();
  kinds.insert(kinds.end(), {EventKind::kRestart, EventKind::kAnnounceLate,
                             EventKind::kLoseOrders, EventKind::kLoseReports,
                             EventKind::kRefuseStarts, EventKind::kRefuseStops,
                             EventKind::kHideInstances});
  return kinds;
}

// Adds events of relays, as frequent as all other `kinds` together.
std::vector<EventKind> WithRelayKinds(std::vector<EventKind> kinds) {
  constexpr std::array kOfRelays = {EventKind::kPauseRelay,
                                    EventKind::kLoseRelay, EventKind::kCutRelay,
                                    EventKind::kMoveCalls};
  const std::size_t others = kinds.size();
  for (std::size_t added = 0; added < others; ++added) {
    kinds.push_back(kOfRelays.at(added % kOfRelays.size()));
  }
  return kinds;
}

enum class Leases { kLong, kShort };
enum class Calls { kByTheLeader, kByRelays };
enum class Losses { kNotTolerated, kTolerated };

void Check(const std::vector<EventKind>& kinds,
           Leases leases,
           Calls calls = Calls::kByTheLeader,
           Losses losses = Losses::kNotTolerated) {
  RunHistory history(*rc::gen::inRange<std::uint64_t>(1, 1'000'000));
  if (losses == Losses::kTolerated) {
    history.TolerateLoss();
  }
  if (leases == Leases::kShort) {
    history.ShortenLeases();
  }
  if (calls == Calls::kByRelays) {
    history.UseRelays();
  }
  for (const HistoryEvent& event : *GenerateHistory(kinds)) {
    history.ApplyEvent(event);
    if (!history.problem().empty()) {
      RC_FAIL(history.problem());
    }
  }
  history.Recover();
  if (!history.problem().empty()) {
    RC_FAIL(history.problem());
  }
  RC_ASSERT(history.is_finished());
  RC_CLASSIFY(history.budgeted_stops() > 0, "stopped within a budget");
  RC_CLASSIFY(history.late_calls() > 0, "calls carried out after all");
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereLeadersChange, ()) {
  Check(CommonKinds(), Leases::kLong);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereMuchFails, ()) {
  Check(FaultyKinds(), Leases::kLong);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereLeasesRunOut, ()) {
  Check(FaultyKinds(), Leases::kShort);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereQueuesMove, ()) {
  std::vector<EventKind> kinds = CommonKinds();
  kinds.insert(kinds.end(), {EventKind::kMoveQueue, EventKind::kMoveQueue});
  Check(kinds, Leases::kLong);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereOrdersComeTwice, ()) {
  std::vector<EventKind> kinds = FaultyKinds();
  kinds.insert(kinds.end(), {EventKind::kResend, EventKind::kResend});
  Check(kinds, Leases::kLong);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereWorkersStartAgain, ()) {
  std::vector<EventKind> kinds = FaultyKinds();
  kinds.insert(kinds.end(),
               {EventKind::kRestartUnderName, EventKind::kRestartUnderName,
                EventKind::kRestartUnderName, EventKind::kAnnounceEarlier,
                EventKind::kResend});
  Check(kinds, *rc::gen::element(Leases::kLong, Leases::kShort));
}

RC_GTEST_PROP(RunUniquenessPropertyTest, BudgetsHoldInAnyHistory, ()) {
  std::vector<EventKind> kinds = CommonKinds();
  kinds.insert(kinds.end(),
               {EventKind::kSubmitLongRunning, EventKind::kSubmitLongRunning,
                EventKind::kCordon, EventKind::kCordon, EventKind::kRestart,
                EventKind::kLoseReports});
  Check(kinds, Leases::kLong);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereALossIsTolerated, ()) {
  std::vector<EventKind> kinds = FaultyKinds();
  kinds.insert(kinds.end(),
               {EventKind::kSubmitLongRunning, EventKind::kCordon,
                EventKind::kRestartUnderName, EventKind::kAnnounceEarlier});
  Check(WithRelayKinds(kinds), *rc::gen::element(Leases::kLong, Leases::kShort),
        *rc::gen::element(Calls::kByTheLeader, Calls::kByRelays),
        Losses::kTolerated);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunInAnyHistory, ()) {
  std::vector<EventKind> kinds = FaultyKinds();
  kinds.insert(kinds.end(),
               {EventKind::kMoveQueue, EventKind::kResend,
                EventKind::kRestartUnderName, EventKind::kAnnounceEarlier});
  Check(kinds, *rc::gen::element(Leases::kLong, Leases::kShort));
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereRelaysMakeTheCalls, ()) {
  Check(WithRelayKinds(CommonKinds()), Leases::kLong, Calls::kByRelays);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereMuchFailsBesideRelays, ()) {
  std::vector<EventKind> kinds = FaultyKinds();
  kinds.insert(kinds.end(),
               {EventKind::kRestartUnderName, EventKind::kAnnounceEarlier,
                EventKind::kMoveQueue});
  Check(WithRelayKinds(kinds), *rc::gen::element(Leases::kLong, Leases::kShort),
        Calls::kByRelays);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, BudgetsHoldWhereRelaysMakeCalls, ()) {
  std::vector<EventKind> kinds = CommonKinds();
  kinds.insert(kinds.end(),
               {EventKind::kSubmitLongRunning, EventKind::kSubmitLongRunning,
                EventKind::kCordon, EventKind::kCordon, EventKind::kRestart,
                EventKind::kLoseReports});
  Check(WithRelayKinds(kinds), Leases::kLong, Calls::kByRelays);
}

}  // namespace
}  // namespace sumac::scheduler
