// SPDX-License-Identifier: Apache-2.0
// Compares ways to share a full fleet between customers: plays drawn arrivals
// through each and prints how evenly the customers were served, what the worst
// tenth of them got, how much work was done in time, and what a decision costs.
//   share_bench
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <string>
#include <string_view>

#include "benchmarks/share_load.h"
#include "libraries/scheduler/customer_shares.h"
#include "libraries/scheduler/dominant_shares.h"
#include "libraries/scheduler/fair_queue_shares.h"

namespace sumac::benchmarks {
namespace {

// The bucket that counts jobs, with the interface of the other ways.
class Bucket {
 public:
  explicit Bucket(Milliseconds span) : shares({.span = span}) {}
  void SetCapacity(const jobs::Resources& /*capacity*/) {}
  bool CountJob(const jobs::CustomerDeclaration& customer,
                const scheduler::ShareRequest& /*request*/,
                SteadyTime now) {
    return this->shares.CountJob(&customer, now);
  }
  void CountEnd(const jobs::CustomerDeclaration& /*customer*/,
                const scheduler::ShareRequest& /*request*/,
                SteadyTime /*now*/) {}

 private:
  scheduler::CustomerShares shares;
};

// No shares at all.
class Nothing {
 public:
  void SetCapacity(const jobs::Resources& /*capacity*/) {}
  bool CountJob(const jobs::CustomerDeclaration& /*customer*/,
                const scheduler::ShareRequest& /*request*/,
                SteadyTime /*now*/) {
    return false;
  }
  void CountEnd(const jobs::CustomerDeclaration& /*customer*/,
                const scheduler::ShareRequest& /*request*/,
                SteadyTime /*now*/) {}
};

// Fair queueing that counts every job as the same work, since weights are given
// in jobs.
class FairByJobs {
 public:
  explicit FairByJobs(Milliseconds horizon) : shares({.horizon = horizon}) {}
  void SetCapacity(const jobs::Resources& capacity) {
    this->shares.SetCapacity(capacity);
  }
  bool CountJob(const jobs::CustomerDeclaration& customer,
                const scheduler::ShareRequest& /*request*/,
                SteadyTime now) {
    constexpr double kMeanWork = 8;
    return this->shares.CountJob(customer,
                                 {.core_seconds = kMeanWork, .need = {}}, now);
  }
  void CountEnd(const jobs::CustomerDeclaration& /*customer*/,
                const scheduler::ShareRequest& /*request*/,
                SteadyTime /*now*/) {}

 private:
  scheduler::FairQueueShares shares;
};

// Returns the nanoseconds that one decision takes while all customers send.
template <typename Way>
double CostOf(const ShareLoad& load, Way&& way) {
  way.SetCapacity(load.capacity());
  const auto began = std::chrono::steady_clock::now();
  for (const ShareJob& job : load.jobs()) {
    way.CountJob(load.customers()[job.customer], job.request,
                 SteadyTime(Milliseconds(1'000'000) + job.arrives));
  }
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - began;
  return took.count() / static_cast<double>(load.jobs().size());
}

template <typename MakeWay>
void Compare(std::string_view name,
             std::size_t customers,
             std::size_t hot,
             MakeWay make_way) {
  constexpr std::uint64_t kSeeds = 5;
  ShareFigures mean;
  double cost = 0;
  std::size_t jobs = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const ShareLoad load({.customers = customers, .seed = seed, .hot = hot});
    const ShareFigures figures = load.Play(make_way());
    mean.jain += figures.jain / kSeeds;
    mean.worst_tenth += figures.worst_tenth / kSeeds;
    mean.worst_window += figures.worst_window / kSeeds;
    mean.work += figures.work / kSeeds;
    mean.hot_served += figures.hot_served / kSeeds;
    mean.others_served += figures.others_served / kSeeds;
    cost += CostOf(load, make_way()) / kSeeds;
    jobs += load.jobs().size();
  }
  std::cout << std::setw(10) << name << std::setw(8) << customers
            << std::setw(5) << hot << std::setw(9) << jobs << std::fixed
            << std::setprecision(3) << std::setw(8) << mean.jain << std::setw(8)
            << mean.worst_tenth << std::setw(8) << mean.worst_window
            << std::setw(8) << mean.work << std::setw(8) << mean.hot_served
            << std::setw(8) << mean.others_served << std::setprecision(0)
            << std::setw(8) << cost << std::endl;
}

void CompareAll(std::size_t customers, std::size_t hot) {
  using scheduler::DominantShares;
  using scheduler::FairQueueShares;
  Compare("nothing", customers, hot, [] { return Nothing(); });
  Compare("bucket-1s", customers, hot,
          [] { return Bucket(Milliseconds(1'000)); });
  Compare("bucket-5s", customers, hot,
          [] { return Bucket(Milliseconds(5'000)); });
  Compare("bucket-2s", customers, hot,
          [] { return Bucket(Milliseconds(2'000)); });
  Compare("bucket-10s", customers, hot,
          [] { return Bucket(Milliseconds(10'000)); });
  Compare("dominant", customers, hot, [] { return DominantShares(); });
  for (const std::int64_t horizon : {500, 1'000, 2'000}) {
    Compare("fairjob-" + std::to_string(horizon), customers, hot,
            [&] { return FairByJobs(Milliseconds(horizon)); });
  }
  for (const std::int64_t horizon : {500, 1'000, 2'000}) {
    Compare("fair-" + std::to_string(horizon), customers, hot, [&] {
      return FairQueueShares({.horizon = Milliseconds(horizon)});
    });
  }
}

}  // namespace
}  // namespace sumac::benchmarks

int main() {
  std::cout
      << "       way    cust  hot     jobs    jain   worst  window    work     "
         "hot  others   ns\n";
  for (const std::size_t customers : {20, 160, 10'000}) {
    for (const std::size_t hot : {0, 1, 3}) {
      sumac::benchmarks::CompareAll(customers, hot);
    }
  }
  return 0;
}
