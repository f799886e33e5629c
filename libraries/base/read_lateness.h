// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_READ_LATENESS_H_
#define LIBRARIES_BASE_READ_LATENESS_H_

#include "libraries/base/time.h"

namespace sumac {

// How long what comes to this thread's event loop waits in its socket until the
// loop reads it, as last measured; 0 where nobody measures it. Of a loop with
// too much to do the timers may be punctual all the same, since it looks at
// them between any two sockets.
inline Milliseconds& ReadLateness() {
  thread_local Milliseconds lateness{0};
  return lateness;
}

}  // namespace sumac

#endif  // LIBRARIES_BASE_READ_LATENESS_H_
