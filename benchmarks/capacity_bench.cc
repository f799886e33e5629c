// SPDX-License-Identifier: Apache-2.0
// Measures a planning pass of the capacity planner by the number of instances,
// with nothing to do and in a rush, as JSON lines on standard output.
//   capacity_bench
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/maintenance/capacity_planner.h"
#include "nlohmann/json.hpp"

namespace sumac::benchmarks {
namespace {

constexpr std::int64_t kCores = 16'000;
constexpr int kPools = 4;
constexpr int kPasses = 50;
// One instance in this many is in use, the others are switched off.
constexpr int kInstancesPerUsed = 10;
const ServiceName kOff("off");

ServiceName Pool(int number) {
  return ServiceName("pool" + std::to_string(number));
}

jobs::JobsDeclaration Declare(std::string_view /*document*/) {
  std::vector<jobs::ServiceDeclaration> services = {
      {.name = kOff, .is_headroom = true}};
  for (int number = 0; number < kPools; ++number) {
    services.push_back({.name = Pool(number)});
  }
  return jobs::JobsDeclaration(1, {}, std::move(services));
}

// A fleet whose instances are named and listed as on a platform.
class Fleet {
 public:
  explicit Fleet(int instances) : state(Declare) {
    this->state.Apply({this->wall(), jobs::Declare{1, "document"}});
    this->state.Apply({this->wall(), jobs::BeginEpoch{}});
    std::vector<maintenance::ListedInstance> rows;
    rows.reserve(instances);
    for (int number = 0; number < instances; ++number) {
      const InstanceName name("machine-of-the-fleet-" + std::to_string(number));
      const bool is_used = number % kInstancesPerUsed == 0;
      const ServiceName pool =
          is_used ? Pool(number / kInstancesPerUsed % kPools) : kOff;
      rows.push_back({.name = name,
                      .service = pool,
                      .state = maintenance::InstanceState::kUp,
                      .labels = {"kind-a", "rack-" + std::to_string(number)}});
      if (is_used) {
        this->facts[name] = {.worker = WorkerId("worker-" + name.value()),
                             .service = pool,
                             .capacity = {.millicores = kCores}};
      }
    }
    this->listing.RecordList(std::move(rows), this->now);
    this->planner.UpdateListing(this->listing);
  }

  void SetDemand(std::int64_t instances_per_pool) {
    for (int number = 0; number < kPools; ++number) {
      jobs::ServiceDemand& demand = this->demand[Pool(number)];
      demand.short_millicores = instances_per_pool * kCores;
      demand.deviation_millicores = 0;
    }
  }

  // Runs planning passes whose moves are never answered, and returns the mean
  // and the longest time of one.
  std::pair<double, double> Run() {
    double sum = 0;
    double longest = 0;
    for (int pass = 0; pass < kPasses; ++pass) {
      this->now += Milliseconds(50);
      const auto began_at = std::chrono::steady_clock::now();
      this->planner.Plan(this->state, this->facts, this->demand, {},
                         this->wall(), this->now);
      const std::chrono::duration<double, std::milli> took =
          std::chrono::steady_clock::now() - began_at;
      sum += took.count();
      longest = std::max(longest, took.count());
    }
    return {sum / kPasses, longest};
  }

 private:
  WallTime wall() const { return WallTime(this->now.time_since_epoch()); }

  SteadyTime now{Milliseconds(10'000)};
  jobs::JobsState state;
  maintenance::CapacityPlanner planner{{},
                                       ProcessName("c"),
                                       LeaderEpoch(1),
                                       SteadyTime(Milliseconds(1'000))};
  std::map<InstanceName, maintenance::InstanceFacts> facts;
  maintenance::InstanceListing listing;
  std::map<ServiceName, jobs::ServiceDemand> demand;
};

void Report(int instances, std::string_view load, std::int64_t wanted) {
  Fleet fleet(instances);
  fleet.SetDemand(wanted);
  const auto [mean, longest] = fleet.Run();
  std::cout << nlohmann::json{{"bench", "capacity"},
                              {"instances", instances},
                              {"load", load},
                              {"pass_ms", mean},
                              {"longest_pass_ms", longest}}
            << std::endl;
}

}  // namespace
}  // namespace sumac::benchmarks

int main() {
  constexpr std::array kSizes = {60, 600, 6'000, 12'000};
  for (const int instances : kSizes) {
    const int used = instances / sumac::benchmarks::kInstancesPerUsed;
    sumac::benchmarks::Report(instances, "idle",
                              used / sumac::benchmarks::kPools);
    sumac::benchmarks::Report(instances, "rush", instances);
  }
  return 0;
}
