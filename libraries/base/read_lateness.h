// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_READ_LATENESS_H_
#define LIBRARIES_BASE_READ_LATENESS_H_

#include "libraries/base/time.h"

namespace sumac {

// The time that received bytes wait in their socket until this thread's event
// loop reads them, as last measured; 0 on threads that don't measure it. The
// timers of an overloaded loop may be punctual even so, since the loop checks
// them between any two sockets.
inline Milliseconds& ReadLateness() {
  thread_local Milliseconds lateness{0};
  return lateness;
}

}  // namespace sumac

#endif  // LIBRARIES_BASE_READ_LATENESS_H_
