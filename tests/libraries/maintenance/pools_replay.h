// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_MAINTENANCE_POOLS_REPLAY_H_
#define TESTS_LIBRARIES_MAINTENANCE_POOLS_REPLAY_H_

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libraries/maintenance/capacity_planner.h"

namespace sumac::maintenance {

// Plays the capacity planner against a platform that accepts one order after
// the other at a fixed rate, and moves each instance in a fixed time. The pools
// are `pool0`, `pool1` and so on, and `off`, whose instances are switched off.
class PoolsReplay {
 public:
  static constexpr std::int64_t kCores = 16'000;
  static constexpr Milliseconds kPass{100};

  struct Settings {
    int pools = 4;
    int instances_per_pool = 0;
    int instances_off = 0;
    // The orders that the platform accepts a second.
    std::int64_t orders_a_second = 590;
    CapacitySettings capacity{.reserve_permille = 500,
                              .surplus_time = Milliseconds(2'500)};
  };

  explicit PoolsReplay(const Settings& settings);

  // Plays for a time. `before_each_pass` sets the demand.
  void Play(Milliseconds time,
            const std::function<void(PoolsReplay&)>& before_each_pass);
  // Begins a new leadership of the planner.
  void ChangeLeader();

  static ServiceName Pool(int number) {
    return ServiceName("pool" + std::to_string(number));
  }
  // Returns the number of instances that tasks of the pool may use now.
  std::int64_t CountUsable(const ServiceName& pool) const;
  std::int64_t CountIn(const ServiceName& pool) const;

  SteadyTime now{Milliseconds(10'000)};
  // The demand of each pool.
  std::map<ServiceName, jobs::ServiceDemand> demand;
  // The number of runs on each instance that has any.
  std::map<InstanceName, std::size_t> runs;
  std::set<InstanceName> cordoned;
  // The orders that were carried out.
  std::int64_t moves = 0;
  // The largest number of cordoned instances.
  std::size_t most_cordoned = 0;

  static inline const ServiceName kOff{"off"};

 private:
  struct Instance {
    ServiceName pool;
    // The time at which its worker appears after a move.
    SteadyTime arrives_at{};
    int worker_number = 0;
  };
  struct Order {
    InstanceOrder order;
    double accepted_at_ms = 0;
  };

  WallTime wall() const { return WallTime(this->now.time_since_epoch()); }
  bool HasWorker(const Instance& instance) const;
  void AnswerOrders();
  void DeliverList();
  std::map<InstanceName, InstanceFacts> GatherFacts() const;

  Settings settings;
  jobs::JobsState state;
  CapacityPlanner planner;
  std::map<InstanceName, Instance> instances;
  std::deque<Order> orders;
  double platform_free_at_ms = 0;
  InstanceListing listing;
};

}  // namespace sumac::maintenance

#endif  // TESTS_LIBRARIES_MAINTENANCE_POOLS_REPLAY_H_
