// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_KJ_TIME_H_
#define LIBRARIES_BASE_KJ_TIME_H_

#include <kj/time.h>

#include "libraries/base/time.h"

namespace sumac {

// Converts a duration to kj's type.
inline kj::Duration ToKj(Milliseconds time) {
  return time.count() * kj::MILLISECONDS;
}

}  // namespace sumac

#endif  // LIBRARIES_BASE_KJ_TIME_H_
