// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_SUSPENDABLE_CLOCK_H_
#define TESTS_STAND_INS_SUSPENDABLE_CLOCK_H_

#include "libraries/base/time.h"

namespace sumac {

// Simulates a suspension of the machine for this program: the clocks that
// include suspended time jump ahead by `time`, and the others are unchanged.
// For programs that are linked with suspendable_clock.cc.
void SimulateSuspension(Milliseconds time);

}  // namespace sumac

#endif  // TESTS_STAND_INS_SUSPENDABLE_CLOCK_H_
