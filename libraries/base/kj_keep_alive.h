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

// TCP settings by which the kernel closes a connection whose peer is gone:
// after the idle time and a number of unanswered probes, or when sent bytes
// stay unacknowledged for too long. Calls have shorter limits of their own.
// These settings are for connections without an open call, above all the
// incoming ones, which would otherwise be kept forever.
struct KeepAlive {
  static constexpr std::chrono::seconds kIdleTime{5};
  static constexpr std::chrono::seconds kProbeInterval{1};
  static constexpr int kProbes = 3;
  static constexpr Milliseconds kUnacknowledgedTime{8'000};

  // Applies the settings to one connection. Returns the error if that fails;
  // the connection can be used even then.
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
