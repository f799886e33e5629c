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

// An in-memory worker that follows the platform's protocol: fencing tokens,
// leases on its own clock, runs that end, and ends that are listed until
// acknowledged.
class FakeWorker {
 public:
  struct Running {
    RunNumber run;
    SteadyTime began_at;
    // When the run ends by itself, by the test's clock.
    SteadyTime ends_at;
    bool fails = false;
    // Whether the run never ends by itself and is in operation from its start
    // on.
    bool is_long_running = false;
    bool is_serving = false;
    bool is_filler = false;
    std::uint32_t pace = 100;
    // When a stop in progress takes effect.
    std::optional<SteadyTime> stops_at;
  };

  // Creates a worker whose clock started at `clock_offset` and runs slow by
  // `slow_permille`.
  FakeWorker(jobs::Worker description,
             Milliseconds clock_offset,
             std::int64_t slow_permille)
      : description(std::move(description)),
        clock_offset(clock_offset),
        slow_permille(slow_permille) {}

  // Handles leases that expire and runs that end.
  void Tick(SteadyTime now);

  OrderAnswer Start(const StartOrder& order,
                    Milliseconds work,
                    bool fails,
                    const jobs::StepSpec& step,
                    SteadyTime now);
  OrderAnswer Pace(const PaceOrder& order);
  OrderAnswer Stop(const StopOrder& order, SteadyTime now);
  // Returns the report, or nothing if the fencing token is too low.
  std::optional<RenewReport> Renew(const RenewOrder& order, SteadyTime now);

  WorkerTime ClockAt(SteadyTime now) const;
  // Returns true while the worker's lease lasts.
  bool HasLease(SteadyTime now) const {
    return this->ClockAt(now) < this->lease_end;
  }
  // Loses all runs, as when the process is killed.
  void Crash();

  const std::map<jobs::TaskId, Running>& running() const { return this->tasks; }
  // All runs that ever began here, in order.
  const std::vector<std::pair<jobs::TaskId, RunNumber>>& begun_runs() const {
    return this->begun;
  }
  // All ends that ever occurred here, in order.
  const std::vector<EndReport>& all_ends() const { return this->every_end; }
  // Ends numbered up to this have been acknowledged.
  std::uint64_t acknowledged_ends() const { return this->acknowledged; }
  // Ends that are not acknowledged, in order.
  const std::vector<EndReport>& unacknowledged_ends() const {
    return this->ended;
  }
  WorkerTime lease_ends_at() const { return this->lease_end; }

  jobs::Worker description;
  bool is_up = true;
  // Whether it is cut off: it neither receives nor sends anything, but keeps
  // running.
  bool is_cut = false;
  // Whether runs that are started there make no progress, and by what factor
  // they are slowed down.
  bool stalls_runs = false;
  int slowness = 1;
  // The tail latency of serving runs there, in milliseconds: by themselves, and
  // how much a filler at full speed adds.
  std::int64_t tail = 0;
  std::int64_t tail_per_filler = 0;
  // The tickets that it accepts with starts; empty to accept any start.
  std::set<std::string> tickets;
  // How long a stop takes to take effect after it was acknowledged; the run is
  // reported as running until then.
  Milliseconds stop_time{0};
  // The checkpoint that all runs there have saved.
  std::string checkpoint;
  // Whether connections to it are refused while it is cut off.
  bool is_cut_with_resets = false;
  // The answer to starts, and to stops, that it gives instead of carrying them
  // out.
  std::optional<OrderResult> start_refusal;
  std::optional<OrderResult> stop_refusal;
  // The maximum number of ends that a report lists.
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
  // The highest run number of each task that was stopped or ended here.
  std::map<jobs::TaskId, RunNumber> closed;
  std::vector<EndReport> ended;
  std::uint64_t next_end = 1;
  std::uint64_t acknowledged = 0;
  std::vector<std::pair<jobs::TaskId, RunNumber>> begun;
  std::vector<EndReport> every_end;
};

}  // namespace sumac::scheduler

#endif  // TESTS_LIBRARIES_SCHEDULER_FAKE_WORKER_H_
