// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_SCHEDULER_FAKE_FLEET_H_
#define TESTS_LIBRARIES_SCHEDULER_FAKE_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libraries/jobs/jobs_state.h"
#include "libraries/scheduler/scheduler.h"
#include "tests/libraries/scheduler/fake_worker.h"

namespace sumac::scheduler {

// A leader's call to a worker that another process makes for it.
struct CarriedCall {
  // Lets the worker carry out the call. Returns a function that delivers the
  // answer to the leader, or nothing if there is no answer.
  std::function<std::function<void()>()> carry_out;
  // Reports another outcome to the leader.
  std::function<void(OrderResult)> fail;
  // Called when the other process sends the call.
  std::function<void()> on_sent = [] {};
  // Whether the call starts a task.
  bool is_start = false;
};

// The processes between a leader and its workers.
struct CallCarrier {
  // Accepts a call. Returns false if the leader has to make it directly.
  std::function<bool(const WorkerId&, const CarriedCall&)> carry;
  // Handles everything that is due.
  std::function<void()> step;
  // Called when another leader takes over.
  std::function<void()> change_leader;
};

// One leader with its scheduler, some workers and a network that loses, delays
// and repeats messages, all on one fake clock. It checks the invariants on
// every start and end.
class FakeFleet {
 public:
  explicit FakeFleet(std::size_t workers, std::uint64_t seed = 1);

  // Lets time pass in small steps and handles everything that is due.
  void PassTime(Milliseconds time);

  // Accepts a job of one step.
  void Submit(const std::string& id,
              jobs::StepSpec step,
              const std::string& queue = "clips",
              const std::string& customer = "");
  // Declares these customers with their quotas, in thousandths of a core.
  void SetQuotas(const std::map<std::string, std::int64_t>& quotas);
  // Returns what the customer's tasks use on all workers now.
  jobs::Resources RunningOf(const std::string& customer) const;
  // Commits a command.
  fleet::Answer Commit(jobs::Command command);
  // Makes another leader take over. Open calls of the old leader get no answer,
  // but orders that it sent may still arrive.
  void ChangeLeader();
  // Adds an incarnation of a worker on an instance.
  FakeWorker& AddWorker(const std::string& id,
                        const std::string& instance,
                        const std::string& rack = "r1",
                        const std::string& service = "previews",
                        const std::string& data_centre = "");
  // Evacuates a data centre, or returns it to use.
  void ChangeDataCentre(const std::string& name, jobs::DataCentreUse use);
  // Kills the process of a worker and restarts it under its name.
  FakeWorker& RestartUnderName(const std::string& id);
  // Kills the process of a worker because of its tasks and restarts it under
  // its name after `restart_time`.
  void CrashWorker(const WorkerId& id);
  // Changes a worker's capacity while it runs; its next announcement contains
  // the change.
  void ChangeCapacity(const WorkerId& id, const jobs::Resources& capacity);
  // Delivers an announcement of an incarnation that is over.
  void AnnounceAgain(const std::string& id);
  // Declares that the queue of clips belongs to this service from now on.
  void MoveClipsTo(const std::string& service);

  FakeWorker& worker(const std::string& id) {
    return this->workers.at(WorkerId(id));
  }
  // All incarnations, including those that have ended.
  const std::map<WorkerId, FakeWorker>& all_workers() const {
    return this->workers;
  }
  const jobs::Job& job(const std::string& id) const {
    return *this->state.FindJob(JobId(id));
  }
  // Returns the number of workers that have crashed under a task since it first
  // started.
  std::uint32_t CountCrashes(const jobs::TaskId& task) const {
    const auto found = this->crash_counts.find(task);
    return found == this->crash_counts.end() ? 0 : found->second;
  }
  // Returns the workers that run a task of the job now.
  std::vector<std::string> WorkersOf(const std::string& job) const;
  std::size_t CountRunning(const std::string& job) const {
    return this->WorkersOf(job).size();
  }

  // The violation that was found; empty if there is none.
  std::string problem;
  jobs::JobsState state;
  std::optional<Scheduler> scheduler;
  // Settings practically without full scans of the jobs, so that a missed
  // change shows as a task that is never started.
  SchedulerSettings settings{.full_scan_interval = Milliseconds(3'600'000)};
  SteadyTime now{Milliseconds(1'000)};
  // Makes the leader's calls if it is set.
  std::optional<CallCarrier> carrier;
  // The share of orders, in thousandths, whose answer is lost and that are
  // carried out 0 to 4 s late.
  std::uint32_t late_permille = 0;
  // The placement policy: the workers that it admits, with their tickets. While
  // it is silent, questions get no answer.
  std::map<WorkerId, std::string> admitted;
  bool is_policy_silent = false;
  // The validity of tickets in its answers; the queue declares 2 s.
  std::optional<Milliseconds> answered_validity = Milliseconds(2'000);
  std::uint64_t questions = 0;
  // Whether the fleet renews the workers' leases; if false, the test does.
  bool renews = true;
  // Whether the platform reports which instances are up.
  bool lists_instances = true;
  // The delay of late orders; drawn from 0 to 4 s if it is not set.
  std::optional<Milliseconds> late_by;
  // The share of renewals, in thousandths, that are carried out and whose
  // answer is lost.
  std::uint32_t lost_report_permille = 0;
  // The share of reports, in thousandths, that arrive 0 to 400 ms late.
  std::uint32_t late_report_permille = 0;
  // The maximum delay of answers to orders.
  Milliseconds answer_delay{0};
  // The share of orders, in thousandths, whose first copy is lost with its
  // connection but may still be carried out late. The second copy, sent after
  // `resend_after`, is answered.
  std::uint32_t resent_permille = 0;
  Milliseconds resend_after{1};
  // Whether a refusal of the second copy is passed on unchanged.
  bool trusts_second_copies = false;
  // Whether starts are checked against recorded ends. False if another model
  // does so, which knows the ends that no leader had to know of.
  bool checks_ends = true;
  // How long a commit takes.
  Milliseconds commit_time{0};
  // Whether a commit in progress at a change of leader succeeds in the end.
  bool keeps_open_commits = false;
  // Whether the next renewal is sent directly after a report, before the leader
  // plans.
  bool renews_at_once = false;
  // The interval at which unknown workers announce themselves; 0 for never.
  Milliseconds announce_interval{0};
  // How long each task runs, and whether it fails.
  Milliseconds work{800};
  std::function<bool(const StartOrder&)> fails = [](const StartOrder&) {
    return false;
  };
  // Whether a task crashes the worker that starts it, and how long after its
  // start. The worker restarts under its name after `restart_time`.
  std::function<bool(const StartOrder&)> crashes = [](const StartOrder&) {
    return false;
  };
  Milliseconds crash_after{10};
  // Whether the start of such a task gets no answer.
  bool loses_answers_of_crashes = false;
  Milliseconds restart_time{2'000};
  // How long long-running tasks run; `work` applies if it is not set.
  std::optional<Milliseconds> long_running_work;
  std::uint64_t starts = 0;
  // Called with each event that the leader logs.
  std::function<void(const SchedulerEvent&)> on_event =
      [](const SchedulerEvent&) {};

 private:
  struct Event {
    SteadyTime at;
    std::function<void()> action;
  };
  using Generation = std::uint64_t;
  struct WaitingEnds {
    WorkerId worker;
    EndsToRecord ends;
  };

  void Step();
  void At(SteadyTime at, std::function<void()> action);
  void SendRenewals();
  void CheckInstances();
  void Renew(const WorkerId& id);
  void EndRenewalLater(const WorkerId& id, Milliseconds pause);
  bool CarryRenewal(const RenewOrder& order);
  bool CarryReportRequest(const RenewOrder& order);
  bool CarryOrder(const Order& order);
  // Lets a worker carry out an order. Returns nothing if the answer is lost.
  std::optional<OrderAnswer> CarryOut(const Order& order);
  void RenewAgain(const WorkerId& id);
  void Plan();
  void Send(const Order& order);
  void Resend(const Order& order);
  Milliseconds DrawLateness();
  // As in the adapter, a refusal of a second copy proves nothing, unless
  // `trusts_second_copies` is set.
  void Execute(const Order& order,
               bool is_answered,
               Generation generation,
               bool is_second = false);
  void TakeReport(const WorkerId& id, const RenewReport& report);
  Milliseconds DrawReportDelay();
  void DeliverReport(const WorkerId& id,
                     const RenewReport& report,
                     Milliseconds delay);
  void DeliverAnswer(const Order& order, const OrderAnswer& answer);
  void RecordEnds(const WorkerId& id, EndsToRecord ends);
  void CommitWaitingEnds();
  void ApplyCommittedEnds(const std::vector<WaitingEnds>& lot);
  void CommitLater(jobs::Command command);
  void AnnounceUnknown();
  void RequestReport(const RenewOrder& order);
  void Advise(const AdviceQuestion& question);
  // Checks that a start that leaves a process goes to a data centre in use.
  void CheckDataCentre(const Order& order);
  void CheckStart(const StartOrder& order);
  void CheckQuota(const StartOrder& order);
  void CheckRoom(const WorkerId& id);
  void CrashLater(const StartOrder& order);
  void RecordCommittedEnds(const std::vector<jobs::RunEnd>& ends);
  bool AreEarlierStepsDone(const jobs::Job& job, const jobs::TaskId& task);
  void CheckRunning();
  bool Reaches(const WorkerId& id) const;

  std::mt19937_64 random;
  // Committed ends, kept apart from the state because it drops the progress of
  // finished jobs: tasks that are done, and runs that failed.
  std::set<jobs::TaskId> done_tasks;
  std::map<jobs::TaskId, std::set<RunNumber>> failed_runs;
  std::map<WorkerId, FakeWorker> workers;
  // A worker's capacity before it was reduced, and when it was.
  std::map<WorkerId, std::pair<jobs::Resources, SteadyTime>> shrunk_from;
  // The number of workers that crashed under each task, and of its starts after
  // the third crash.
  std::map<jobs::TaskId, std::uint32_t> crash_counts;
  // Those of them that came shortly after the start of the task's run.
  std::map<jobs::TaskId, std::uint32_t> early_crash_counts;
  std::map<jobs::TaskId, std::uint32_t> starts_after_limit;
  std::vector<Event> events;
  std::set<WorkerId> renewing;
  Generation generation = 0;
  // When the leader took over.
  SteadyTime led_since{};
  // Ends that wait for the next commit, and the ends in the present one.
  std::vector<WaitingEnds> waiting_ends;
  std::vector<WaitingEnds> committing_ends;
  std::uint64_t declared_version = 1;
  // Each customer's quotas with the times from which they held.
  std::map<std::string, std::vector<std::pair<SteadyTime, std::int64_t>>>
      quota_history;
};

}  // namespace sumac::scheduler

#endif  // TESTS_LIBRARIES_SCHEDULER_FAKE_FLEET_H_
