// SPDX-License-Identifier: Apache-2.0
// Guards against planners of instances that don't run while one of their
// commands is being committed. Each answer to an order leads to such a command,
// and a busy leader batches commits, so that a commit was open nearly all the
// time. A pool got its instances five seconds late, while up to 580 of its jobs
// waited.
#include "services/sumacd/instance_manager.h"

#include <gtest/gtest.h>
#include <kj/async.h>

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::daemon {
namespace {

constexpr Milliseconds kBeforeOrders{4'000};
// Longer than the interval of planning passes, also while a commit is open.
constexpr Milliseconds kPassInterval{250};

class InstanceManagerTest : public testing::Test {
 protected:
  InstanceManagerTest() : fleet(3) {
    this->fleet.PassTime(Milliseconds(300));
    this->instance_manager = std::make_unique<InstanceManager>(
        this->fleet.state, *this->fleet.scheduler,
        maintenance::InstanceCalls{
            .list =
                [](const std::string&) {
                  return kj::Promise<absl::StatusOr<maintenance::InstancePage>>(
                      kj::NEVER_DONE);
                },
            .send =
                [this](const maintenance::InstanceOrder& order) {
                  this->orders.push_back(order);
                  return kj::Promise<maintenance::InstanceResult>(
                      kj::NEVER_DONE);
                }},
        // Commands that are proposed here are never committed.
        InstanceManager::Host{
            .propose =
                [this](jobs::Command command) {
                  this->proposed.push_back(std::move(command));
                  return kj::Promise<fleet::Answer>(kj::NEVER_DONE);
                },
            .may_act = [] { return true; }},
        maintenance::MaintenanceSettings(),
        maintenance::CapacitySettings{.is_on = false}, ProcessName("c"),
        this->fleet.now);
    this->now = this->fleet.now + kBeforeOrders;
  }

  void Plan() {
    this->now += kPassInterval;
    this->instance_manager->Plan(WallTime(this->now.time_since_epoch()),
                                 this->now);
  }
  void StartWave(const std::string& wave, const std::string& instance) {
    this->fleet.Commit(jobs::StartWave{
        WaveId(wave), {InstanceName(instance)}, Milliseconds(1'000), 1});
  }
  bool IsCordoned(const std::string& worker) const {
    return this->fleet.scheduler->sessions().at(WorkerId(worker)).is_cordoned;
  }

  // Kept behind a pointer, since destructors of kj may throw and those of a
  // test must not.
  struct Loop {
    kj::EventLoop loop;
    kj::WaitScope scope{loop};
  };

  std::unique_ptr<Loop> loop = std::make_unique<Loop>();
  scheduler::FakeFleet fleet;
  std::unique_ptr<InstanceManager> instance_manager;
  std::vector<jobs::Command> proposed;
  std::vector<maintenance::InstanceOrder> orders;
  SteadyTime now;
};

TEST_F(InstanceManagerTest, ThePlannersRunWhileACommitIsOpen) {
  this->StartWave("1", "m0");
  this->Plan();
  this->Plan();
  ASSERT_EQ(this->proposed.size(), 1U);
  this->StartWave("2", "m1");
  this->Plan();
  EXPECT_TRUE(this->IsCordoned("w0"));
  EXPECT_TRUE(this->IsCordoned("w1"));
}

// A leader that fetches lists of the instances of a fleet in which the worker
// w0 does not answer.
class FleetWithSilentWorker {
 public:
  explicit FleetWithSilentWorker(std::size_t workers)
      : fleet(workers),
        instance_manager(
            this->fleet.state,
            *this->fleet.scheduler,
            this->Calls(),
            InstanceManager::Host{.propose =
                                      [](const jobs::Command&) {
                                        return kj::Promise<fleet::Answer>(
                                            kj::NEVER_DONE);
                                      },
                                  .may_act = [] { return true; }},
            maintenance::MaintenanceSettings(),
            maintenance::CapacitySettings{.is_on = false},
            ProcessName("c"),
            this->fleet.now) {
    this->fleet.scheduler->HandleRenewalFailure(
        WorkerId("w0"), scheduler::OrderResult::kUnknown, this->fleet.now);
  }

  void PassTime(Milliseconds time) {
    constexpr Milliseconds kStep{50};
    for (Milliseconds passed{0}; passed < time; passed += kStep) {
      this->fleet.now += kStep;
      this->instance_manager.Plan(WallTime(this->fleet.now.time_since_epoch()),
                                  this->fleet.now);
      this->scope.poll();
    }
  }
  // Lets the platform list these rows, and returns whether w0 still has a
  // session after the next lists.
  bool HasSessionAfterListing(std::vector<maintenance::ListedInstance> rows) {
    this->listed = std::move(rows);
    this->PassTime(kPassInterval);
    return this->fleet.scheduler->sessions().contains(WorkerId("w0"));
  }

  int lists = 0;

 private:
  maintenance::InstanceCalls Calls() {
    return {
        .list =
            [this](const std::string&) {
              ++this->lists;
              return kj::evalLater(
                  [this]() -> absl::StatusOr<maintenance::InstancePage> {
                    return maintenance::InstancePage{.instances = this->listed};
                  });
            },
        .send =
            [](const maintenance::InstanceOrder&) {
              return kj::Promise<maintenance::InstanceResult>(kj::NEVER_DONE);
            }};
  }

  kj::EventLoop loop;
  kj::WaitScope scope{this->loop};
  scheduler::FakeFleet fleet;
  std::vector<maintenance::ListedInstance> listed;
  InstanceManager instance_manager;
};

int CountLists(std::size_t workers) {
  FleetWithSilentWorker fleet(workers);
  fleet.PassTime(Milliseconds(5'000));
  return fleet.lists;
}

// With the same interval for all sizes, the lists of a large fleet would leave
// too little time for other work.
TEST(InstanceListingIntervalTest,
     ALongListIsFetchedLessOftenWhileAWorkerIsSilent) {
  EXPECT_EQ(CountLists(3), 20);
  EXPECT_EQ(CountLists(800), 10);
  EXPECT_EQ(CountLists(4'000), 5);
}

maintenance::ListedInstance Row(const std::string& name,
                                maintenance::InstanceState state) {
  return {.name = InstanceName(name), .state = state};
}

TEST(InstanceListingStatusTest,
     AWorkerEndsOnlyAfterTwoListsWithoutItsInstance) {
  using enum maintenance::InstanceState;
  const maintenance::ListedInstance other = Row("m1", kDown);
  FleetWithSilentWorker fleet(2);
  EXPECT_TRUE(fleet.HasSessionAfterListing({}));
  EXPECT_TRUE(fleet.HasSessionAfterListing({other, Row("m0", kUp)}));
  EXPECT_TRUE(fleet.HasSessionAfterListing({other, Row("m0", kUnknown)}));
  EXPECT_TRUE(fleet.HasSessionAfterListing({other}));
  EXPECT_FALSE(fleet.HasSessionAfterListing({other}));
}

TEST(InstanceListingStatusTest, AWorkerEndsOnceItsInstanceIsDown) {
  using enum maintenance::InstanceState;
  FleetWithSilentWorker fleet(2);
  EXPECT_TRUE(fleet.HasSessionAfterListing({Row("m0", kUp), Row("m1", kDown)}));
  EXPECT_FALSE(
      fleet.HasSessionAfterListing({Row("m0", kDown), Row("m1", kUp)}));
}

TEST_F(InstanceManagerTest, ACommandIsNotProposedAgainWhileItIsBeingCommitted) {
  this->StartWave("1", "m0");
  for (int pass = 0; pass < 5; ++pass) {
    this->Plan();
  }
  EXPECT_EQ(this->proposed.size(), 1U);
  EXPECT_TRUE(this->orders.empty());
}

}  // namespace
}  // namespace sumac::daemon
