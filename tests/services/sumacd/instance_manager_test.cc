// SPDX-License-Identifier: Apache-2.0
// Instances came to a pool five seconds after its turn had begun, while up to
// 580 of its jobs waited. The lines about the leader's load show for these
// seconds no time at all spent on instances: their planner didn't pass while a
// command of its own was being committed, each answer to an order was one, and
// a busy leader gathers commits, so that one was open nearly all the time.
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
// Beyond the time between two looks, also while a commit is open.
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
        // What is proposed here is not committed for long.
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

  // kj's destructors may throw, and those of a test must not.
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

// A leader that reads lists of the instances of a fleet, one of whose workers
// is silent.
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
  // Lists of late show these rows.
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

// One pace for all sizes let the lists of a large fleet crowd out other work.
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
