// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_SCHEDULER_FAKE_WORKER_H_
#define TESTS_LIBRARIES_SCHEDULER_FAKE_WORKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/jobs/job_spec.h"
#include "libraries/jobs/worker.h"
#include "libraries/scheduler/scheduler.h"
#include "libraries/scheduler/worker_messages.h"

namespace sumac::scheduler {

// A worker as the platform describes it, in memory: fencing tokens, leases on
// its own clock, runs that end, ends that are listed until acknowledged.
class FakeWorker {
 public:
  struct Running {
    RunNumber run;
    SteadyTime began_at;
    // When it ends by itself, in true time.
    SteadyTime ends_at;
    bool fails = false;
    // It has no end of its own and is at work from its start on.
    bool is_long_running = false;
    bool is_serving = false;
    bool is_filler = false;
    std::uint32_t pace = 100;
    // When a stop that is under way takes effect.
    std::optional<SteadyTime> stops_at;
  };

  // Its clock started at `clock_offset` and loses `slow_permille`.
  FakeWorker(jobs::Worker description,
             Milliseconds clock_offset,
             std::int64_t slow_permille)
      : description(std::move(description)),
        clock_offset(clock_offset),
        slow_permille(slow_permille) {}

  // Lets leases lapse and runs end.
  void Tick(SteadyTime now);

  OrderAnswer Start(const StartOrder& order,
                    Milliseconds work,
                    bool fails,
                    const jobs::StepSpec& step,
                    SteadyTime now);
  OrderAnswer Pace(const PaceOrder& order);
  OrderAnswer Stop(const StopOrder& order, SteadyTime now);
  // The report, or nothing when the fencing token is too low.
  std::optional<RenewReport> Renew(const RenewOrder& order, SteadyTime now);

  WorkerTime ClockAt(SteadyTime now) const;
  // True while its lease holds.
  bool HasLease(SteadyTime now) const {
    return this->ClockAt(now) < this->lease_end;
  }
  // All that runs dies, as when the process is killed.
  void Crash();

  const std::map<jobs::TaskId, Running>& running() const { return this->tasks; }
  // All runs that ever began here, in their order.
  const std::vector<std::pair<jobs::TaskId, RunNumber>>& begun_runs() const {
    return this->begun;
  }
  // All ends that there ever were here, in their order.
  const std::vector<EndReport>& all_ends() const { return this->every_end; }
  // Ends numbered up to this were acknowledged.
  std::uint64_t acknowledged_ends() const { return this->acknowledged; }
  // Ends that are not acknowledged, in their order.
  const std::vector<EndReport>& unacknowledged_ends() const {
    return this->ended;
  }
  WorkerTime lease_ends_at() const { return this->lease_end; }

  jobs::Worker description;
  bool is_up = true;
  // Nothing reaches it and nothing comes from it, but it runs on.
  bool is_cut = false;
  // What is started there never gets on, or takes this many times as long.
  bool stands_still = false;
  int slowness = 1;
  // The tail of the answer times of what serves there, in milliseconds: alone,
  // and what a filler at full speed adds.
  std::int64_t tail = 0;
  std::int64_t tail_per_filler = 0;
  // Tickets without which it starts nothing; empty for any.
  std::set<std::string> tickets;
  // How long a stop takes after it was answered; the run is listed as running
  // until then.
  Milliseconds stop_time{0};
  // What everything there has saved.
  std::string checkpoint;
  // While it is cut off, connections to it are refused.
  bool is_cut_with_resets = false;
  // What it answers to starts, or to stops, instead of carrying them out.
  std::optional<OrderResult> start_refusal;
  std::optional<OrderResult> stop_refusal;
  // A report lists this many ends at most.
  std::size_t most_listed_ends = 500;

 private:
  void End(const jobs::TaskId& task, EndCause cause);
  std::int64_t LoadOf(const Running& running) const;
  static std::uint32_t PercentOf(const Running& running, SteadyTime now);

  Milliseconds clock_offset;
  std::int64_t slow_permille;
  LeaderEpoch fence;
  WorkerTime lease_end;
  std::map<jobs::TaskId, Running> tasks;
  // Runs up to this were stopped or ended here.
  std::map<jobs::TaskId, RunNumber> closed;
  std::vector<EndReport> ended;
  std::uint64_t next_end = 1;
  std::uint64_t acknowledged = 0;
  std::vector<std::pair<jobs::TaskId, RunNumber>> begun;
  std::vector<EndReport> every_end;
};

}  // namespace sumac::scheduler

#endif  // TESTS_LIBRARIES_SCHEDULER_FAKE_WORKER_H_
