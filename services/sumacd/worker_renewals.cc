// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/worker_renewals.h"

#include <algorithm>
#include <utility>

#include "libraries/base/kj_time.h"
#include "libraries/log/json_log.h"

namespace sumac::daemon {
namespace {

// The pause before the next attempt while the leader's own lease doesn't hold.
// The leader sends nothing then, but may regain the lease shortly.
constexpr Milliseconds kNoLeasePause{150};
// The maximum time that a renewal waits until ends are committed. A commit that
// takes longer than a lease must not end the lease of a healthy worker. Leases
// of 6 s outlast ten such waits.
constexpr Milliseconds kLongestRecordWait{500};

}  // namespace

WorkerRenewals::~WorkerRenewals() {
  for (const auto& [worker, renewal] : this->renewals) {
    this->host.forget(worker);
  }
}

void WorkerRenewals::Begin(const WorkerId& worker, Milliseconds pause) {
  const auto [renewal, is_new] = this->renewals.try_emplace(worker);
  if (is_new) {
    renewal->second.loop =
        this->timer.afterDelay(ToKj(pause))
            .then([this, worker] { return this->Loop(worker); })
            .eagerlyEvaluate(nullptr);
  }
}

void WorkerRenewals::DropUnknown(
    const std::function<bool(const WorkerId&)>& is_known) {
  for (auto item = this->renewals.begin(); item != this->renewals.end();) {
    if (is_known(item->first)) {
      ++item;
      continue;
    }
    this->host.forget(item->first);
    item = this->renewals.erase(item);
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
      .then([this, worker,
             pause = order->pause](const scheduler::RenewAnswer& answer) {
        return this->TakeAnswer(worker, answer, pause);
      })
      .then([this, worker] { return this->Loop(worker); });
}

kj::Promise<void> WorkerRenewals::TakeAnswer(
    const WorkerId& worker,
    const scheduler::RenewAnswer& answer,
    Milliseconds least_pause) {
  RenewalOutcome outcome = this->host.take(worker, answer);
  const std::shared_ptr<OpenRecords>& open = this->renewals.at(worker).open;
  KJ_IF_MAYBE (recorded, outcome.recorded) {
    this->AwaitRecord(open, kj::mv(*recorded));
  }
  const Milliseconds pause = std::max(outcome.pause, least_pause);
  return this->AwaitSettled(*open).then([this, pause]() -> kj::Promise<void> {
    if (pause == Milliseconds(0)) {
      return kj::READY_NOW;
    }
    return this->timer.afterDelay(ToKj(pause));
  });
}

void WorkerRenewals::AwaitRecord(const std::shared_ptr<OpenRecords>& open,
                                 kj::Promise<void> recorded) {
  ++open->count;
  this->records.add(recorded.then([open] {
    if (--open->count == 0 && open->settled.get() != nullptr) {
      open->settled->fulfill();
    }
  }));
}

// Waits until all ends are committed, or for the maximum time.
kj::Promise<void> WorkerRenewals::AwaitSettled(OpenRecords& open) {
  if (open.count == 0) {
    return kj::READY_NOW;
  }
  auto settled = kj::newPromiseAndFulfiller<void>();
  open.settled = kj::mv(settled.fulfiller);
  return settled.promise.exclusiveJoin(
      this->timer.afterDelay(ToKj(kLongestRecordWait)));
}

void WorkerRenewals::taskFailed(kj::Exception&& exception) {
  LogEvent(LogLevel::kError, "task-failed",
           {{"error", exception.getDescription().cStr()}});
}

}  // namespace sumac::daemon
