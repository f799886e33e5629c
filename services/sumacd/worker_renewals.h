// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_WORKER_RENEWALS_H_
#define SERVICES_SUMACD_WORKER_RENEWALS_H_

#include <kj/async.h>
#include <kj/timer.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/scheduler/worker_calls.h"
#include "libraries/scheduler/worker_messages.h"

namespace sumac::daemon {

// What follows from one answer to a renewal.
struct RenewalOutcome {
  // Fulfilled once the ends in the answer are committed; nothing if the answer
  // has none.
  kj::Maybe<kj::Promise<void>> committed;
  // The pause before the next renewal.
  Milliseconds pause{0};
};

// Renews the leases of workers again and again, each in a loop of its own.
// Exists for one leadership and runs on the core's event loop.
class WorkerRenewals : private kj::TaskSet::ErrorHandler {
 public:
  // The functions of the controller that the loops use.
  struct Host {
    // True while this leader's lease holds.
    std::function<bool()> may_act;
    // Returns the next renewal for a worker, or nothing if the worker is not
    // known any more.
    std::function<std::optional<scheduler::RenewOrder>(const WorkerId&)> next;
    // Sends a renewal.
    std::function<kj::Promise<scheduler::RenewAnswer>(
        const scheduler::RenewOrder&)>
        renew;
    // Handles the answer to a renewal.
    std::function<RenewalOutcome(const WorkerId&,
                                 const scheduler::RenewAnswer&)>
        handle_answer;
    // Called when the renewals of a worker end.
    std::function<void(const WorkerId&)> on_removed;
  };

  WorkerRenewals(kj::Timer& timer, Host host)
      : timer(timer), host(std::move(host)), commit_waits(*this) {}
  ~WorkerRenewals();
  WorkerRenewals(const WorkerRenewals&) = delete;
  WorkerRenewals& operator=(const WorkerRenewals&) = delete;

  // Starts the renewals of a worker after a pause, unless they are running.
  void Begin(const WorkerId& worker, Milliseconds pause = Milliseconds(0));
  // Ends the renewals of the workers for which `is_known` is false.
  void RemoveUnknown(const std::function<bool(const WorkerId&)>& is_known);

 private:
  // The reports of one worker whose ends are not committed yet.
  struct PendingReports {
    std::size_t count = 0;
    // Fulfilled once the count is 0.
    kj::Own<kj::PromiseFulfiller<void>> all_committed;
  };
  struct Renewal {
    std::shared_ptr<PendingReports> pending =
        std::make_shared<PendingReports>();
    kj::Promise<void> loop = nullptr;
  };

  void taskFailed(kj::Exception&& exception) override;

  kj::Promise<void> KeepRenewing(const WorkerId& worker);
  kj::Promise<void> RenewalLoop(const WorkerId& worker);
  kj::Promise<void> HandleAnswer(const WorkerId& worker,
                                 const scheduler::RenewAnswer& answer,
                                 Milliseconds min_pause);
  void AwaitCommit(const std::shared_ptr<PendingReports>& pending,
                   kj::Promise<void> committed);
  kj::Promise<void> AwaitAllCommitted(PendingReports& pending);

  kj::Timer& timer;
  Host host;
  std::map<WorkerId, Renewal> renewals;
  kj::TaskSet commit_waits;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_WORKER_RENEWALS_H_
