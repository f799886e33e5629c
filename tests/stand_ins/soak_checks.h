// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_SOAK_CHECKS_H_
#define TESTS_STAND_INS_SOAK_CHECKS_H_

#include <string>
#include <vector>

#include "tests/stand_ins/soak_history.h"

namespace sumac::stand_ins {

// Each of these tells, one text for each case, where a history breaks one
// promise of the system.

// No task runs twice at once, and none starts after an end that the system
// acknowledged as done.
std::vector<std::string> FindDoubleRuns(const SoakHistory& history);

// Nothing starts for a job that nobody sent, that was refused at every attempt,
// that was shown as done, or that was cancelled.
std::vector<std::string> FindUnaskedRuns(const SoakHistory& history);

// Answers are whole; an accepted job is known, never shown older than before,
// and shown as done only once all its tasks have ended so.
std::vector<std::string> FindWrongAnswers(const SoakHistory& history);

// No stop takes a lasting task away while as many others of its step are away
// as its budget allows.
std::vector<std::string> FindBudgetOverruns(const SoakHistory& history);

// What must hold once all faults are over and callers stopped asking: accepted
// jobs that nobody cancelled are done.
std::vector<std::string> FindUnfinishedJobs(const SoakHistory& history);

// All of the above but the last, and processes that ended by themselves.
std::vector<std::string> FindBrokenPromises(const SoakHistory& history);

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_SOAK_CHECKS_H_
