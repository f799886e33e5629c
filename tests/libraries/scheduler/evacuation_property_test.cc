// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <vector>

#include "tests/libraries/scheduler/history_generator.h"
#include "tests/libraries/scheduler/run_history.h"

namespace sumac::scheduler {
namespace {

// Evacuations and withdrawals, with copies of them that are delayed, beside
// submissions and losses of leaders, calls and workers.
std::vector<EventKind> EvacuationKinds() {
  return {EventKind::kEvacuate,     EventKind::kEvacuate,
          EventKind::kReturnToUse,  EventKind::kReturnToUse,
          EventKind::kDelayOrder,   EventKind::kSubmit,
          EventKind::kSubmit,       EventKind::kSubmit,
          EventKind::kChangeLeader, EventKind::kChangeLeader,
          EventKind::kLoseOrders,   EventKind::kRestart,
          EventKind::kRefuseStarts, EventKind::kRestartUnderName,
          EventKind::kFail,         EventKind::kWork,
          EventKind::kCut,          EventKind::kHeal,
          EventKind::kResend,       EventKind::kSubmitLongRunning};
}

// Mostly what leaves starts in relays while a data centre is evacuated.
std::vector<EventKind> RelayKinds() {
  return {
      EventKind::kEvacuate,     EventKind::kEvacuate,    EventKind::kEvacuate,
      EventKind::kReturnToUse,  EventKind::kReturnToUse, EventKind::kDelayOrder,
      EventKind::kSubmit,       EventKind::kSubmit,      EventKind::kSubmit,
      EventKind::kSubmit,       EventKind::kPauseRelay,  EventKind::kPauseRelay,
      EventKind::kPauseRelay,   EventKind::kPauseRelay,  EventKind::kPauseRelay,
      EventKind::kLoseRelay,    EventKind::kCutRelay,    EventKind::kMoveCalls,
      EventKind::kChangeLeader, EventKind::kRestart};
}

enum class Calls { kByTheLeader, kByRelays };

// Checks that no start leaves the leader, or a relay, for a data centre that is
// evacuated as far as that process knows, and that no delayed order has an
// effect. Once all data centres are in use again, all jobs end.
void Check(const std::vector<EventKind>& kinds, Calls calls) {
  RunHistory history(*rc::gen::inRange<std::uint64_t>(1, 1'000'000));
  history.UseDataCentres();
  if (calls == Calls::kByRelays) {
    history.UseRelays();
  }
  std::size_t evacuations = 0;
  for (const HistoryEvent& event : *GenerateHistory(kinds)) {
    evacuations += static_cast<std::size_t>(event.kind == EventKind::kEvacuate);
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
  RC_CLASSIFY(evacuations > 0, "evacuated");
}

RC_GTEST_PROP(EvacuationPropertyTest, NoStartLeavesForAnEvacuatedOne, ()) {
  Check(EvacuationKinds(), Calls::kByTheLeader);
}

RC_GTEST_PROP(EvacuationPropertyTest, NoRelayCarriesAStartThere, ()) {
  Check(RelayKinds(), Calls::kByRelays);
}

}  // namespace
}  // namespace sumac::scheduler
