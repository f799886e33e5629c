// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_KJ_ACCEPT_H_
#define LIBRARIES_BASE_KJ_ACCEPT_H_

#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/exception.h>
#include <kj/timer.h>

#include <functional>

#include "libraries/base/kj_time.h"

namespace sumac {

// The pause before the next accept after a failed one.
inline constexpr Milliseconds kAcceptPause{50};

// Accepts connections and passes each to `serve`, until the promise is
// destroyed. The next one is accepted once the promise of `serve` is fulfilled.
// A failed accept is usually temporary, as when the process is out of
// descriptors: it is passed to `report`, and the next one follows after a
// pause.
// NOTE: kj's accept() throws where it can fail at once, so a second failure in
// a row is no rejected promise.
inline kj::Promise<void> AcceptConnections(
    kj::ConnectionReceiver& receiver,
    kj::Timer& timer,
    const std::function<kj::Promise<void>(kj::Own<kj::AsyncIoStream>)>& serve,
    const std::function<void(const kj::Exception&)>& report) {
  return kj::evalNow([&receiver] { return receiver.accept(); })
      .then([serve](kj::Own<kj::AsyncIoStream>&& stream) {
        return serve(kj::mv(stream));
      })
      .catch_([&timer, report](kj::Exception&& error) {
        report(error);
        return timer.afterDelay(ToKj(kAcceptPause));
      })
      .then([&receiver, &timer, serve, report] {
        return AcceptConnections(receiver, timer, serve, report);
      });
}

}  // namespace sumac

#endif  // LIBRARIES_BASE_KJ_ACCEPT_H_
