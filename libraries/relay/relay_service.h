// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RELAY_RELAY_SERVICE_H_
#define LIBRARIES_RELAY_RELAY_SERVICE_H_

#include <kj/async.h>
#include <kj/timer.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/relay/relay_messages.h"
#include "libraries/scheduler/worker_calls.h"
#include "libraries/wire/generated/relay.capnp.h"

namespace sumac::relay {

// Calls to workers on connections that belong to `owner` and close with it.
struct OwnedWorkerCalls {
  std::shared_ptr<void> owner;
  scheduler::WorkerCalls calls;
};

// A controller's side of one relay: makes the calls that a leader sends, and
// returns the answers in batches. It makes no decisions. It is destroyed, with
// its connections to workers, once the leader or the connection to it is gone.
// Belongs to the core's event loop.
class RelayService final : public wire::Relay::Server,
                           private kj::TaskSet::ErrorHandler {
 public:
  // The functions that the controller provides.
  struct Host {
    // Returns true while this controller knows of no later leadership.
    std::function<bool(LeaderEpoch)> is_current;
    // Returns false if nothing may be started on the worker, as far as this
    // controller knows; not called if empty.
    std::function<bool(const WorkerId&)> may_start_on;
  };

  RelayService(OwnedWorkerCalls workers,
               wire::RelayAnswers::Client answers,
               LeaderEpoch epoch,
               kj::Timer& timer,
               Host host);

  kj::Promise<void> carry(CarryContext context) override;

 private:
  void taskFailed(kj::Exception&& exception) override;

  void MakeCall(RelayCall call);
  template <typename Order>
  void MakeOrder(std::uint64_t id, Order order, Milliseconds time_left);
  void MakeRenewal(std::uint64_t id,
                   kj::Promise<scheduler::RenewAnswer> renewed);
  void Answer(RelayAnswer&& answer);
  void ScheduleFlush();
  void Flush();

  OwnedWorkerCalls workers;
  wire::RelayAnswers::Client answers;
  LeaderEpoch epoch;
  kj::Timer& timer;
  Host host;
  SystemClock clock;
  std::vector<RelayAnswer> queue;
  bool is_flush_scheduled = false;
  // True until the leader has acknowledged the last batch.
  bool is_batch_in_flight = false;
  // True once sending to the leader has failed; nothing more is sent to it.
  bool is_leader_unreachable = false;
  SteadyTime flushed_at{};
  // Declared last, so that the tasks are cancelled before the members that they
  // use are destroyed.
  kj::TaskSet tasks;
};

}  // namespace sumac::relay

#endif  // LIBRARIES_RELAY_RELAY_SERVICE_H_
