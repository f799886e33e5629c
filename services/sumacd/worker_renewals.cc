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
// The pause after an error in the loop of a worker.
constexpr Milliseconds kErrorPause{500};
// The maximum time that a renewal waits until ends are committed. A commit that
// takes longer than a lease must not end the lease of a healthy worker. Leases
// of 6 s outlast ten such waits.
constexpr Milliseconds kMaxCommitWait{500};

}  // namespace

WorkerRenewals::~WorkerRenewals() {
  for (const auto& [worker, renewal] : this->renewals) {
    this->host.on_removed(worker);
  }
}

void WorkerRenewals::Begin(const WorkerId& worker, Milliseconds pause) {
  const auto [renewal, is_new] = this->renewals.try_emplace(worker);
  if (is_new) {
    renewal->second.loop =
        this->timer.afterDelay(ToKj(pause))
            .then([this, worker] { return this->KeepRenewing(worker); })
            .eagerlyEvaluate(nullptr);
  }
}

void WorkerRenewals::RemoveUnknown(
    const std::function<bool(const WorkerId&)>& is_known) {
  for (auto item = this->renewals.begin(); item != this->renewals.end();) {
    if (is_known(item->first)) {
      ++item;
      continue;
    }
    this->host.on_removed(item->first);
    item = this->renewals.erase(item);
  }
}

// Runs the loop again after an error in it: a worker that is not renewed loses
// its runs.
kj::Promise<void> WorkerRenewals::KeepRenewing(const WorkerId& worker) {
  return this->RenewalLoop(worker).catch_(
      [this, worker](kj::Exception&& exception) {
        LogEvent(LogLevel::kError, "renewal-failed",
                 {{"worker", worker.value()},
                  {"error", exception.getDescription().cStr()}});
        return this->timer.afterDelay(ToKj(kErrorPause)).then([this, worker] {
          return this->KeepRenewing(worker);
        });
      });
}

kj::Promise<void> WorkerRenewals::RenewalLoop(const WorkerId& worker) {
  if (!this->host.may_act()) {
    return this->timer.afterDelay(ToKj(kNoLeasePause)).then([this, worker] {
      return this->RenewalLoop(worker);
    });
  }
  const auto order = this->host.next(worker);
  if (!order) {
    return kj::READY_NOW;
  }
  return this->host.renew(*order)
      .then([this, worker,
             pause = order->pause](const scheduler::RenewAnswer& answer) {
        return this->HandleAnswer(worker, answer, pause);
      })
      .then([this, worker] { return this->RenewalLoop(worker); });
}

kj::Promise<void> WorkerRenewals::HandleAnswer(
    const WorkerId& worker,
    const scheduler::RenewAnswer& answer,
    Milliseconds min_pause) {
  RenewalOutcome outcome = this->host.handle_answer(worker, answer);
  const std::shared_ptr<PendingReports>& pending =
      this->renewals.at(worker).pending;
  KJ_IF_MAYBE (committed, outcome.committed) {
    this->AwaitCommit(pending, kj::mv(*committed));
  }
  const Milliseconds pause = std::max(outcome.pause, min_pause);
  return this->AwaitAllCommitted(*pending).then(
      [this, pause]() -> kj::Promise<void> {
        if (pause == Milliseconds(0)) {
          return kj::READY_NOW;
        }
        return this->timer.afterDelay(ToKj(pause));
      });
}

void WorkerRenewals::AwaitCommit(const std::shared_ptr<PendingReports>& pending,
                                 kj::Promise<void> committed) {
  ++pending->count;
  this->commit_waits.add(committed.then([pending] {
    if (--pending->count == 0 && pending->all_committed.get() != nullptr) {
      pending->all_committed->fulfill();
    }
  }));
}

// Waits until all ends are committed, or for the maximum time.
kj::Promise<void> WorkerRenewals::AwaitAllCommitted(PendingReports& pending) {
  if (pending.count == 0) {
    return kj::READY_NOW;
  }
  auto all_committed = kj::newPromiseAndFulfiller<void>();
  pending.all_committed = kj::mv(all_committed.fulfiller);
  return all_committed.promise.exclusiveJoin(
      this->timer.afterDelay(ToKj(kMaxCommitWait)));
}

void WorkerRenewals::taskFailed(kj::Exception&& exception) {
  LogEvent(LogLevel::kError, "task-failed",
           {{"error", exception.getDescription().cStr()}});
}

}  // namespace sumac::daemon
