// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "tests/libraries/scheduler/run_history.h"

namespace sumac::scheduler {
namespace {

constexpr int kMostHappenings = 40;

// The events of most histories. Jobs and changes of leader are more frequent
// than the rest.
std::vector<Kind> CommonKinds() {
  return {Kind::kSubmit, Kind::kSubmit,       Kind::kChangeLeader,
          Kind::kFail,   Kind::kChangeLeader, Kind::kCut,
          Kind::kHeal,   Kind::kDelayAnswers, Kind::kWork,
          Kind::kCommit, Kind::kStopSlowly};
}

// The same with losses, refusals and restarts.
std::vector<Kind> FaultyKinds() {
  std::vector<Kind> kinds = CommonKinds();
  kinds.insert(kinds.end(),
               {Kind::kRestart, Kind::kAnnounceLate, Kind::kLoseOrders,
                Kind::kLoseReports, Kind::kRefuseStarts, Kind::kRefuseStops,
                Kind::kHideInstances});
  return kinds;
}

// Adds events of relays, as frequent as all other `kinds` together.
std::vector<Kind> WithRelayKinds(std::vector<Kind> kinds) {
  constexpr std::array kOfRelays = {Kind::kPauseRelay, Kind::kLoseRelay,
                                    Kind::kCutRelay, Kind::kMoveCalls};
  const std::size_t others = kinds.size();
  for (std::size_t added = 0; added < others; ++added) {
    kinds.push_back(kOfRelays.at(added % kOfRelays.size()));
  }
  return kinds;
}

rc::Gen<std::vector<Happening>> GenerateHistory(
    const std::vector<Kind>& kinds) {
  constexpr int kWhole = 100;
  constexpr int kLongestPause = 400;
  return rc::gen::resize(
      kMostHappenings,
      rc::gen::container<std::vector<Happening>>(rc::gen::build<Happening>(
          rc::gen::set(&Happening::kind, rc::gen::elementOf(kinds)),
          rc::gen::set(&Happening::worker,
                       rc::gen::inRange(0, kHistoryWorkers)),
          rc::gen::set(
              &Happening::amount,
              rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, kWhole))),
          rc::gen::set(&Happening::pause_ms,
                       rc::gen::resize(rc::kNominalSize,
                                       rc::gen::inRange(0, kLongestPause))))));
}

enum class Leases { kLong, kShort };
enum class Calls { kByTheLeader, kByRelays };

void Check(const std::vector<Kind>& kinds,
           Leases leases,
           Calls calls = Calls::kByTheLeader) {
  RunHistory history(*rc::gen::inRange<std::uint64_t>(1, 1'000'000));
  if (leases == Leases::kShort) {
    history.ShortenLeases();
  }
  if (calls == Calls::kByRelays) {
    history.UseRelays();
  }
  for (const Happening& happening : *GenerateHistory(kinds)) {
    history.Happen(happening);
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
  std::vector<Kind> kinds = CommonKinds();
  kinds.insert(kinds.end(), {Kind::kMoveQueue, Kind::kMoveQueue});
  Check(kinds, Leases::kLong);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereOrdersComeTwice, ()) {
  std::vector<Kind> kinds = FaultyKinds();
  kinds.insert(kinds.end(), {Kind::kResend, Kind::kResend});
  Check(kinds, Leases::kLong);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereWorkersStartAgain, ()) {
  std::vector<Kind> kinds = FaultyKinds();
  kinds.insert(kinds.end(),
               {Kind::kStartAgain, Kind::kStartAgain, Kind::kStartAgain,
                Kind::kAnnounceEarlier, Kind::kResend});
  Check(kinds, *rc::gen::element(Leases::kLong, Leases::kShort));
}

RC_GTEST_PROP(RunUniquenessPropertyTest, BudgetsHoldInAnyHistory, ()) {
  std::vector<Kind> kinds = CommonKinds();
  kinds.insert(kinds.end(),
               {Kind::kSubmitLasting, Kind::kSubmitLasting, Kind::kCordon,
                Kind::kCordon, Kind::kRestart, Kind::kLoseReports});
  Check(kinds, Leases::kLong);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunInAnyHistory, ()) {
  std::vector<Kind> kinds = FaultyKinds();
  kinds.insert(kinds.end(), {Kind::kMoveQueue, Kind::kResend, Kind::kStartAgain,
                             Kind::kAnnounceEarlier});
  Check(kinds, *rc::gen::element(Leases::kLong, Leases::kShort));
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereRelaysMakeTheCalls, ()) {
  Check(WithRelayKinds(CommonKinds()), Leases::kLong, Calls::kByRelays);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereMuchFailsBesideRelays, ()) {
  std::vector<Kind> kinds = FaultyKinds();
  kinds.insert(kinds.end(),
               {Kind::kStartAgain, Kind::kAnnounceEarlier, Kind::kMoveQueue});
  Check(WithRelayKinds(kinds), *rc::gen::element(Leases::kLong, Leases::kShort),
        Calls::kByRelays);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, BudgetsHoldWhereRelaysMakeCalls, ()) {
  std::vector<Kind> kinds = CommonKinds();
  kinds.insert(kinds.end(),
               {Kind::kSubmitLasting, Kind::kSubmitLasting, Kind::kCordon,
                Kind::kCordon, Kind::kRestart, Kind::kLoseReports});
  Check(WithRelayKinds(kinds), Leases::kLong, Calls::kByRelays);
}

}  // namespace
}  // namespace sumac::scheduler
