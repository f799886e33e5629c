// SPDX-License-Identifier: Apache-2.0

// Measures the cost of one decision at growing sizes of the fleet, on a fake
// clock and without any network. Prints JSON lines. usage: decision_bench
// CHARTS_FOLDER

#include <chrono>
#include <iostream>
#include <random>
#include <string>

#include "benchmarks/scheduler_load.h"
#include "libraries/base/text.h"
#include "libraries/codec/json_writer.h"
#include "libraries/fleet/fleet_machine.h"
#include "libraries/fleet/planner.h"
#include "libraries/fleet/soft_state.h"
#include "libraries/fleet/view.h"
#include "libraries/routing/router.h"

namespace sumac::benchmarks {
namespace {

using BenchClock = std::chrono::steady_clock;

constexpr int kPools = 10;

// Returns the mean time of one call of `work`, in nanoseconds.
template <typename Work>
double MeasureNanoseconds(int repeats, Work work) {
  const auto begin = BenchClock::now();
  for (int repeat = 0; repeat < repeats; ++repeat) {
    work(repeat);
  }
  const std::chrono::duration<double, std::nano> elapsed =
      BenchClock::now() - begin;
  return elapsed.count() / repeats;
}

fleet::TargetDescription MakeTarget(int number, fleet::TargetKind kind) {
  return fleet::TargetDescription{
      .name = InstanceName(StrCat("instance-", number)),
      .kind = kind,
      .incarnation = Incarnation(1),
      .address = "127.0.0.1:1",
      .data_centre = DataCentre(StrCat("dc-", number / 4 % 4)),
      .rack = Rack(StrCat("rack-", number / 4)),
      .pool = PoolName(StrCat("pool-", number % kPools)),
      .services = {ServiceName(StrCat("service-", number % kPools))},
      .slots = 8,
      .connections = 64,
      .millicores = 16'000,
      .memory_mb = 32'768};
}

fleet::Declaration MakeDeclaration(int instances) {
  fleet::Declaration declaration;
  for (int pool = 0; pool < kPools; ++pool) {
    declaration.pools.push_back(
        fleet::Pool{.name = PoolName(StrCat("pool-", pool)),
                    .capacity = static_cast<std::uint32_t>(instances / kPools),
                    .budget = {.smallest_share = 0.5},
                    .settle_time = Milliseconds(0)});
    declaration.services.push_back(
        fleet::Service{.name = ServiceName(StrCat("service-", pool)),
                       .pool = PoolName(StrCat("pool-", pool)),
                       .most_open_per_caller = 100'000});
  }
  return declaration;
}

// A fleet of settled targets of one kind, as a state machine and soft state.
class Fleet {
 public:
  Fleet(const fleet::Charts& charts, int instances, fleet::TargetKind kind)
      : machine(charts) {
    this->Apply(fleet::ApplyDeclaration{{"bench", OperatorRequestId("d")},
                                        Revision(0),
                                        MakeDeclaration(instances)});
    fleet::RecordInstanceEvents settled;
    for (int number = 0; number < instances; ++number) {
      const fleet::TargetDescription target = MakeTarget(number, kind);
      this->Apply(fleet::RecordTargets{{target}});
      settled.items.push_back(
          {target.name, target.incarnation, fleet::InstanceEvent::kSettled});
      this->soft.RecordAnnouncement(fleet::Announcement{.target = target},
                                    this->clock.SteadyNow());
    }
    this->Apply(settled);
  }

  fleet::Answer Apply(fleet::Command command) {
    return this->machine.Apply(
        fleet::StampedCommand{this->clock.Now(), std::move(command)});
  }

  ManualClock clock;
  fleet::FleetMachine machine;
  fleet::SoftState soft;
};

void MeasureRouting(const fleet::Charts& charts, int instances) {
  Fleet fleet_state(charts, instances, fleet::TargetKind::kMinion);
  routing::Router router(
      routing::SharingSettings{.data_centre = DataCentre("dc-1")},
      routing::DecisionRing(ProcessName("e1"), 1, 1'000), 1);
  router.Update(fleet::MakeView(fleet_state.machine.state()));
  const SteadyTime now = fleet_state.clock.SteadyNow();
  const WallTime wall_now = fleet_state.clock.Now();
  const double nanoseconds = MeasureNanoseconds(20'000, [&](int repeat) {
    routing::RequestInfo request{
        .number = static_cast<std::uint64_t>(repeat) + 1,
        .label = "request",
        .service = ServiceName(StrCat("service-", repeat % kPools)),
        .caller = CallerName("caller"),
        .deadline = now + Milliseconds(1'000)};
    const routing::RouteResult result = router.Admit(request, now, wall_now);
    router.FinishTry(std::get<routing::SendTo>(result).choice.minion,
                     routing::TryOutcome::kAnswered, 1, now);
    router.FinishRequest(request);
    router.TakeNewDecisions();
  });
  std::cout << nlohmann::json{{"bench", "routing_decision"},
                              {"targets", instances},
                              {"ns", std::lround(nanoseconds)}}
                   .dump()
            << std::endl;
}

void MeasureFleet(const fleet::Charts& charts, int instances) {
  Fleet fleet_state(charts, instances, fleet::TargetKind::kWorker);
  const double plan = MeasureNanoseconds(50, [&](int /*repeat*/) {
    fleet::Plan(fleet_state.machine.state(), fleet_state.soft,
                fleet::PlannerSettings(), fleet_state.clock.Now(),
                fleet_state.clock.SteadyNow());
  });
  const double grant = MeasureNanoseconds(200, [&](int repeat) {
    const auto request = repeat % 2 == 0 ? fleet::InstanceRequest::kDrain
                                         : fleet::InstanceRequest::kUndrain;
    fleet_state.Apply(fleet::OperateInstance{
        {"bench", OperatorRequestId(StrCat("r", repeat))},
        request,
        InstanceName("instance-3")});
  });
  const double place = MeasureNanoseconds(200, [&](int repeat) {
    const JobId id(StrCat("job-", repeat));
    fleet_state.Apply(
        fleet::SubmitJob{{"bench", OperatorRequestId(StrCat("j", repeat))},
                         fleet::JobSpec{.id = id, .pool = PoolName("pool-1")}});
    for (fleet::Command& command :
         fleet::Plan(fleet_state.machine.state(), fleet_state.soft,
                     fleet::PlannerSettings(), fleet_state.clock.Now(),
                     fleet_state.clock.SteadyNow())) {
      fleet_state.Apply(std::move(command));
    }
  });
  const auto begin = BenchClock::now();
  const std::size_t bytes = fleet_state.machine.state().ToSnapshot().size();
  const std::chrono::duration<double, std::milli> snapshot =
      BenchClock::now() - begin;
  std::cout << nlohmann::json{{"bench", "fleet_decision"},
                              {"workers", instances},
                              {"plan_us", std::lround(plan / 1'000)},
                              {"grant_us", std::lround(grant / 1'000)},
                              {"submit_and_place_us",
                               std::lround(place / 1'000)},
                              {"snapshot_bytes_per_worker", bytes / instances},
                              {"snapshot_ms", std::lround(snapshot.count())}}
                   .dump()
            << std::endl;
}

void MeasureScheduler(int workers) {
  SchedulerLoad load(workers);
  load.Run();
  std::cout << load.ToJson().dump() << std::endl;
}

}  // namespace
}  // namespace sumac::benchmarks

int main(int argument_count, char** argument_values) {
  if (argument_count != 2) {
    std::cerr << "usage: decision_bench CHARTS_FOLDER\n";
    return 2;
  }
  const auto charts = sumac::fleet::Charts::Load(argument_values[1]);
  if (!charts.ok()) {
    std::cerr << charts.status() << "\n";
    return 1;
  }
  for (const int size : {50, 500, 6'400}) {
    sumac::benchmarks::MeasureRouting(*charts, size);
    sumac::benchmarks::MeasureFleet(*charts, size);
  }
  for (const int workers : {50, 350, 1'100, 6'400}) {
    sumac::benchmarks::MeasureScheduler(workers);
  }
  return 0;
}
