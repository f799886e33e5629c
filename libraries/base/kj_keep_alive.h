// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_KJ_KEEP_ALIVE_H_
#define LIBRARIES_BASE_KJ_KEEP_ALIVE_H_

#include <kj/async-io.h>
#include <kj/exception.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "libraries/base/time.h"

namespace sumac {

// When the kernel gives up a connection on whose other side nobody is left:
// idle for so long, then so many probes without an answer; or bytes of ours
// unacknowledged for so long. Calls have shorter limits of their own. These are
// for connections on which none is open, above all those that others opened,
// which would be kept for good.
struct KeepAlive {
  static constexpr std::chrono::seconds kIdleTime{5};
  static constexpr std::chrono::seconds kProbeInterval{1};
  static constexpr int kProbes = 3;
  static constexpr Milliseconds kUnacknowledgedTime{8'000};

  // Sets it up for one connection; the error if it can't be. Such a connection
  // serves all the same.
  static kj::Maybe<kj::Exception> TryApply(kj::AsyncIoStream& stream) {
    return kj::runCatchingExceptions([&stream] { Apply(stream); });
  }

 private:
  static void Apply(kj::AsyncIoStream& stream) {
    Set(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
    Set(stream, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(kIdleTime.count()));
    Set(stream, IPPROTO_TCP, TCP_KEEPINTVL,
        static_cast<int>(kProbeInterval.count()));
    Set(stream, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
    Set(stream, IPPROTO_TCP, TCP_USER_TIMEOUT,
        static_cast<int>(kUnacknowledgedTime.count()));
  }

  static void Set(kj::AsyncIoStream& stream, int level, int option, int value) {
    stream.setsockopt(level, option, &value, sizeof(value));
  }
};

}  // namespace sumac

#endif  // LIBRARIES_BASE_KJ_KEEP_ALIVE_H_
