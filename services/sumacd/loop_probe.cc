// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/loop_probe.h"

#include <algorithm>

#include "libraries/base/read_lateness.h"
#include "libraries/log/json_log.h"

namespace sumac::daemon {

LoopProbe::LoopProbe(kj::AsyncIoProvider& provider)
    : pipe(provider.newOneWayPipe()), tasks(*this) {
  this->tasks.add(this->ReadLoop());
}

void LoopProbe::Send() {
  ReadLateness() = this->Lateness();
  if (this->is_byte_in_flight) {
    return;
  }
  this->is_byte_in_flight = true;
  this->sent_at = this->clock.SteadyNow();
  this->tasks.add(this->pipe.out->write(&this->sent, 1));
}

Milliseconds LoopProbe::Lateness() const {
  const Milliseconds waiting = this->is_byte_in_flight
                                   ? this->clock.SteadyNow() - this->sent_at
                                   : Milliseconds(0);
  return std::max(this->last_lateness, waiting);
}

kj::Promise<void> LoopProbe::ReadLoop() {
  return this->pipe.in->read(&this->received, 1).then([this] {
    this->last_lateness = this->clock.SteadyNow() - this->sent_at;
    this->is_byte_in_flight = false;
    return this->ReadLoop();
  });
}

void LoopProbe::taskFailed(kj::Exception&& exception) {
  LogEvent(LogLevel::kError, "task-failed",
           {{"error", exception.getDescription().cStr()}});
}

}  // namespace sumac::daemon
