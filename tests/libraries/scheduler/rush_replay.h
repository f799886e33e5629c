// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_SCHEDULER_RUSH_REPLAY_H_
#define TESTS_LIBRARIES_SCHEDULER_RUSH_REPLAY_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/scheduler/admission.h"
#include "libraries/scheduler/backlog.h"
#include "libraries/scheduler/loop_pacer.h"
#include "libraries/scheduler/refused_callers.h"
#include "libraries/scheduler/return_times.h"
#include "libraries/scheduler/run_times.h"
#include "libraries/scheduler/start_forecast.h"
#include "libraries/scheduler/waiting_jobs.h"

namespace sumac::scheduler {

struct RushSettings {
  // The available processor time as a share of the time that is needed for a
  // load of 110 calls a second.
  double processor_share = 1.0;
  double rush_calls_a_second = 110;
  std::chrono::seconds rush{10};
  // Whether jobs are also refused because of the jobs that wait before them.
  bool has_backlog_limits = false;
  // How long a refused caller keeps trying; if it is not set, it gives up after
  // its fifth try. Callers with patience are told whole seconds, as on the
  // wire.
  std::optional<std::chrono::seconds> patience;
  // Whether refused callers wait longer in a long rush.
  bool stretches_retries = false;
};

// Simulates a load spike (a rush) on a leader that has too little processor
// time, with the leader's own decisions: which jobs it accepts, how many starts
// it orders and for which jobs, and how long it collects work. The leader is
// one event loop that processes what it receives in order. Each kind of work
// has the cost measured on a real leader, more on a slower processor. Workers
// have room for everything. Time is simulated, and every run gives the same
// figures.
class RushReplay {
 public:
  explicit RushReplay(RushSettings settings);

  // Simulates ten calm seconds, the rush, and the time until all is done.
  void Run();

  // Returns the share of the queue's jobs that were done in time, counted from
  // when their callers first sent them.
  double InTimeShare(const QueueName& queue) const;
  // Returns the number of answers that refused a job.
  std::uint64_t refusals() const { return this->refused; }

  // Returns the number of answers that refused a job for each call that was
  // never accepted.
  double RefusalsPerLostCall() const;
  // Returns the mean of the two queues' shares of jobs in time.
  double BothInTimeShare() const {
    return (this->InTimeShare(kUrgent) + this->InTimeShare(kPatient)) / 2;
  }
  // Returns the share of all calls whose job was done, however late.
  double DoneShare() const;

  // Returns the share of all calls whose job was accepted.
  double AcceptedShare() const;

  static const QueueName kUrgent;
  static const QueueName kPatient;

 private:
  using Instant = std::chrono::microseconds;
  struct Event {
    Instant at{};
    std::uint64_t number = 0;
    std::function<void()> action;

    bool operator<(const Event& other) const {
      return std::pair(other.at, other.number) <
             std::pair(this->at, this->number);
    }
  };
  struct Call {
    JobId id;
    QueueName queue;
    std::uint32_t steps = 1;
    Instant first_sent{};
    int tries = 0;
    Instant longest_chain{};
    bool is_accepted = false;
    bool is_in_time = false;
    bool is_done = false;
  };
  struct Worker {
    std::vector<jobs::RunEnd> ended;
    bool is_report_due = false;
    Instant earliest_report_at{};
  };

  void Schedule(Instant at, std::function<void()> action);
  void SpendTime(Instant cost);
  SteadyTime Now() const;
  WallTime WallNow() const;
  void MeasureLateness(Instant due);
  void SendCalls(Instant from, Instant to, double calls_a_second);
  void Submit(const JobId& id);
  std::optional<Milliseconds> RefuseForBacklog(const Call& call,
                                               const jobs::JobSpec& spec);
  void Refuse(Call& call, Milliseconds retry_after);
  void Commit(jobs::Command command);
  void CommitRound();
  void SchedulePass();
  void Pass();
  void StartSteps(const DueOccurrence& due,
                  StartAllowance& left,
                  bool& is_all_placed);
  void Start(const jobs::TaskId& task);
  void End(std::size_t worker, const jobs::TaskId& task);
  void Report(std::size_t worker);
  void RecordFinished(const JobId& id);

  RushSettings settings;
  std::mt19937_64 random{7};
  jobs::JobsState state;
  RunTimes run_times;
  WaitingJobs waiting;
  Admission admission;
  Backlog backlog;
  StartForecast forecast;
  RefusedCallers refused_callers;
  ReturnTimes return_times;
  LoopPacer pacer;
  Instant now{};
  std::priority_queue<Event> events;
  std::uint64_t event_count = 0;
  std::map<JobId, Call> calls;
  std::map<jobs::TaskId, Instant> started;
  std::map<jobs::StepId, Instant> longest_runs;
  std::vector<Worker> workers;
  std::vector<jobs::Command> gathered;
  bool is_pass_due = false;
  std::size_t open_starts = 0;
  std::uint64_t refused = 0;
};

}  // namespace sumac::scheduler

#endif  // TESTS_LIBRARIES_SCHEDULER_RUSH_REPLAY_H_
