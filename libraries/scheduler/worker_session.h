// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_WORKER_SESSION_H_
#define LIBRARIES_SCHEDULER_WORKER_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/resources.h"
#include "libraries/jobs/task_id.h"
#include "libraries/jobs/worker.h"
#include "libraries/scheduler/pace_control.h"
#include "libraries/scheduler/quota_ledger.h"
#include "libraries/scheduler/worker_messages.h"

namespace sumac::scheduler {

// Settings of the leases that a leader grants to workers.
struct LeaseSettings {
  // How long a worker may keep its runs going without a renewal. It must
  // outlast the loss of a leader, the following election and the new leader's
  // first round of renewals; the platform sets an upper bound.
  Milliseconds length{6'000};
  // The maximum time that a worker without runs, and one with runs, may delay
  // its answer to a renewal. It bounds how late a silent worker or a lost
  // answer is noticed.
  Milliseconds idle_renewal_wait{1'000};
  Milliseconds renewal_wait{600};
  // The same for a worker with both filler runs and runs that serve users: the
  // fillers' pace follows the reports.
  Milliseconds shared_renewal_wait{500};
  // The target rate of renewals over all workers while no run ends. A leader of
  // many workers lets each of them wait longer to stay below it, since one
  // renewal costs the leader about 70 microseconds.
  std::int64_t max_renewals_per_second = 600;
  // With more workers than this the leader waits between renewals, instead of
  // the workers delaying their answers, since it has no connection to spare for
  // each of them.
  std::size_t max_waiting = std::numeric_limits<std::size_t>::max();
  // The maximum wait per renewal, so that a lease outlasts two lost renewals.
  Milliseconds max_renewal_wait{2'000};
  // By how many thousandths a worker's clock may run slow.
  std::int64_t slow_clock_permille = 20;
  // A margin for timers that fire late, added to every bound on lease ends.
  Milliseconds margin{150};
};

enum class RunPhase {
  // The start was sent and has not been answered yet.
  kOrdered,
  // The worker has confirmed that it is running.
  kRunning,
  // The run must end: a stop has been or will be sent.
  kStopping,
};

// The leader's view of one run.
struct Run {
  jobs::TaskId task;
  RunNumber number;
  RunPhase phase = RunPhase::kOrdered;
  jobs::Resources need;
  // What the run counts against its customer's quota.
  QuotaLedger::Reservation quota;
  // Whether its task serves users, and whether it is a filler, which uses the
  // resources that other runs leave free.
  bool is_serving = false;
  bool is_filler = false;
  // Whether its step has a disruption budget.
  bool is_budgeted = false;
  // Whether the run is a trial because its task may crash its worker. Nothing
  // else is started on that worker during a trial.
  bool is_on_trial = false;
  SteadyTime ordered_at{};
  // True if an earlier leader ordered the run; `ordered_at` is then the time at
  // which this leader first saw it.
  bool is_adopted = false;
  // For an adopted run: only a report made at or after this time shows that the
  // run continues. An earlier leader may have stopped it just before, and a run
  // is reported as running until the stop takes effect.
  SteadyTime settled_at{};
  // For a run that is not adopted: the end of the lease that the start order
  // carried. A worker that handles
  // the order at or after this time does not start the run.
  WorkerTime start_expires;
  // The worker's clock when it confirmed the start.
  std::optional<WorkerTime> confirmed_clock;
  // The number of the last report that listed the run as running.
  std::uint64_t seen_in_report = 0;
  std::uint32_t percent = 0;
  // When `percent` last changed from one report to the next.
  SteadyTime percent_changed_at{};
  std::int64_t load = 0;
  // For a filler: the last ordered pace, in percent of full speed; unknown if
  // the run was adopted or the last pace order was not answered.
  std::optional<std::uint32_t> pace = 100;
  // For a run that is being stopped: when to send the stop (again), and the
  // worker's clock when it acknowledged the stop.
  SteadyTime stop_due{};
  std::optional<WorkerTime> stopped_clock;
};

// The leader's view of one incarnation of a worker: its lease, its reports and
// its runs. Owned by the scheduler.
class WorkerSession {
 public:
  WorkerSession(const jobs::Worker& worker,
                LeaseSettings settings,
                SteadyTime now);

  const jobs::Worker& worker() const { return this->description; }
  // Applies a change that the worker announced.
  void Update(const jobs::Worker& worker) {
    this->description = worker;
    this->pool_number.reset();
  }

  // Returns the next renewal for this worker, one of `workers` in total. If the
  // renewal carries a lease, extends the bound on when runs there must have
  // ended.
  RenewOrder NextRenewal(LeaderEpoch epoch,
                         std::size_t workers,
                         SteadyTime now);

  // Returns the lease end that an order sent now may carry, and extends the
  // bound on when runs there must have ended. The worker's clock must be known.
  WorkerTime GrantLease(SteadyTime now);

  // Returns a request for a report of what is running and what has ended there.
  // The worker answers immediately and its lease is not renewed.
  RenewOrder NextReportRequest(LeaderEpoch epoch) const;

  // Returns true unless a later report was handled already: reports may
  // overtake each other.
  bool IsNewest(WorkerTime report_clock) const {
    return report_clock >= this->last_report;
  }
  // Records a report that was read now. RecordClock must be called with the
  // report's clock first.
  void RecordReport(WorkerTime report_clock, SteadyTime now);
  // The latest time at which the worker can have made its last report. It is
  // earlier than the time of reading if the report had to wait to be read.
  SteadyTime reported_at() const { return this->last_report_made_at; }
  // The number of reports handled so far, which is also the number of the last
  // report.
  std::uint64_t report_count() const { return this->reports; }

  // Records the worker's clock as read from an answer.
  void RecordClock(WorkerTime clock, SteadyTime now);
  // Records that the worker answered.
  void RecordAnswer(SteadyTime now);
  // Records that a renewal or an order failed. `is_timeout` if nothing answered
  // at all, so that the worker may only be cut off.
  void RecordFailure(SteadyTime now, bool is_timeout) {
    if (this->failures == 0) {
      this->first_failure = now;
    }
    this->timed_out = this->timed_out || is_timeout;
    ++this->failures;
    this->last_failure = now;
  }

  // Returns true if the worker has answered this leader and has not expired
  // since, so that all its runs are known.
  bool is_adopted() const { return this->has_answered; }
  // Returns true if the worker answered the last renewal.
  bool is_answering() const {
    return this->has_answered && this->failures == 0;
  }
  // Returns true if the worker failed to answer and it is not confirmed yet
  // whether it is still running.
  bool is_possibly_down() const { return this->failures > 0; }
  // Returns when the worker first failed to answer since its last answer, or
  // `now` if it has not failed since.
  SteadyTime SilentSince(SteadyTime now) const {
    return this->failures > 0 ? this->first_failure : now;
  }
  // Returns true if a call to the worker has timed out since its last answer.
  // Its runs may have ended without a report, by themselves or by their lease.
  bool has_timed_out() const { return this->timed_out; }
  // The time at which this session began.
  SteadyTime began_at() const { return this->session_began; }
  // Returns true if the lease is over, so that nothing can be running there any
  // more.
  bool IsLeaseOver(SteadyTime now) const;
  // Returns true if the lease is over and a later call to the worker has
  // failed. A leader that was late itself, or sent no call, knows only that the
  // runs there have ended, but not how.
  bool IsExpired(SteadyTime now) const;
  // Returns true if the worker answers and accepts starts.
  bool IsUsable(SteadyTime now) const;

  // Removes all runs, after everything there has ended. The worker must answer
  // again before it is used.
  void Reset();

  // The known runs on this worker, by task and run number.
  std::map<std::pair<jobs::TaskId, RunNumber>, Run>& runs() {
    return this->known_runs;
  }
  const std::map<std::pair<jobs::TaskId, RunNumber>, Run>& runs() const {
    return this->known_runs;
  }
  Run* FindRun(const jobs::TaskId& task, RunNumber number);
  Run& AddRun(Run&& run);
  // Returns false if the run was not known.
  bool RemoveRun(const jobs::TaskId& task, RunNumber number);
  // Begin and end the trial of one of its runs.
  void BeginTrial(Run& run);
  void EndTrial(Run& run);
  // The number of its runs that are on trial.
  std::uint32_t trials() const { return this->trial_count; }
  // Marks one of its runs as stopping; the stop is to be sent at `due`.
  void BeginStop(Run& run, SteadyTime due);
  // Whether some run there may be waiting for its confirmation or its stop.
  // Most runs are just running, and this lets a planning pass skip workers that
  // have only such runs.
  bool has_unsettled_runs = false;

  // Returns the resources that are free for further tasks.
  jobs::Resources Room() const;
  // Returns the number of tasks of a step that run there.
  std::uint32_t CountTasksOf(const jobs::StepId& step) const;

  // The numbers of its runs that serve users and that are fillers.
  std::uint32_t serving_runs() const { return this->serving_count; }
  std::uint32_t filler_runs() const { return this->filler_count; }

  // Whether nothing may be started there because its instance is to be taken
  // away, and whether it comes back to the same service soon after.
  bool is_cordoned = false;
  bool is_returning = false;
  // Whether nothing may be started there because operators have evacuated its
  // data centre.
  bool is_evacuated = false;
  // Whether it was known to be slow when the current planning pass began.
  bool is_slow = false;
  // The number of its service's pool, cached by Placement.
  std::optional<std::size_t> pool_number;
  // The pace at which fillers may work there.
  PaceState filler_pace;
  // When a report was last requested in addition to the renewals, to learn what
  // is running there.
  SteadyTime report_requested_at{};
  // Records that the batch of ends that follows the end numbered `after` is
  // committed.
  void HandleEndsCommitted(std::uint64_t after);

  std::uint64_t seen_ends = 0;
  // The `after` numbers of the batches of ends that are not committed yet.
  std::set<std::uint64_t> uncommitted_ends;
  std::uint64_t acknowledged_ends = 0;
  // No starts are sent before this time, for example because the worker
  // reported that it had no room.
  SteadyTime full_until{};
  SteadyTime last_answer{};

 private:
  // Returns how long the worker may delay its answer to the next renewal.
  Milliseconds RenewalWait(std::size_t workers) const;
  // Returns a lower bound of what the worker's clock shows. The worker's clock
  // must be known.
  WorkerTime ClockAt(SteadyTime now) const;

  jobs::Worker description;
  LeaseSettings settings;
  bool has_answered = false;
  int failures = 0;
  bool timed_out = false;
  // The time of the first failure since the worker's last answer.
  SteadyTime first_failure{};
  SteadyTime last_failure{};
  SteadyTime session_began;
  // The time from which nothing can be running there any more, unless the lease
  // is renewed.
  SteadyTime lease_bound;
  // The worker's clock in the last report, and the latest time on this
  // process's clock that this can correspond to.
  WorkerTime last_report;
  SteadyTime last_report_made_at{};
  std::uint64_t reports = 0;
  // The best reading of the worker's clock and when it was received.
  std::optional<std::pair<WorkerTime, SteadyTime>> clock;
  std::map<std::pair<jobs::TaskId, RunNumber>, Run> known_runs;
  std::map<jobs::StepId, std::uint32_t> step_counts;
  jobs::Resources used;
  std::uint32_t serving_count = 0;
  std::uint32_t filler_count = 0;
  std::uint32_t trial_count = 0;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_WORKER_SESSION_H_
