// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_SCHEDULER_H_
#define LIBRARIES_SCHEDULER_SCHEDULER_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/commands.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/service_demand.h"
#include "libraries/jobs/task_id.h"
#include "libraries/scheduler/capacity_loss.h"
#include "libraries/scheduler/data_centre_spread.h"
#include "libraries/scheduler/demand_meter.h"
#include "libraries/scheduler/ended_incarnations.h"
#include "libraries/scheduler/event_collector.h"
#include "libraries/scheduler/incarnation_end.h"
#include "libraries/scheduler/job_numbers.h"
#include "libraries/scheduler/lost_data_centres.h"
#include "libraries/scheduler/near_wait.h"
#include "libraries/scheduler/placement.h"
#include "libraries/scheduler/placement_advice.h"
#include "libraries/scheduler/quota_ledger.h"
#include "libraries/scheduler/run_times.h"
#include "libraries/scheduler/share_request.h"
#include "libraries/scheduler/sharing.h"
#include "libraries/scheduler/start_allowance.h"
#include "libraries/scheduler/start_forecast.h"
#include "libraries/scheduler/starvation.h"
#include "libraries/scheduler/stragglers.h"
#include "libraries/scheduler/task_table.h"
#include "libraries/scheduler/unseen_usage.h"
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
  // The maximum time that a worker takes to carry out a stop, as guaranteed by
  // the platform.
  Milliseconds max_stop_time{1'000};
  // The maximum age of a report that counts as evidence of what is running:
  // twice the time for which a worker with runs may delay its report.
  Milliseconds max_report_age{1'200};
  // How long to wait before resending a stop that has had no effect yet.
  Milliseconds stop_retry{450};
  // How long a worker that reported that it is full gets no starts.
  Milliseconds full_pause{200};
  // Whether jobs of the same priority are ordered by their slack: those that
  // can still meet their deadline go first, the most urgent of them before the
  // others. If false, jobs are ordered by arrival.
  bool orders_by_slack = true;
  // Whether runs that make no progress are given up and started elsewhere, and
  // workers that fail tasks or are stalled get no tasks for a while.
  bool avoids_bad_workers = true;
  // The minimum interval between two scans for stragglers and silent workers.
  // The interval between scans for stragglers grows with the number of runs.
  Milliseconds straggler_interval{100};
  // Whether long-running tasks are moved out of evacuated data centres by their
  // checkpoints. Each move interrupts a task that would continue otherwise, so
  // it pays only if the data centre is going to be switched off.
  bool moves_evacuated_tasks = false;
  // The minimum interval between two such moves.
  Milliseconds evacuation_move_interval{250};
  // Reserves workers for large tasks even where no customers are declared.
  bool reserves_workers = true;
  // The maximum number of times that a run of the same task is given up.
  std::uint32_t max_moves = 2;
  // How long a worker may stay silent, after its lease is over, before its
  // record is removed.
  Milliseconds removal_delay{10'000};
  // How long a task that crashed two workers is not started after the second
  // crash.
  Milliseconds crash_pause{500};
  // The maximum time that a task that may crash its worker waits for a worker
  // to run its trial on. The limit keeps a crash of a whole pool from blocking
  // jobs.
  Milliseconds max_trial_wait{1'000};
  // The same for a task under which two workers have crashed. It is longer
  // because such tasks are few and a third crash may fail their jobs.
  Milliseconds max_repeated_trial_wait{2'500};
  // How long to wait before resending the command that records that a worker's
  // incarnation is over.
  Milliseconds removal_retry{1'000};
  // The interval between full scans of the active jobs. Between them only jobs
  // that have changed are examined.
  Milliseconds full_scan_interval{1'000};
  // How long to wait, after jobs have finished, before the scan of all runs for
  // those that belong to them. Small compared with the time that a stop may
  // take. The interval grows with the number of runs.
  Milliseconds unwanted_scan_interval{50};
  // The number of runs for which the two scan intervals above are meant; with
  // more runs they are multiplied. A scan costs about 0.2 microseconds per run,
  // so this keeps it to 1 % of a core.
  std::size_t runs_per_interval = 1'000;
  // The number of whole data centres that may be lost at the same time. With 0
  // a data centre is not considered as something that fails as a whole.
  std::uint32_t tolerated_data_centres = 0;
  // The names of the data centres; empty if they are not known.
  std::set<DataCentre> data_centres;
};

using Order = std::variant<StartOrder, StopOrder, PaceOrder>;

// The result of one planning pass. Orders are sent in the given order, each
// only while the leader holds its lease.
struct SchedulerOutput {
  std::vector<Order> orders;
  // Reports to request immediately. Their answers are passed to HandleReport
  // like answers to renewals.
  std::vector<RenewOrder> report_requests;
  // Commands to commit.
  std::vector<jobs::Command> commands;
  // The question to send to the placement policy.
  std::optional<AdviceQuestion> question;
  std::vector<SchedulerEvent> events;
};

// The status of one instance as reported by the platform.
struct InstanceStatus {
  bool is_up = false;
  // The name of the worker that runs there, whichever its incarnation; empty if
  // unknown.
  WorkerName worker;
  // Whether the platform says that it is down, rather than gone, moving or in
  // maintenance.
  bool is_down = false;
};

// Ends of runs that a worker reported. They must be committed before they are
// acknowledged to the worker.
struct EndsToRecord {
  std::vector<jobs::RunEnd> ends;
  // The worker numbered these ends from `after` + 1 to `up_to`; `up_to` is 0 if
  // there are no ends.
  std::uint64_t after = 0;
  std::uint64_t up_to = 0;
};

// Decides, on behalf of the leader, which task runs on which worker: it adopts
// runs of earlier leaders, starts due tasks, stops unwanted runs, and restarts
// tasks whose runs ended too early. It holds the leader's volatile view of the
// workers; everything durable is in the jobs state. It does no I/O: the time is
// passed in as an argument, and the actions to take are returned.
class Scheduler {
 public:
  // Begins a leadership at `now`. Tasks of jobs that are active at this time
  // may already be running somewhere.
  Scheduler(const jobs::JobsState& state,
            const SchedulerSettings& settings,
            SteadyTime now);

  // Updates the sessions of workers whose records were added, changed or
  // removed.
  void SyncWorkers(const std::set<WorkerId>& changed, SteadyTime now);

  // Returns the next renewal for a worker, or nothing if the worker is no
  // longer known.
  std::optional<RenewOrder> NextRenewal(const WorkerId& worker, SteadyTime now);
  // Handles the answer to a renewal and returns the ends that must be
  // committed.
  EndsToRecord HandleReport(const WorkerId& worker,
                            const RenewReport& report,
                            SteadyTime now);
  // Handles a renewal that failed.
  void HandleRenewalFailure(const WorkerId& worker,
                            OrderResult result,
                            SteadyTime now);
  // Handles the commit of these ends. They are acknowledged to the worker only
  // once all earlier ends are committed, too.
  void HandleEndsCommitted(const WorkerId& worker,
                           const EndsToRecord& recorded);

  // Handles the answer to an order.
  void HandleOrderAnswer(const Order& order,
                         const OrderAnswer& answer,
                         SteadyTime now);

  // Handles the placement policy's answer to a question.
  void HandleAdvice(const AdviceQuestion& question,
                    const AdviceAnswer& answer,
                    SteadyTime now);

  // Cordons these instances instead of the earlier ones: nothing is started on
  // them, and long-running tasks are moved off them as the disruption budgets
  // allow. Those in `returning` come back soon after they are taken away, so
  // tasks that have no other place may wait for that, again as the budgets
  // allow.
  void SetCordoned(std::set<InstanceName> instances,
                   std::set<InstanceName> returning = {});
  // Returns the cordoned instances that a waiting task needs because it has no
  // other place.
  std::set<InstanceName> NeededInstances() const;
  // Returns true if a planned action may stop the runs of these tasks of one
  // step now because the step's disruption budget has room for all of them.
  // Every other task of the step that no recent report confirms as running
  // counts against the budget.
  bool MayDisruptAll(const jobs::StepId& step,
                     const std::set<std::uint32_t>& tasks,
                     SteadyTime now) const;
  bool MayDisrupt(const jobs::TaskId& task, SteadyTime now) const {
    return this->MayDisruptAll(task.step, {task.index}, now);
  }

  // Returns true while some worker fails to answer. The caller should then ask
  // the platform whether the worker's instance is up. Where the loss of a data
  // centre is tolerated, the same holds while a worker of an earlier leader has
  // not answered yet.
  bool NeedsInstanceCheck() const;
  // Returns the instances whose status is needed: those of all workers that
  // fail to answer and, where the loss of a data centre is tolerated, those of
  // all other workers, too.
  std::set<InstanceName> InstancesToCheck() const;
  // Handles the status that the platform, asked at `asked_at`, reported for at
  // least the instances of workers that fail to answer. The incarnation of such
  // a worker is over if its instance is down, gone, or runs another worker.
  // Where the loss of a data centre is tolerated, the incarnation of a worker
  // that has not answered this leader yet, or whose data centre is lost, is
  // over if its instance is down, even if no call to it has failed.
  void HandleInstanceStatus(
      const std::map<InstanceName, InstanceStatus>& statuses,
      SteadyTime asked_at);

  // Ends a worker's incarnation as of `now` and releases its runs.
  void EndIncarnation(const WorkerId& worker,
                      IncarnationEnd end,
                      SteadyTime now);

  // Runs one planning pass and returns the actions to take, with no more starts
  // than `allowed`; other starts wait for the next call. A gang starts as a
  // whole or not at all.
  SchedulerOutput Plan(SteadyTime now,
                       WallTime wall_now,
                       StartAllowance allowed = {});

  // Returns true if there has been input since the last call of Plan that it
  // should act on.
  bool is_dirty() const { return this->needs_plan; }
  // Requests another planning pass, after a commit.
  void Wake() { this->needs_plan = true; }

  // Returns true if a committed record says that a task of the job has begun.
  bool HasBegun(const jobs::Job& job) const;
  // Returns the resources that the tasks of each service need now, counting
  // both running tasks and tasks that could run.
  std::map<ServiceName, jobs::ServiceDemand> Demand(SteadyTime now,
                                                    WallTime wall_now) {
    return this->demand.Measure(now, wall_now);
  }
  // Returns the number of accepted jobs of a queue that have not begun.
  std::uint64_t CountPending(const QueueName& queue) const;

  // The number of jobs that waited for a start in the last planning pass.
  std::size_t waiting_count() const { return this->waiting.size(); }
  // The numbers of waiting jobs relative to one queue; see WaitingCounts.
  WaitingCounts CountWaitingFor(const QueueName& queue) const {
    return this->waiting.CountFor(queue);
  }
  // The forecast of when a new job of a queue begins.
  StartForecast& start_forecast() { return this->forecast; }
  // Returns the share of the fleet's capacity that is left after the
  // evacuations since the last call; 1 if none was lost.
  double TakeCapacityLeft() {
    const auto change = std::exchange(this->capacity_change, std::nullopt);
    return change ? change->Left() : 1;
  }
  // Returns how long a new job of the queue can wait for its start and still be
  // in time; see TimeToSpare.
  std::optional<Milliseconds> TimeToSpareFor(
      const jobs::QueueDeclaration& queue,
      const jobs::JobSpec& spec) const {
    return this->settings.orders_by_slack
               ? TimeToSpare(queue, spec, this->run_times)
               : std::nullopt;
  }
  // Returns what a new job of the queue asks of its customer's share.
  ShareRequest ShareRequestOf(const QueueName& queue,
                              const jobs::JobSpec& spec) const;
  // Returns the resources of all workers.
  jobs::Resources Capacity() const;
  // The waiting jobs of the last planning pass, counted by lateness.
  const LatenessCounts& waiting_counts() const {
    return this->waiting.lateness_counts();
  }
  // The starts ordered since the leadership began, counted by lateness.
  const LatenessCounts& start_counts() const { return this->starts_ordered; }

  // The reasons why due steps have no place, as of the last review.
  const WaitingTable& waiting_table() const { return this->waiting_steps; }

  // Returns true while a worker gets no tasks because its earlier runs failed
  // or stalled.
  bool IsWorkerQuarantined(const WorkerId& worker, SteadyTime now) const {
    return this->health.IsQuarantined(worker, now);
  }

  const std::map<WorkerId, WorkerSession>& sessions() const {
    return this->workers;
  }

  // What each customer's runs count against its quota.
  const QuotaLedger& quota_ledger() const { return this->quotas; }
  // Returns true if a task of the customer waits because of its quota, as of
  // the last planning pass.
  bool IsHeldByQuota(const CustomerName& customer) const {
    return this->customers_at_quota.contains(customer);
  }

 private:
  struct Candidate {
    const jobs::Job* job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    Lateness lateness = Lateness::kInTime;
  };
  // Whether the next start of a task is a trial. A task that has waited too
  // long for a trial starts without one but apart from other suspect tasks, as
  // far as there are workers for that (kApart).
  enum class TrialDecision { kNone, kNow, kLater, kApart };
  // A silent worker whose record is being removed: when to send the command
  // (again), and the sequence number of the worker's last announcement.
  struct PendingRemoval {
    SteadyTime submit_at{};
    std::uint64_t sequence = 0;
  };
  using Sessions = std::map<WorkerId, WorkerSession>;

  WorkerSession* FindSession(const WorkerId& worker);
  void ApplyRunningRuns(WorkerSession& session,
                        const RenewReport& report,
                        bool is_adopting,
                        SteadyTime now);
  void ReleaseMissingRuns(WorkerSession& session, const RenewReport& report);
  EndsToRecord ApplyEnds(WorkerSession& session,
                         const RenewReport& report,
                         SteadyTime now);
  void RecordRunTime(const Run& run, SteadyTime now);
  bool MayContinue(const jobs::Job& job, const RunningReport& running) const;
  void AdoptRun(WorkerSession& session,
                const RunningReport& running,
                const RenewReport& report,
                bool is_adopting,
                SteadyTime now);
  void RequestBegunRecord(const jobs::Job& job);
  void HandleStartAnswer(const StartOrder& order,
                         const OrderAnswer& answer,
                         SteadyTime now);
  void SettleStart(WorkerSession& session,
                   Run& run,
                   const std::string& reason,
                   SteadyTime now);
  void HandleStopAnswer(const StopOrder& order,
                        const OrderAnswer& answer,
                        SteadyTime now);
  void ReleaseRun(WorkerSession& session,
                  const jobs::TaskId& task,
                  RunNumber run,
                  const std::string& reason);
  void ReleaseAllRuns(WorkerSession& session, const std::string& reason);
  void LogPaceChange(const WorkerSession& session, const std::string& reason);
  const jobs::PlacementPolicy* PolicyOf(const jobs::Job& job) const;
  const PlacementAdvice* AdviceFor(const jobs::Job& job) const;
  void AskForAdvice(const Candidate& candidate,
                    const jobs::TaskId& task,
                    SteadyTime now);
  void BreakGang(const jobs::TaskId& member, RunNumber run);
  TaskMemory& CheckpointOf(const jobs::TaskId& task,
                           const jobs::StepSpec& step);
  void SyncWorker(const WorkerId& id, SteadyTime now);
  void RemoveFromInstance(const jobs::Worker& worker);
  void EndObsoleteIncarnation(const WorkerId& worker, SteadyTime now);
  void EndIncarnationAtAddress(const WorkerId& worker, SteadyTime now);
  void EndOtherIncarnations(const WorkerSession& answering, SteadyTime now);
  bool IsUnplanned(const WorkerSession& session, IncarnationEnd end) const;
  bool IsCrash(const WorkerSession& session, IncarnationEnd end) const;
  bool IsInherited(const WorkerSession& session) const {
    return session.began_at() == this->began_at;
  }
  bool IsOverUnasked(const WorkerSession& session, SteadyTime asked_at) const;
  void TakeCensus(const std::set<WorkerId>& ending, SteadyTime now);
  void CheckDataCentre(const jobs::Worker& worker);
  void LogDataCentreChange(const DataCentreChange& change);
  std::optional<DataCentreSpread> SpreadOf(const jobs::StepId& step) const;
  void RecordCrash(const WorkerSession& session, SteadyTime now);
  void SettleCrashes(const WorkerId& worker);
  void LogIncarnationEnd(const WorkerSession& session,
                         IncarnationEnd end,
                         SteadyTime now);
  void RequestReports(SteadyTime now, SchedulerOutput& output);
  void RequestStepReports(const jobs::StepId& step, SteadyTime now);
  void ExpireSilentWorkers(SteadyTime now);
  void UpdateUnseenUsage(const jobs::Resources& capacity);
  void RemoveSilentWorkers(SteadyTime now, SchedulerOutput& output);
  void SyncEvacuations();
  void HandleCapacityLoss(const CapacityLoss& loss);
  void EvacuateCordoned(SteadyTime now);
  void InterruptRunsWithoutPlace(WorkerSession& session, SteadyTime now);
  void MoveOutOfEvacuated(WorkerSession& session, SteadyTime now);
  bool MoveRun(WorkerSession& session,
               Run& run,
               std::string_view reason,
               SteadyTime now);
  WorkerSession* ChooseWorker(const jobs::Job& job,
                              const jobs::TaskId& task,
                              bool is_suspect = false,
                              const DataCentreSpread* spread = nullptr) const;
  bool HasPlaceElsewhere(const jobs::TaskId& task) const;
  bool IsConfirmedRunning(const jobs::TaskId& task, SteadyTime now) const;
  void MarkCordoned(WorkerSession& session) const {
    const InstanceName& instance = session.worker().instance;
    session.is_cordoned = this->cordoned.contains(instance);
    session.is_returning = this->returning.contains(instance);
  }
  bool IsWanted(const Run& run) const;
  Milliseconds ScaledToRuns(Milliseconds interval) const;
  void FindUnwanted(SteadyTime now);
  void StopUnwanted(SteadyTime now, SchedulerOutput& output);
  void StopUnsettled(WorkerSession& session,
                     SteadyTime now,
                     SchedulerOutput& output);
  void GiveUpStragglers(SteadyTime now);
  void GiveUpRun(const Straggler& straggler, SteadyTime now);
  void StopRun(WorkerSession& session,
               Run& run,
               SteadyTime now,
               SchedulerOutput& output);
  void StartDue(SteadyTime now, WallTime wall_now, SchedulerOutput& output);
  template <std::invocable<const Candidate&> Visit>
  static void VisitWaitingSteps(const std::vector<DueOccurrence>& due,
                                const JobNumbers& unplaced,
                                Visit visit);
  std::uint32_t CountWaitingTasks(const Candidate& candidate) const;
  void ReviewStarvation(const std::vector<DueOccurrence>& due,
                        const JobNumbers& unplaced,
                        SteadyTime now);
  void ReviewWaiting(const std::vector<DueOccurrence>& due,
                     const JobNumbers& unplaced,
                     SteadyTime now);
  void ReviewStep(const Candidate& candidate, SteadyTime now);
  bool StartSteps(const DueOccurrence& due,
                  SteadyTime now,
                  SchedulerOutput& output);
  void ReserveIfPassedOver(const Candidate& candidate, SteadyTime now);
  std::vector<ReservableWorker> ListReservable(const PlacementRequest& request,
                                               SteadyTime now) const;
  bool StartStep(const Candidate& candidate,
                 SteadyTime now,
                 SchedulerOutput& output);
  TrialDecision DecideTrial(const jobs::Job& job,
                            const jobs::TaskId& task,
                            SteadyTime now);
  void CheckTrials(WorkerSession& session, SteadyTime now);
  bool ShouldWaitForDataLocality(const jobs::Job& job,
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
  bool IsWithinQuota(const jobs::Job& job,
                     const jobs::Resources& need,
                     std::uint32_t count = 1);
  void ConsumeStart(Lateness lateness);
  void StartRunOn(WorkerSession& session,
                  const Candidate& candidate,
                  const jobs::TaskId& task,
                  RunNumber run,
                  SteadyTime now,
                  SchedulerOutput& output);
  RunNumber NextRun(const jobs::Job& job, const jobs::TaskId& task) const;

  const jobs::JobsState& state;
  SchedulerSettings settings;
  // The epoch of this leadership, even after a later one is committed.
  LeaderEpoch epoch;
  // The sequence number of the first job accepted under this leader. No task of
  // this or a later job can have run before.
  std::uint64_t first_own_sequence;
  // Declared before the sessions, whose runs hold reservations in it.
  QuotaLedger quotas;
  UnseenUsage unseen_usage;
  // The customers of which the current or last planning pass held back a task
  // because of their quota.
  std::set<CustomerName> customers_at_quota;
  Sessions workers;
  // The known incarnations of workers on each instance.
  std::unordered_map<InstanceName, std::set<WorkerId>> incarnations_of;
  TaskTable tasks;
  // When this leadership began.
  SteadyTime began_at;
  // Services with a worker that an earlier leader used and that has not yet
  // reported its runs to this leader.
  std::set<ServiceName> services_with_unseen_runs;
  std::set<InstanceName> cordoned;
  std::set<InstanceName> returning;
  // The evacuated data centres that the sessions' marks are based on.
  std::set<DataCentre> seen_evacuated;
  // The change of the fleet's capacity by evacuations and returns since the
  // last call of TakeCapacityLeft.
  std::optional<CapacityLoss::Capacity> capacity_change;
  // When a task was last moved out of an evacuated data centre.
  std::optional<SteadyTime> last_evacuation_move;
  LostDataCentres lost_data_centres;
  SteadyTime last_census{};
  // Workers whose incarnation is over according to the platform's last list.
  std::set<WorkerId> listed_as_over;
  // Names of data centres that workers gave and no settings hold, each logged
  // once.
  std::set<DataCentre> unknown_data_centres;
  // Jobs of which a task has begun, until the next planning pass emits the
  // command that records it.
  std::set<JobId> begun;
  EndedIncarnations ended_incarnations;
  // Workers that have been silent for too long but may come back, until the
  // removal of their records is committed.
  std::map<WorkerId, PendingRemoval> pending_removals;
  // The number of finished jobs at the time of the last scan for unwanted runs,
  // and the time of that scan.
  std::uint64_t seen_finish_count = 0;
  SteadyTime last_unwanted_scan{};
  RunTimes run_times;
  WaitingJobs waiting;
  StartForecast forecast;
  WaitingTable waiting_steps;
  NearWait near_wait;
  Starvation starvation;
  WorkerHealth health;
  PlacementAdvice advice;
  Sharing sharing;
  Placement placement;
  Stragglers stragglers;
  DemandMeter demand;
  // The number of known runs at the start of the current planning pass.
  std::size_t run_count = 0;
  // The number of starts that the current planning pass may still order.
  StartAllowance starts_left;
  // Starts ordered since this leadership began.
  LatenessCounts starts_ordered;
  SteadyTime last_straggler_scan{};
  SteadyTime last_silent_scan{};
  // Workers to ask for a report in addition to the renewals.
  std::set<WorkerId> reports_to_request;
  bool needs_plan = true;
  EventCollector collected_events;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_SCHEDULER_H_
