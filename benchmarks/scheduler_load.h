// SPDX-License-Identifier: Apache-2.0
#ifndef BENCHMARKS_SCHEDULER_LOAD_H_
#define BENCHMARKS_SCHEDULER_LOAD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "benchmarks/cost_meter.h"
#include "libraries/base/time.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/scheduler/scheduler.h"

namespace sumac::benchmarks {

// Drives a scheduler with the load of a busy leader, on a fake clock: jobs
// wait, runs end and are reported, starts are refused, and workers end and
// begin. Every execution of the same code makes the same decisions.
class SchedulerLoad {
 public:
  explicit SchedulerLoad(int workers);

  // Runs the load until it is steady, and then measures.
  void Run();

  // Returns the mean cost of each kind of call and a fingerprint of all orders.
  nlohmann::json ToJson() const;

 private:
  struct Target {
    jobs::Worker worker;
    std::map<std::pair<jobs::TaskId, RunNumber>, SteadyTime> running;
    std::vector<scheduler::EndReport> ended;
    std::uint64_t end_count = 0;
    SteadyTime report_due{};
    SteadyTime began_at{};
  };
  struct Meters {
    explicit Meters(const InstructionCounter& instructions)
        : pass(instructions),
          answer(instructions),
          report(instructions),
          renewal(instructions),
          move(instructions) {}

    CostMeter pass;
    CostMeter answer;
    CostMeter report;
    CostMeter renewal;
    CostMeter move;
  };

  std::string DrawName();
  void Commit(jobs::Command command);
  void AddTarget(int number);
  void MoveTarget();
  void SubmitLastingJob(int number);
  void SubmitShortJob();
  void RunIteration();
  void EndRuns(Target& target);
  void Report(Target& target);
  void RunPlanningPass();
  void ExecuteOrder(const scheduler::Order& order);
  scheduler::OrderAnswer Start(const scheduler::StartOrder& order);
  scheduler::WorkerTime ClockOf(const Target& target) const;
  void AddToFingerprint(std::string_view text);

  std::size_t size;
  std::mt19937_64 random{1};
  ManualClock clock;
  jobs::JobsState state;
  std::optional<scheduler::Scheduler> scheduler;
  std::map<WorkerId, Target> targets;
  std::deque<WorkerId> by_age;
  double moves_due = 0;
  double starts_due = 0;
  std::uint64_t fingerprint = 14'695'981'039'346'656'037U;
  std::uint64_t start_count = 0;
  std::size_t waiting_sum = 0;
  InstructionCounter instructions;
  std::optional<Meters> meters{std::in_place, this->instructions};
};

}  // namespace sumac::benchmarks

#endif  // BENCHMARKS_SCHEDULER_LOAD_H_
