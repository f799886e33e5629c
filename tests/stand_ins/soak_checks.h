// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_SOAK_CHECKS_H_
#define TESTS_STAND_INS_SOAK_CHECKS_H_

#include <string>
#include <vector>

#include "tests/stand_ins/soak_history.h"

namespace sumac::stand_ins {

// Each of these functions checks one guarantee of the system and returns one
// text for each violation in a history.

// No task runs twice at once, and none starts after an end that the system
// acknowledged as done.
std::vector<std::string> FindDoubleRuns(const SoakHistory& history);

// No task starts of a job that no caller submitted, that was refused at every
// attempt, that was shown as done, or that was cancelled, also if it was not
// known then.
std::vector<std::string> FindUnrequestedRuns(const SoakHistory& history);

// Answers are complete; an accepted job is known, its shown state never goes
// back, and it is shown as done only once all its tasks ended as done.
std::vector<std::string> FindWrongAnswers(const SoakHistory& history);

// No stop order ends a lasting task while as many other tasks of its step are
// away as the disruption budget allows.
std::vector<std::string> FindBudgetOverruns(const SoakHistory& history);

// Once all faults are over and callers have stopped asking, accepted jobs that
// were not cancelled are done.
std::vector<std::string> FindUnfinishedJobs(const SoakHistory& history);

// Returns the violations of all guarantees above except the last, and the
// processes that ended by themselves.
std::vector<std::string> FindViolations(const SoakHistory& history);

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_SOAK_CHECKS_H_
