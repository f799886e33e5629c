// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_SCHEDULER_H_
#define LIBRARIES_SCHEDULER_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/commands.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/service_demand.h"
#include "libraries/jobs/task_id.h"
#include "libraries/scheduler/demand_meter.h"
#include "libraries/scheduler/ended_lives.h"
#include "libraries/scheduler/event_notes.h"
#include "libraries/scheduler/job_numbers.h"
#include "libraries/scheduler/life_end.h"
#include "libraries/scheduler/near_wait.h"
#include "libraries/scheduler/placement.h"
#include "libraries/scheduler/placement_advice.h"
#include "libraries/scheduler/run_times.h"
#include "libraries/scheduler/sharing.h"
#include "libraries/scheduler/start_allowance.h"
#include "libraries/scheduler/start_forecast.h"
#include "libraries/scheduler/stragglers.h"
#include "libraries/scheduler/task_table.h"
#include "libraries/scheduler/urgency.h"
#include "libraries/scheduler/waiting_jobs.h"
#include "libraries/scheduler/waiting_table.h"
#include "libraries/scheduler/worker_health.h"
#include "libraries/scheduler/worker_messages.h"
#include "libraries/scheduler/worker_session.h"

namespace sumac::scheduler {

struct SchedulerSettings {
  LeaseSettings lease;
  ForecastSettings forecast;
  // How long a worker takes at most to carry out a stop, by the platform's
  // terms.
  Milliseconds longest_stop{1'000};
  // A report that is older says nothing of what is at work: twice the time for
  // which a worker with runs may keep its report back.
  Milliseconds fresh_report{1'200};
  // Before a stop that had no effect yet is sent again.
  Milliseconds stop_retry{450};
  // A worker that said it is full gets no starts for this long.
  Milliseconds full_pause{200};
  // Among jobs of one priority, those that can still be in time go first and
  // the most pressing of them before the others; without it jobs go in the
  // order in which they came.
  bool orders_by_slack = true;
  // Runs that do not get on are given up and started elsewhere, and workers
  // that fail tasks or stand still get none for a while.
  bool leaves_bad_workers = true;
  // Runs are judged this often, and the more seldom the more there are.
  Milliseconds judge_interval{100};
  // A run of a task is given up this often at most.
  std::uint32_t most_moves = 2;
  // A worker that has been silent for this long after its lease is forgotten.
  Milliseconds forget_after{10'000};
  // A task that crashed two workers is not started for so long after the
  // second.
  Milliseconds crash_pause{500};
  // A task that may crash its worker waits no longer than this for a worker to
  // be tried on, so that a crash of a whole pool holds nobody up.
  Milliseconds longest_trial_wait{1'000};
  // The same for a task under which two workers crashed: there are few, and a
  // third crash may end their jobs.
  Milliseconds longest_repeated_wait{2'500};
  // Before the record that a worker's life is over is asked for again.
  Milliseconds forget_retry{1'000};
  // All active jobs are looked at this often, and in between only those of
  // which something changed.
  Milliseconds full_look_interval{1'000};
  // After jobs have finished, before all runs are looked at for theirs. Small
  // beside the time that a stop may take; the more runs there are, the longer.
  Milliseconds unwanted_interval{50};
  // For as many runs the two intervals above hold; a look at all of them costs
  // some 0.2 microseconds a run, so that this keeps it to a hundredth of a
  // core.
  std::size_t runs_of_interval = 1'000;
};

using Order = std::variant<StartOrder, StopOrder, PaceOrder>;

// What a call of the scheduler leads to. Orders go out in this order, each only
// while the leader holds its lease.
struct SchedulerOutput {
  std::vector<Order> orders;
  // Reports to ask for at once; they answer TakeReport like renewals.
  std::vector<RenewOrder> report_requests;
  // Commands to commit.
  std::vector<jobs::Command> commands;
  // To be asked of the placement policy.
  std::optional<AdviceQuestion> question;
  std::vector<SchedulerEvent> events;
};

// What the platform says of one instance.
struct InstanceLife {
  bool is_up = false;
  // The worker that runs there, of whichever life; empty if that is not known.
  WorkerName worker;
};

// Ends that a worker reported and that must be on record before the worker is
// told so.
struct EndsToRecord {
  std::vector<jobs::RunEnd> ends;
  // The worker numbered them from after + 1 up to this; 0 for no ends.
  std::uint64_t after = 0;
  std::uint64_t up_to = 0;
};

// Decides, for the leader, which task runs on which worker: it adopts what runs
// already, starts what is due, stops what must go, and starts again what ended
// too early. It holds what the leader believes about workers; all that must
// last is in the jobs state. Pure: time comes in as an argument, and what is to
// be done comes out.
class Scheduler {
 public:
  // Begins a leadership at `now`. Tasks of jobs that are active now may run
  // somewhere already.
  Scheduler(const jobs::JobsState& state,
            SchedulerSettings settings,
            SteadyTime now);

  // Takes in that these workers were recorded, changed or forgotten.
  void SyncWorkers(const std::set<WorkerId>& changed, SteadyTime now);

  // The next renewal for a worker, or nothing if the worker is not known any
  // more.
  std::optional<RenewOrder> NextRenewal(const WorkerId& worker, SteadyTime now);
  // Takes in the answer to a renewal and gives the ends that must be recorded.
  EndsToRecord TakeReport(const WorkerId& worker,
                          const RenewReport& report,
                          SteadyTime now);
  // Takes in that a renewal failed.
  void TakeRenewalFailure(const WorkerId& worker,
                          OrderResult result,
                          SteadyTime now);
  // Takes in that these ends are on record. The worker is told so only once all
  // that came before them are, too.
  void NoteRecorded(const WorkerId& worker, const EndsToRecord& recorded);

  // Takes in what became of an order.
  void TakeAnswer(const Order& order,
                  const OrderAnswer& answer,
                  SteadyTime now);

  // Takes in what the placement policy said.
  void TakeAdvice(const AdviceQuestion& question,
                  const AdviceAnswer& answer,
                  SteadyTime now);

  // From now on nothing is started on these instances, and long-running tasks
  // leave them as the disruption budgets allow.
  void SetCordoned(std::set<InstanceName> instances);
  // True if a task may be taken from its worker by a planned step now: its
  // step's disruption budget has room, every task that is not surely at work by
  // a report of late counting as away.
  bool MayTakeAway(const jobs::TaskId& task, SteadyTime now) const;

  // True while some worker fails to answer, so that it is of use to know
  // whether its instance is up.
  bool NeedsLifeCheck() const;
  // The instances of all workers that fail to answer.
  std::set<InstanceName> InstancesInDoubt() const;
  // Takes in what the platform, asked at `asked_at`, says of the instances in
  // doubt, or of more. The life of a worker that fails to answer is over if its
  // instance was down or gone, or ran another one.
  void TakeInstanceLives(const std::map<InstanceName, InstanceLife>& lives,
                         SteadyTime asked_at);

  // Takes in that a worker's life is over, as of `now`.
  void EndWorker(const WorkerId& worker, LifeEnd end, SteadyTime now);

  // Decides what is to be done now, with no more starts than allowed; what is
  // left waits for the next call. A gang starts whole or not at all.
  SchedulerOutput Plan(SteadyTime now,
                       WallTime wall_now,
                       StartAllowance allowed = {});

  // True if something came in since the last Plan that it should look at.
  bool is_dirty() const { return this->needs_plan; }
  // Makes Plan look at the jobs anew, after a commit.
  void Wake() { this->needs_plan = true; }

  // True if it is on record that a task of the job has begun.
  bool HasBegun(const jobs::Job& job) const;
  // What the tasks of each service need now: those that run and those that
  // could.
  std::map<ServiceName, jobs::ServiceDemand> Demand(SteadyTime now,
                                                    WallTime wall_now) {
    return this->demand.Measure(now, wall_now);
  }
  // How many accepted jobs of a queue have not begun.
  std::uint64_t CountPending(const QueueName& queue) const;

  // How many jobs wait for a start, as of the last turn.
  std::size_t waiting_count() const { return this->waiting.size(); }
  // The same, as seen from one queue.
  WaitingCounts CountWaitingFor(const QueueName& queue) const {
    return this->waiting.CountFor(queue);
  }
  // Predicts when a new job of a queue begins.
  StartForecast& start_forecast() { return this->forecast; }
  // How long a new job of the queue can wait for its start; see TimeToSpare.
  std::optional<Milliseconds> TimeToSpareFor(
      const jobs::QueueDeclaration& queue,
      const jobs::JobSpec& spec) const {
    return this->settings.orders_by_slack
               ? TimeToSpare(queue, spec, this->run_times)
               : std::nullopt;
  }
  // How many of those that waited were late, as of the last pass.
  const LatenessCounts& waiting_counts() const {
    return this->waiting.lateness_counts();
  }
  // Starts ordered since the leadership began.
  const LatenessCounts& start_counts() const { return this->starts_ordered; }

  // Why steps that are due have no place, as of the last review.
  const WaitingTable& waiting_table() const { return this->waiting_steps; }

  // True while a worker gets no tasks because of how its runs went.
  bool IsSetAside(const WorkerId& worker, SteadyTime now) const {
    return this->health.IsQuarantined(worker, now);
  }

  const std::map<WorkerId, WorkerSession>& sessions() const {
    return this->workers;
  }

 private:
  struct Candidate {
    const jobs::Job* job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    Lateness lateness = Lateness::kInTime;
  };
  // Whether a task goes on trial with its next start. One that waited too long
  // for it starts apart from others, as far as there are workers.
  enum class TrialTurn { kNone, kNow, kLater, kApart };
  // A worker that is being forgotten: when to ask for the record (again), and
  // its last announcement.
  struct Forgetting {
    SteadyTime ask_at{};
    std::uint64_t sequence = 0;
  };
  using Sessions = std::map<WorkerId, WorkerSession>;

  WorkerSession* FindSession(const WorkerId& worker);
  void TakeRunning(WorkerSession& session,
                   const RenewReport& report,
                   bool is_adopting,
                   SteadyTime now);
  void TakeMissing(WorkerSession& session, const RenewReport& report);
  EndsToRecord TakeEnds(WorkerSession& session,
                        const RenewReport& report,
                        SteadyTime now);
  void NoteRunTime(const Run& run, SteadyTime now);
  bool MayGoOn(const jobs::Job& job, const RunningReport& running) const;
  void AdoptRun(WorkerSession& session,
                const RunningReport& running,
                const RenewReport& report,
                bool is_adopting,
                SteadyTime now);
  void NoteBegun(const jobs::Job& job);
  void TakeStartAnswer(const StartOrder& order,
                       const OrderAnswer& answer,
                       SteadyTime now);
  void SettleStart(WorkerSession& session,
                   Run& run,
                   const std::string& reason,
                   SteadyTime now);
  void TakeStopAnswer(const StopOrder& order,
                      const OrderAnswer& answer,
                      SteadyTime now);
  void ReleaseRun(WorkerSession& session,
                  const jobs::TaskId& task,
                  RunNumber run,
                  const std::string& reason);
  void ReleaseAll(WorkerSession& session, const std::string& reason);
  void NotePace(const WorkerSession& session, const std::string& reason);
  const jobs::PlacementPolicy* PolicyOf(const jobs::Job& job) const;
  const PlacementAdvice* AdviceFor(const jobs::Job& job) const;
  void AskForAdvice(const Candidate& candidate,
                    const jobs::TaskId& task,
                    SteadyTime now);
  void BreakGang(const jobs::TaskId& member, RunNumber run);
  TaskMemory& CheckpointOf(const jobs::TaskId& task,
                           const jobs::StepSpec& step);
  void SyncWorker(const WorkerId& id, SteadyTime now);
  void ForgetLife(const jobs::Worker& worker);
  void EndLife(const WorkerId& worker, SteadyTime now);
  void EndReplacedWorker(const WorkerId& worker, SteadyTime now);
  void EndOtherLives(const WorkerSession& answering, SteadyTime now);
  bool IsCrash(const WorkerSession& session, LifeEnd end) const;
  void TakeCrash(const WorkerSession& session, SteadyTime now);
  void SettleCrashes(const WorkerId& worker);
  void NoteLifeEnd(const WorkerSession& session, LifeEnd end, SteadyTime now);
  void RequestReports(SteadyTime now, SchedulerOutput& output);
  void AskWhoIsAtWork(const jobs::StepId& step, SteadyTime now);
  void LapseSilentWorkers(SteadyTime now);
  void ForgetGoneWorkers(SteadyTime now, SchedulerOutput& output);
  void EvacuateCordoned(SteadyTime now);
  WorkerSession* ChooseWorker(const jobs::Job& job,
                              const jobs::TaskId& task,
                              bool is_suspect = false) const;
  bool HasPlaceElsewhere(const jobs::TaskId& task) const;
  bool IsAtWork(const jobs::TaskId& task, SteadyTime now) const;
  void MarkCordoned(WorkerSession& session) const {
    session.is_cordoned = this->cordoned.contains(session.worker().instance);
  }
  bool IsWanted(const Run& run) const;
  Milliseconds ScaledToRuns(Milliseconds interval) const;
  void FindUnwanted(SteadyTime now);
  void StopUnwanted(SteadyTime now, SchedulerOutput& output);
  void StopUnsettled(WorkerSession& session,
                     SteadyTime now,
                     SchedulerOutput& output);
  void GiveUpStragglers(SteadyTime now);
  void GiveUp(const Straggler& straggler, SteadyTime now);
  void StopRun(WorkerSession& session,
               Run& run,
               SteadyTime now,
               SchedulerOutput& output);
  void StartDue(SteadyTime now, WallTime wall_now, SchedulerOutput& output);
  void ReviewWaiting(const std::vector<DueOccurrence>& due,
                     const JobNumbers& unplaced,
                     SteadyTime now);
  void ReviewStep(const Candidate& candidate, SteadyTime now);
  bool StartSteps(const DueOccurrence& due,
                  SteadyTime now,
                  SchedulerOutput& output);
  bool StartStep(const Candidate& candidate,
                 SteadyTime now,
                 SchedulerOutput& output);
  TrialTurn JudgeTrial(const jobs::Job& job,
                       const jobs::TaskId& task,
                       SteadyTime now);
  void FollowTrials(WorkerSession& session, SteadyTime now);
  bool WaitsForNear(const jobs::Job& job,
                    const jobs::TaskId& task,
                    const jobs::Worker& worker,
                    SteadyTime now);
  bool StartGang(const Candidate& candidate,
                 SteadyTime now,
                 SchedulerOutput& output);
  std::vector<WorkerSession*> PlaceGang(const Candidate& candidate,
                                        const Rack& rack);
  static bool NeedsStart(const jobs::Job& job,
                         const jobs::TaskId& task,
                         const TaskMemory* memory);
  bool MayRunUnseen(const jobs::Job& job) const;
  bool MayStart(Lateness lateness) const;
  void TakeStart(Lateness lateness);
  void StartOn(WorkerSession& session,
               const Candidate& candidate,
               const jobs::TaskId& task,
               RunNumber run,
               SteadyTime now,
               SchedulerOutput& output);
  RunNumber NextRun(const jobs::Job& job, const jobs::TaskId& task) const;

  const jobs::JobsState& state;
  SchedulerSettings settings;
  // Of this leadership, also once a later one is on record.
  LeaderEpoch epoch;
  // Jobs numbered from here on were accepted under this leader: nothing of them
  // ran before.
  std::uint64_t first_own_sequence;
  Sessions workers;
  // The workers that are known on each instance.
  std::unordered_map<InstanceName, std::set<WorkerId>> lives_of;
  TaskTable tasks;
  // When the leadership began.
  SteadyTime began_at;
  // Services of which some worker that an earlier leader used has not told yet
  // what runs there.
  std::set<ServiceName> uncertain;
  std::set<InstanceName> cordoned;
  // Jobs of which a task has begun, until the record is asked for.
  std::set<JobId> begun;
  EndedLives ended;
  // Workers that have been silent for long and may come back, until that is on
  // record.
  std::map<WorkerId, Forgetting> forgotten;
  // How many jobs had finished when all runs were last looked at, and when.
  std::uint64_t seen_finish_count = 0;
  SteadyTime looked_for_unwanted{};
  RunTimes run_times;
  WaitingJobs waiting;
  StartForecast forecast;
  WaitingTable waiting_steps;
  NearWait near_wait;
  WorkerHealth health;
  PlacementAdvice advice;
  Sharing sharing;
  Placement placement;
  Stragglers stragglers;
  DemandMeter demand;
  // Runs that were known when this call of Plan began.
  std::size_t run_count = 0;
  // What is left of the starts that this call of Plan may order.
  StartAllowance starts_left;
  // Since the leadership began.
  LatenessCounts starts_ordered;
  SteadyTime judged_at{};
  SteadyTime looked_for_gone{};
  // Workers to be asked for a report beside the renewals.
  std::set<WorkerId> report_wanted;
  bool needs_plan = true;
  EventNotes notes;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_SCHEDULER_H_
