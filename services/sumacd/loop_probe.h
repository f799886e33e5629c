// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_LOOP_PROBE_H_
#define SERVICES_SUMACD_LOOP_PROBE_H_

#include <kj/async-io.h>
#include <kj/async.h>

#include <cstddef>
#include <functional>

#include "libraries/base/time.h"

namespace sumac::daemon {

// Measures how long received data waits until the process's event loop reads
// it, by sending a byte through a pipe. Timers don't show this, since the loop
// checks them between any two sockets. Runs on the core's event loop.
class LoopProbe : private kj::TaskSet::ErrorHandler {
 public:
  explicit LoopProbe(kj::AsyncIoProvider& provider);

  // Sends a byte, unless the last one has not arrived yet, and publishes the
  // lateness to the time limits of this thread (ReadLateness).
  void Send();

  // Returns how late the last byte arrived, or how long the byte in the pipe
  // has been waiting if that is longer.
  Milliseconds Lateness() const;

 private:
  kj::Promise<void> ReadLoop();
  void taskFailed(kj::Exception&& exception) override;

  SystemClock clock;
  kj::OneWayPipe pipe;
  char sent = 0;
  char received = 0;
  bool is_byte_in_flight = false;
  SteadyTime sent_at{};
  Milliseconds last_lateness{0};
  kj::TaskSet tasks;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_LOOP_PROBE_H_
