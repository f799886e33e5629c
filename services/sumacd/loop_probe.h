// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_LOOP_PROBE_H_
#define SERVICES_SUMACD_LOOP_PROBE_H_

#include <kj/async-io.h>
#include <kj/async.h>

#include <cstddef>
#include <functional>

#include "libraries/base/time.h"

namespace sumac::daemon {

// Measures how long what has come to the process waits until its event loop
// reads it: a byte is sent through a pipe of its own. Timers don't tell, since
// the loop looks at them between any two sockets. Belongs to the core's event
// loop.
class LoopProbe : private kj::TaskSet::ErrorHandler {
 public:
  explicit LoopProbe(kj::AsyncIoProvider& provider);

  // Sends a byte, unless the last one has not arrived yet, and tells the
  // thread's time limits how late the loop reads (ReadLateness).
  void Send();

  // How late the last byte arrived, or how long the one that is on its way has
  // been waiting if that is more.
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
  Milliseconds last{0};
  kj::TaskSet tasks;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_LOOP_PROBE_H_
