// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_SUSPENDABLE_CLOCK_H_
#define TESTS_STAND_INS_SUSPENDABLE_CLOCK_H_

#include "libraries/base/time.h"

namespace sumac {

// Lets this program's machine seem to have been suspended for so long: the
// clocks that count that time jump, and the others go on. For programs that are
// linked with suspendable_clock.cc.
void PassSuspended(Milliseconds time);

}  // namespace sumac

#endif  // TESTS_STAND_INS_SUSPENDABLE_CLOCK_H_
