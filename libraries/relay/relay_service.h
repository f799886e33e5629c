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

// Calls to workers with connections of their own, which end with `owner`.
struct OwnedWorkerCalls {
  std::shared_ptr<void> owner;
  scheduler::WorkerCalls calls;
};

// A controller's side of one relay: makes the calls that a leader sends, and
// gives the answers back in batches. It decides nothing. Ends, with its
// connections to workers, once the leader or the connection to it is gone.
// Belongs to the core's event loop.
class RelayService final : public wire::Relay::Server,
                           private kj::TaskSet::ErrorHandler {
 public:
  // What the service needs of its controller.
  struct Host {
    // True while no later leadership than this one is known here.
    std::function<bool(LeaderEpoch)> is_current;
  };

  RelayService(OwnedWorkerCalls workers,
               wire::RelayAnswers::Client answers,
               LeaderEpoch epoch,
               kj::Timer& timer,
               Host host);

  kj::Promise<void> carry(CarryContext context) override;

 private:
  void taskFailed(kj::Exception&& exception) override;

  void Make(RelayCall call);
  template <typename Order>
  void MakeOrder(std::uint64_t id, Order order, Milliseconds left);
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
  // The leader has not taken the last batch yet.
  bool is_batch_in_flight = false;
  // The leader is gone; nothing is sent to it any more.
  bool is_cut_off = false;
  SteadyTime flushed_at{};
  // Ends before what its work uses.
  kj::TaskSet tasks;
};

}  // namespace sumac::relay

#endif  // LIBRARIES_RELAY_RELAY_SERVICE_H_
