// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/data_centre_orders.h"

#include <gtest/gtest.h>
#include <kj/async.h>

#include <functional>
#include <memory>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/jobs/jobs_state.h"

namespace sumac::daemon {
namespace {

const DataCentre kName("dc-a");
constexpr Milliseconds kLimit{850};
// What is left of the time after a suspension when an order is read.
constexpr Milliseconds kLeft{30};

// Orders that go to a leader with a state of its own. `before_show` is called
// within the first step of an order, `before_commit` between the two steps.
class DataCentreOrdersTest : public testing::Test {
 protected:
  DataCentreOrdersTest()
      : state([](std::string_view) { return jobs::JobsDeclaration(); }),
        watch(SystemClock().SteadyNow()),
        orders([this](jobs::Request request,
                      Milliseconds) { return this->Lead(std::move(request)); },
               this->watch) {}
  // NOTE: Destructors of kj may throw, the destructor of a gtest fixture may
  // not.
  ~DataCentreOrdersTest() noexcept override {}

  kj::Promise<fleet::Answer> Lead(jobs::Request request) {
    if (const auto* show = std::get_if<jobs::ShowDataCentre>(&request)) {
      if (this->before_show) {
        this->before_show();
      }
      const jobs::DataCentreRecord shown =
          this->state.FindDataCentre(show->data_centre);
      return fleet::Answer{
          .document = {{"use", NameOf(shown.use)}, {"version", shown.version}}};
    }
    if (this->before_commit) {
      std::exchange(this->before_commit, nullptr)();
    }
    ++this->commits;
    return this->state.Apply(
        {WallTime{}, std::get<jobs::Commit>(request).command});
  }
  fleet::Answer Order(jobs::DataCentreUse use, bool is_awaited = true) {
    jobs::DataCentreOrder order{.data_centre = kName, .use = use};
    order.is_awaited = [is_awaited] { return is_awaited; };
    return this->orders
        .Change(std::move(order), kLimit, SystemClock().SteadyNow())
        .wait(this->scope);
  }

  kj::EventLoop loop;
  kj::WaitScope scope{this->loop};
  jobs::JobsState state;
  SuspensionWatch watch;
  std::function<void()> before_show;
  std::function<void()> before_commit;
  int commits = 0;
  DataCentreOrders orders;
};

TEST_F(DataCentreOrdersTest, AnOrderIsCommittedOnce) {
  EXPECT_TRUE(this->Order(jobs::DataCentreUse::kEvacuated).is_ok());
  EXPECT_TRUE(this->Order(jobs::DataCentreUse::kEvacuated).is_ok());
  EXPECT_EQ(this->commits, 1);
  EXPECT_FALSE(this->state.IsInUse(kName));
  EXPECT_TRUE(this->Order(jobs::DataCentreUse::kInUse).is_ok());
  EXPECT_TRUE(this->state.IsInUse(kName));
}

// Two controllers handle opposite orders at once: the one that commits last
// changes nothing, and says so.
TEST_F(DataCentreOrdersTest, AnOrderThatAnotherOneOvertakesChangesNothing) {
  this->before_commit = [this] {
    this->state.Apply({WallTime{}, jobs::ChangeDataCentre{
                                       .data_centre = kName,
                                       .use = jobs::DataCentreUse::kEvacuated,
                                       .expected_version = 0}});
    this->state.Apply(
        {WallTime{}, jobs::ChangeDataCentre{.data_centre = kName,
                                            .use = jobs::DataCentreUse::kInUse,
                                            .expected_version = 1}});
  };
  EXPECT_EQ(this->Order(jobs::DataCentreUse::kEvacuated).code,
            ResultCode::kDataCentreChanged);
  EXPECT_TRUE(this->state.IsInUse(kName));
}

TEST_F(DataCentreOrdersTest, AnOrderThatNobodyWaitsForIsNotCarriedOut) {
  EXPECT_EQ(this->Order(jobs::DataCentreUse::kEvacuated, false).code,
            ResultCode::kDataCentreChanged);
  EXPECT_TRUE(this->state.IsInUse(kName));
}

TEST_F(DataCentreOrdersTest, AnOrderReadAfterASuspensionIsNotCarriedOut) {
  this->watch.RecordRunning(SystemClock().SteadyNow() + Milliseconds(10'000));
  EXPECT_EQ(this->Order(jobs::DataCentreUse::kEvacuated).code,
            ResultCode::kDataCentreChanged);
  EXPECT_EQ(this->commits, 0);
}

// What is read at the end of the time after a suspension may be as old as what
// is read at its beginning, although that time is over before the second step.
TEST_F(DataCentreOrdersTest, AnOrderReadLateAfterASuspensionIsNotCarriedOut) {
  constexpr Milliseconds kStep{250};
  constexpr Milliseconds kSinceSuspension = Milliseconds(1'000) - kLeft;
  const SteadyTime now = SystemClock().SteadyNow();
  this->watch.RecordRunning(now - 2 * kSinceSuspension);
  for (SteadyTime at = now - kSinceSuspension; at < now; at += kStep) {
    this->watch.RecordRunning(at);
  }
  this->watch.RecordRunning(now);
  ASSERT_TRUE(this->watch.MayBeStale(now));
  this->before_show = [] { std::this_thread::sleep_for(2 * kLeft); };
  jobs::DataCentreOrder order{.data_centre = kName,
                              .use = jobs::DataCentreUse::kEvacuated};
  EXPECT_EQ(
      this->orders.Change(std::move(order), kLimit, now).wait(this->scope).code,
      ResultCode::kDataCentreChanged);
  EXPECT_EQ(this->commits, 0);
}

TEST_F(DataCentreOrdersTest, ASuspensionBetweenTheStepsEndsAnOrder) {
  this->before_show = [this] {
    this->watch.RecordRunning(SystemClock().SteadyNow() + Milliseconds(10'000));
  };
  EXPECT_EQ(this->Order(jobs::DataCentreUse::kEvacuated).code,
            ResultCode::kDataCentreChanged);
  EXPECT_EQ(this->commits, 0);
}

}  // namespace
}  // namespace sumac::daemon
