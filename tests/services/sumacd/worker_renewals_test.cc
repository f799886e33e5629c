// SPDX-License-Identifier: Apache-2.0
// Guards against renewals that wait for slow commits. An overloaded leader
// commits slowly. If the loop of a worker waits with the next renewal until the
// ends in the last answer are committed, and the commit takes longer than a
// lease, the lease of a healthy worker expires on both sides. Long-running
// tasks there then end outside of all disruption budgets, and a task that
// succeeded after the last renewal is started again elsewhere, since the leader
// has not received its end. With a commit of 8 s and leases of 6 s the worker
// below got no renewal for 8,120 ms, and two tasks were started three times in
// all.
#include "services/sumacd/worker_renewals.h"

#include <gtest/gtest.h>
#include <kj/async.h>
#include <kj/timer.h>

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <utility>

#include "libraries/base/kj_time.h"
#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::daemon {
namespace {

constexpr Milliseconds kCommitTime{8'000};
constexpr Milliseconds kStep{10};
constexpr Milliseconds kEndsPause{15};

// Renewals of the workers of a fake fleet, on the fleet's clock.
class WorkerRenewalsTest : public testing::Test {
 protected:
  struct Parts {
    kj::EventLoop loop;
    kj::WaitScope scope{loop};
    kj::TimerImpl timer{kj::origin<kj::TimePoint>()};
  };

  WorkerRenewalsTest() {
    this->fleet.renews = false;
    this->renewals = std::make_unique<WorkerRenewals>(
        this->parts->timer,
        WorkerRenewals::Host{.may_act = [] { return true; },
                             .next =
                                 [this](const WorkerId& worker) {
                                   return this->fleet.scheduler->NextRenewal(
                                       worker, this->fleet.now);
                                 },
                             .renew =
                                 [this](const scheduler::RenewOrder& order) {
                                   return this->Renew(order);
                                 },
                             .handle_answer =
                                 [this](const WorkerId& worker,
                                        const scheduler::RenewAnswer& answer) {
                                   return this->HandleAnswer(worker, answer);
                                 },
                             .on_removed = [](const WorkerId&) {}});
    this->renewals->Begin(WorkerId("w0"));
  }

  // Returns the worker's answer after 100 ms; workers may delay their answers.
  kj::Promise<scheduler::RenewAnswer> Renew(
      const scheduler::RenewOrder& order) {
    const Milliseconds gap = this->fleet.now - this->last_renewal;
    this->longest_gap = std::max(this->longest_gap, gap);
    this->last_renewal = this->fleet.now;
    if (std::exchange(this->is_next_broken, false)) {
      throw std::runtime_error("a broken answer");
    }
    return this->parts->timer.afterDelay(ToKj(Milliseconds(100)))
        .then([this, order]() -> scheduler::RenewAnswer {
          const auto report = this->fleet.worker(order.worker.value())
                                  .Renew(order, this->fleet.now);
          if (!report) {
            return {.result = scheduler::OrderResult::kFenced};
          }
          return {scheduler::OrderResult::kDone, *report};
        });
  }

  RenewalOutcome HandleAnswer(const WorkerId& worker,
                              const scheduler::RenewAnswer& answer) {
    scheduler::EndsToRecord ends = this->fleet.scheduler->HandleReport(
        worker, answer.report, this->fleet.now);
    if (ends.up_to == 0) {
      return {.committed = nullptr, .pause = Milliseconds(0)};
    }
    return {.committed = this->parts->timer.afterDelay(ToKj(kCommitTime))
                             .then([this, worker, ends] {
                               this->fleet.Commit(jobs::RecordEnds{ends.ends});
                               this->fleet.scheduler->HandleEndsCommitted(
                                   worker, ends);
                             }),
            .pause = kEndsPause};
  }

  void PassTime(Milliseconds time) {
    for (Milliseconds passed{0}; passed < time; passed += kStep) {
      this->fleet.PassTime(kStep);
      this->parts->timer.advanceTo(this->parts->timer.now() + ToKj(kStep));
      this->parts->scope.poll();
    }
  }

  std::unique_ptr<Parts> parts = std::make_unique<Parts>();
  scheduler::FakeFleet fleet{1};
  std::unique_ptr<WorkerRenewals> renewals;
  SteadyTime last_renewal = this->fleet.now;
  Milliseconds longest_gap{0};
  // Whether the next renewal throws an exception.
  bool is_next_broken = false;
};

TEST_F(WorkerRenewalsTest, ALeaseIsRenewedDuringASlowCommitOfEnds) {
  this->PassTime(Milliseconds(300));
  this->fleet.Submit("job", {.count = 1});
  this->PassTime(Milliseconds(10'000));
  EXPECT_LT(this->longest_gap, this->fleet.settings.lease.length / 4);
}

TEST_F(WorkerRenewalsTest,
       ADoneTaskIsNotRestartedDuringASlowCommitOfAnotherEnd) {
  this->PassTime(Milliseconds(300));
  this->fleet.Submit("first", {.count = 1});
  this->PassTime(Milliseconds(400));
  this->fleet.Submit("second", {.count = 1});
  this->PassTime(Milliseconds(200));
  ASSERT_EQ(this->fleet.CountRunning("second"), 1U);
  this->fleet.AddWorker("w1", "m1");
  this->renewals->Begin(WorkerId("w1"));
  this->PassTime(Milliseconds(10'000));
  EXPECT_EQ(this->fleet.starts, 2U);
  EXPECT_EQ(this->fleet.problem, "");
  this->PassTime(Milliseconds(8'000));
  EXPECT_EQ(this->fleet.job("first").state, jobs::JobState::kDone);
  EXPECT_EQ(this->fleet.job("second").state, jobs::JobState::kDone);
}

// An exception ended the renewals of a worker for as long as the leader led,
// without a line in the log, and its runs lapsed.
TEST_F(WorkerRenewalsTest, RenewalsContinueAfterAnException) {
  constexpr Milliseconds kMaxGap{1'000};
  this->PassTime(Milliseconds(500));
  this->is_next_broken = true;
  this->PassTime(Milliseconds(5'000));
  EXPECT_FALSE(this->is_next_broken);
  EXPECT_LT(this->longest_gap, kMaxGap);
  EXPECT_LT(this->fleet.now - this->last_renewal, kMaxGap);
}

}  // namespace
}  // namespace sumac::daemon
