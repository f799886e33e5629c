// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_SCHEDULER_HISTORY_GENERATOR_H_
#define TESTS_LIBRARIES_SCHEDULER_HISTORY_GENERATOR_H_

#include <rapidcheck.h>

#include <vector>

#include "tests/libraries/scheduler/run_history.h"

namespace sumac::scheduler {

// Generates histories of events of the given kinds; a kind that is contained
// several times is as many times as frequent.
inline rc::Gen<std::vector<HistoryEvent>> GenerateHistory(
    const std::vector<EventKind>& kinds) {
  constexpr int kMaxHistoryEvents = 40;
  constexpr int kWhole = 100;
  constexpr int kLongestPause = 400;
  return rc::gen::resize(
      kMaxHistoryEvents,
      rc::gen::container<std::vector<HistoryEvent>>(
          rc::gen::build<HistoryEvent>(
              rc::gen::set(&HistoryEvent::kind, rc::gen::elementOf(kinds)),
              rc::gen::set(&HistoryEvent::worker,
                           rc::gen::inRange(0, kHistoryWorkers)),
              rc::gen::set(&HistoryEvent::amount,
                           rc::gen::resize(rc::kNominalSize,
                                           rc::gen::inRange(0, kWhole))),
              rc::gen::set(
                  &HistoryEvent::pause_ms,
                  rc::gen::resize(rc::kNominalSize,
                                  rc::gen::inRange(0, kLongestPause))))));
}

}  // namespace sumac::scheduler

#endif  // TESTS_LIBRARIES_SCHEDULER_HISTORY_GENERATOR_H_
