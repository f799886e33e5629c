// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/worker_renewals.h"

#include <utility>

#include "libraries/base/kj_time.h"

namespace sumac::daemon {
namespace {

// Without a lease of its own a leader sends nothing; it may come back in a
// moment.
constexpr Milliseconds kNoLeasePause{150};

}  // namespace

WorkerRenewals::~WorkerRenewals() {
  for (const auto& [worker, loop] : this->loops) {
    this->host.forget(worker);
  }
}

void WorkerRenewals::Begin(const WorkerId& worker) {
  if (!this->loops.contains(worker)) {
    this->loops.emplace(worker, this->Loop(worker).eagerlyEvaluate(nullptr));
  }
}

void WorkerRenewals::DropUnknown(
    const std::function<bool(const WorkerId&)>& is_known) {
  for (auto item = this->loops.begin(); item != this->loops.end();) {
    if (is_known(item->first)) {
      ++item;
      continue;
    }
    this->host.forget(item->first);
    item = this->loops.erase(item);
  }
}

kj::Promise<void> WorkerRenewals::Loop(const WorkerId& worker) {
  if (!this->host.may_act()) {
    return this->timer.afterDelay(ToKj(kNoLeasePause)).then([this, worker] {
      return this->Loop(worker);
    });
  }
  const auto order = this->host.next(worker);
  if (!order) {
    return kj::READY_NOW;
  }
  return this->host.renew(*order)
      .then([this, worker](
                const scheduler::RenewAnswer& answer) -> kj::Promise<void> {
        RenewalOutcome outcome = this->host.take(worker, answer);
        const Milliseconds pause = outcome.pause;
        KJ_IF_MAYBE (recorded, outcome.recorded) {
          return recorded->then(
              [this, pause] { return this->timer.afterDelay(ToKj(pause)); });
        }
        if (pause == Milliseconds(0)) {
          return kj::READY_NOW;
        }
        return this->timer.afterDelay(ToKj(pause));
      })
      .then([this, worker] { return this->Loop(worker); });
}

}  // namespace sumac::daemon
