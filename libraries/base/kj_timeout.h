// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_KJ_TIMEOUT_H_
#define LIBRARIES_BASE_KJ_TIMEOUT_H_

#include <kj/async.h>
#include <kj/debug.h>
#include <kj/exception.h>
#include <kj/timer.h>

#include <optional>
#include <utility>

#include "libraries/base/kj_time.h"
#include "libraries/base/read_lateness.h"
#include "libraries/base/response_limit.h"

namespace sumac {

// Waits until an answer counts as missing; see ResponseLimit.
inline kj::Promise<void> AwaitLimit(kj::Timer& timer,
                                    ResponseLimit limit,
                                    Milliseconds wait) {
  return timer.afterDelay(ToKj(wait))
      .then([&timer, limit]() mutable -> kj::Promise<void> {
        const std::optional<Milliseconds> more =
            limit.ExtendWait(SystemClock().SteadyNow(), ReadLateness());
        if (!more) {
          return kj::READY_NOW;
        }
        return AwaitLimit(timer, limit, *more);
      });
}

// The promise, or a failure of the type OVERLOADED once no answer has come
// within `limit`; a loop that is late itself reads what has come first.
template <typename T>
kj::Promise<T> TimeoutAfter(kj::Timer& timer,
                            Milliseconds limit,
                            kj::Promise<T>&& promise) {
  const ResponseLimit response_limit(limit, SystemClock().SteadyNow());
  return promise.exclusiveJoin(
      AwaitLimit(timer, response_limit, limit).then([]() -> kj::Promise<T> {
        return KJ_EXCEPTION(OVERLOADED, "operation timed out");
      }));
}

}  // namespace sumac

#endif  // LIBRARIES_BASE_KJ_TIMEOUT_H_
