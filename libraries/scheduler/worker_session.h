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
#include "libraries/scheduler/worker_messages.h"

namespace sumac::scheduler {

// The leases that a leader gives to workers.
struct LeaseSettings {
  // How long a worker may go on without a renewal. It must outlast the loss of
  // a leader, the next election and its first round of renewals; the platform
  // bounds it from above.
  Milliseconds length{6'000};
  // How long a worker may keep a renewal's answer back: one on which nothing
  // runs, and one on which something does. Bounds how late a silent worker, or
  // a lost answer, is noticed.
  Milliseconds idle_renewal_wait{1'000};
  Milliseconds renewal_wait{600};
  // The same where runs that fill stand beside runs that serve: their pace
  // follows the reports.
  Milliseconds shared_renewal_wait{500};
  // A leader of many workers lets each of them wait longer, so that all
  // together answer no more often than this a second while nothing ends: a
  // renewal costs it some 70 microseconds.
  std::int64_t most_renewals_a_second = 600;
  // With more workers than this the leader waits between renewals instead of
  // the workers, since it has no connection for each of them.
  std::size_t most_waiting = std::numeric_limits<std::size_t>::max();
  // Bounds the wait, so that a lease outlasts two lost renewals.
  Milliseconds longest_renewal_wait{2'000};
  // Workers' clocks may run slow by this many thousandths.
  std::int64_t slow_clock_permille = 20;
  // Added to every bound for timers that fire late.
  Milliseconds margin{150};
};

enum class RunPhase {
  // The start was sent and not answered yet.
  kOrdered,
  // The worker said that it runs.
  kRunning,
  // It has to go: a stop was or will be sent.
  kStopping,
};

// One run as this leader knows it.
struct Run {
  jobs::TaskId task;
  RunNumber number;
  RunPhase phase = RunPhase::kOrdered;
  jobs::Resources need;
  // It serves users of its own, or it fills what others leave.
  bool is_serving = false;
  bool is_filler = false;
  // Its step has a disruption budget.
  bool is_budgeted = false;
  // Its task may crash its worker; nothing else is started there meanwhile.
  bool is_on_trial = false;
  SteadyTime ordered_at{};
  // Of a run that was adopted: an earlier leader may have stopped it just
  // before, and it is listed as running while the stop takes its time. Only a
  // report that comes from then on shows that it goes on.
  SteadyTime settled_at{};
  // The end of the lease that the start carried: a start that is carried out
  // late does nothing from then on.
  WorkerTime start_expires;
  // The worker's clock when it confirmed the start.
  std::optional<WorkerTime> confirmed_clock;
  // The last report that listed it as running, by its number.
  std::uint64_t seen_in_report = 0;
  std::uint32_t percent = 0;
  // When a report last showed another percent than the one before.
  SteadyTime percent_changed_at{};
  std::int64_t load = 0;
  // Of a filler: the pace it was told last, in hundredths; unknown for one that
  // was adopted, or whose order got no answer.
  std::optional<std::uint32_t> pace = 100;
  // Stopping: when to send the stop (again), and what was answered.
  SteadyTime stop_due{};
  std::optional<WorkerTime> stopped_clock;
};

// What a leader knows about one life of a worker. Belongs to the scheduler.
class WorkerSession {
 public:
  WorkerSession(const jobs::Worker& worker,
                LeaseSettings settings,
                SteadyTime now);

  const jobs::Worker& worker() const { return this->description; }
  // Takes in a change that the worker announced.
  void Update(const jobs::Worker& worker) {
    this->description = worker;
    this->pool_number.reset();
  }

  // The next renewal for one of `workers`; it also extends the bound on what
  // may run there.
  RenewOrder NextRenewal(LeaderEpoch epoch,
                         std::size_t workers,
                         SteadyTime now);

  // The lease end that an order sent now may carry, and extends the bound. Only
  // after the clock is known.
  WorkerTime GrantLease(SteadyTime now);

  // What runs and has ended there, asked without waiting and without a renewal.
  RenewOrder NextReportRequest(LeaderEpoch epoch) const;

  // True unless a later report was taken already: reports may overtake each
  // other.
  bool IsNewest(WorkerTime report_clock) const {
    return report_clock >= this->last_report;
  }
  // Takes in that a report was read now; only after its clock was.
  void NoteReport(WorkerTime report_clock, SteadyTime now);
  // When the worker made the last report, at the latest: one that waited to be
  // read tells of an earlier time.
  SteadyTime reported_at() const { return this->last_report_made_at; }
  // How many reports were taken; the number of the last one.
  std::uint64_t report_count() const { return this->reports; }

  // Takes in the clock of an answer.
  void NoteClock(WorkerTime clock, SteadyTime now);
  // Takes in that the worker answered.
  void NoteAnswer(SteadyTime now);
  // Takes in that a renewal or an order failed.
  void NoteFailure(SteadyTime now) {
    if (this->failures == 0) {
      this->first_failure = now;
    }
    ++this->failures;
    this->last_failure = now;
  }

  // True once the worker answered this leader and its lease has not lapsed
  // since: all that runs there is known.
  bool is_adopted() const { return this->has_answered; }
  // True if it answered the last renewal.
  bool is_answering() const {
    return this->has_answered && this->failures == 0;
  }
  // True if it failed to answer and nothing shows yet whether it still runs.
  bool is_in_doubt() const { return this->failures > 0; }
  // When it first failed to answer; `now` if it answered last.
  SteadyTime SilentSince(SteadyTime now) const {
    return this->failures > 0 ? this->first_failure : now;
  }
  // When this session began.
  SteadyTime began_at() const { return this->session_began; }
  // True if nothing can run there any more since the lease is over.
  bool IsLeaseOver(SteadyTime now) const;
  // True if besides the worker was asked since, and kept silent: a leader that
  // was late itself, or asked nobody, knows only that its runs have ended, and
  // not how.
  bool IsLapsed(SteadyTime now) const;
  // True if the worker answers and takes work.
  bool IsUsable(SteadyTime now) const;

  // Forgets all about runs, after everything there has ended; it must answer
  // again before it is used.
  void Reset();

  // The runs that this leader knows of there, by task and number.
  std::map<std::pair<jobs::TaskId, RunNumber>, Run>& runs() {
    return this->known_runs;
  }
  const std::map<std::pair<jobs::TaskId, RunNumber>, Run>& runs() const {
    return this->known_runs;
  }
  Run* FindRun(const jobs::TaskId& task, RunNumber number);
  Run& AddRun(Run&& run);
  // False if the run was not known.
  bool RemoveRun(const jobs::TaskId& task, RunNumber number);
  // Puts one of its runs on trial, and ends that.
  void BeginTrial(Run& run);
  void EndTrial(Run& run);
  // How many of its runs are on trial.
  std::uint32_t trials() const { return this->trial_count; }
  // Marks one of its runs as one that has to go; the stop is sent at `due`.
  void BeginStop(Run& run, SteadyTime due);
  // True if some run there may be waiting for its confirmation or its stop.
  // Most runs are only running, and a turn of the scheduler need not look at
  // them.
  bool has_unsettled_runs = false;

  // What is left for further tasks.
  jobs::Resources Room() const;
  // How many tasks of a step run there.
  std::uint32_t CountOf(const jobs::StepId& step) const;

  // How many of its runs serve users, and how many fill what others leave.
  std::uint32_t serving_runs() const { return this->serving_count; }
  std::uint32_t filler_runs() const { return this->filler_count; }

  // Nothing is started there, since its instance is to be taken away.
  bool is_cordoned = false;
  // It was known to be slow when this turn of the scheduler began.
  bool is_slow = false;
  // The number of its service's pool, once Placement has looked it up.
  std::optional<std::size_t> pool_number;
  // How fast fillers may work there.
  PaceState filler_pace;
  // A report was asked for beside the renewals, to see what is at work there.
  SteadyTime report_asked_at{};
  // Takes in that the ends that came right after this number are on record.
  void NoteRecorded(std::uint64_t after);

  std::uint64_t seen_ends = 0;
  // Where the lots of ends begin that are not on record yet.
  std::set<std::uint64_t> open_ends;
  std::uint64_t acknowledged_ends = 0;
  // No starts before this, after the worker said it had no room.
  SteadyTime full_until{};
  SteadyTime last_answer{};

 private:
  // How long the worker may keep the next renewal's answer back.
  Milliseconds RenewalWait(std::size_t workers) const;
  // What the worker's clock shows at least. Only after it is known.
  WorkerTime ClockAt(SteadyTime now) const;

  jobs::Worker description;
  LeaseSettings settings;
  bool has_answered = false;
  int failures = 0;
  // Of those since its last answer, the first.
  SteadyTime first_failure{};
  SteadyTime last_failure{};
  SteadyTime session_began;
  SteadyTime bound;
  // The clock of the last report, and what that was here at the latest.
  WorkerTime last_report;
  SteadyTime last_report_made_at{};
  std::uint64_t reports = 0;
  // The latest reading of the worker's clock and when it came.
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
