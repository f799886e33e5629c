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

// A call of a leader to a worker that another process makes.
struct CarriedCall {
  // Has the worker carry it out; what hands its answer to the leader, or
  // nothing if no answer comes back.
  std::function<std::function<void()>()> carry_out;
  // Tells the leader what became of it instead.
  std::function<void(OrderResult)> fail;
};

// What stands between a leader and its workers.
struct CallCarrier {
  // Takes a call; false if the leader makes it by itself.
  std::function<bool(const WorkerId&, const CarriedCall&)> carry;
  // Lets everything due happen.
  std::function<void()> step;
  // Another leader takes over.
  std::function<void()> change_leader;
};

// One leader with its scheduler, some workers and a network that loses, delays
// and repeats, all on one fake clock. It checks on every start and end what
// must always hold.
class FakeFleet {
 public:
  explicit FakeFleet(std::size_t workers, std::uint64_t seed = 1);

  // Lets time pass in small steps; everything due happens.
  void PassTime(Milliseconds time);

  // Accepts a job of one step.
  void Submit(const std::string& id,
              jobs::StepSpec step,
              const std::string& queue = "clips");
  // Commits a command.
  fleet::Answer Commit(jobs::Command command);
  // Another leader takes over; the old one's open calls come to nothing, but
  // what it sent may still arrive.
  void ChangeLeader();
  // Adds a life of a worker on an instance.
  FakeWorker& AddWorker(const std::string& id,
                        const std::string& instance,
                        const std::string& rack = "r1",
                        const std::string& service = "previews");
  // The process of a worker dies and starts again under its name.
  FakeWorker& StartAgain(const std::string& id);
  // The process of a worker dies under its tasks, and starts again under its
  // name after `restart_time`.
  void CrashWorker(const WorkerId& id);
  // A worker's capacity changes while it runs; its next announcement tells so.
  void ChangeCapacity(const WorkerId& id, const jobs::Resources& capacity);
  // An announcement of a life that is over comes now.
  void AnnounceAgain(const std::string& id);
  // Declares that the queue of clips belongs to this service from now on.
  void MoveClipsTo(const std::string& service);

  FakeWorker& worker(const std::string& id) {
    return this->workers.at(WorkerId(id));
  }
  // All lives, also those that ended.
  const std::map<WorkerId, FakeWorker>& all_workers() const {
    return this->workers;
  }
  const jobs::Job& job(const std::string& id) const {
    return *this->state.FindJob(JobId(id));
  }
  // How many workers have crashed under a task since it first started.
  std::uint32_t CountCrashes(const jobs::TaskId& task) const {
    const auto found = this->crash_counts.find(task);
    return found == this->crash_counts.end() ? 0 : found->second;
  }
  // The workers that run a task of the job now.
  std::vector<std::string> WorkersOf(const std::string& job) const;
  std::size_t CountRunning(const std::string& job) const {
    return this->WorkersOf(job).size();
  }

  // What was found broken; empty while all holds.
  std::string problem;
  jobs::JobsState state;
  std::optional<Scheduler> scheduler;
  // Without looks at all jobs: a change that goes unnoticed shows as a task
  // that is never started.
  SchedulerSettings settings{.full_look_interval = Milliseconds(3'600'000)};
  SteadyTime now{Milliseconds(1'000)};
  // Makes the leader's calls where it is set.
  std::optional<CallCarrier> carrier;
  // The share of orders whose answer is lost and that are carried out 0 to 4 s
  // late, in thousandths.
  std::uint32_t late_permille = 0;
  // The placement policy: the workers that it admits, with their tickets. While
  // it is silent, questions get no answer.
  std::map<WorkerId, std::string> admitted;
  bool is_policy_silent = false;
  // What its answers say of the tickets' time; the queue declares 2 s.
  std::optional<Milliseconds> answered_validity = Milliseconds(2'000);
  std::uint64_t questions = 0;
  // False where the test renews the workers' leases itself.
  bool renews = true;
  // False while the platform does not say which instances are up.
  bool lists_instances = true;
  // How late; drawn from 0 to 4 s where it is not set.
  std::optional<Milliseconds> late_by;
  // The share of renewals that are carried out and whose answer is lost.
  std::uint32_t lost_report_permille = 0;
  // The share of reports that come late, by 0 to 400 ms.
  std::uint32_t late_report_permille = 0;
  // The most by which answers to orders come late.
  Milliseconds answer_delay{0};
  // The share of orders of which a first copy is lost with its connection and
  // may be carried out late all the same; the copy that is sent again after
  // `resend_after` is answered.
  std::uint32_t resent_permille = 0;
  Milliseconds resend_after{1};
  // A refusal of the second copy is told as it is.
  bool believes_second_copies = false;
  // False where another model holds starts against ends, one that knows which
  // ends nobody had to know of.
  bool checks_ends = true;
  // How long a commit takes.
  Milliseconds commit_time{0};
  // What is being committed when the leader changes is on record in the end.
  bool keeps_open_commits = false;
  // The next renewal leaves right after a report, before the leader plans.
  bool renews_at_once = false;
  // Workers that nobody knows announce themselves this often; 0 for never.
  Milliseconds announce_interval{0};
  // How long each task works, and whether it fails.
  Milliseconds work{800};
  std::function<bool(const StartOrder&)> fails = [](const StartOrder&) {
    return false;
  };
  // Whether a task crashes the worker that starts it, and how long after its
  // start; the worker starts again under its name after `restart_time`.
  std::function<bool(const StartOrder&)> crashes = [](const StartOrder&) {
    return false;
  };
  Milliseconds crash_after{10};
  // The start of such a task gets no answer.
  bool loses_answers_of_crashes = false;
  Milliseconds restart_time{2'000};
  // The same for tasks that last, where it is set.
  std::optional<Milliseconds> lasting_work;
  std::uint64_t starts = 0;

 private:
  struct Event {
    SteadyTime at;
    std::function<void()> happen;
  };
  using Generation = std::uint64_t;
  struct WaitingEnds {
    WorkerId worker;
    EndsToRecord ends;
  };

  void Step();
  void At(SteadyTime at, std::function<void()> happen);
  void SendRenewals();
  void CheckLives();
  void Renew(const WorkerId& id);
  void EndRenewalLater(const WorkerId& id, Milliseconds pause);
  bool CarryRenewal(const RenewOrder& order);
  bool CarryReportRequest(const RenewOrder& order);
  bool CarryOrder(const Order& order);
  // Has a worker carry an order out; nothing if its answer is lost.
  std::optional<OrderAnswer> CarryOut(const Order& order);
  void RenewAgain(const WorkerId& id);
  void Plan();
  void Send(const Order& order);
  void Resend(const Order& order);
  Milliseconds DrawLateness();
  // As the adapter tells it, a refusal of a second copy settles nothing, unless
  // it is believed.
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
  void PutOnRecord(const std::vector<WaitingEnds>& lot);
  void CommitLater(jobs::Command command);
  void AnnounceUnknown();
  void RequestReport(const RenewOrder& order);
  void Advise(const AdviceQuestion& question);
  void CheckStart(const StartOrder& order);
  void CheckRoom(const WorkerId& id);
  void CrashLater(const StartOrder& order);
  void NoteEnds(const std::vector<jobs::RunEnd>& ends);
  bool AreEarlierStepsDone(const jobs::Job& job, const jobs::TaskId& task);
  void CheckRunning();
  bool Reaches(const WorkerId& id) const;

  std::mt19937_64 random;
  // What is on record, kept apart from the state, which forgets the progress of
  // finished jobs: tasks that are done, and runs that failed.
  std::set<jobs::TaskId> done_tasks;
  std::map<jobs::TaskId, std::set<RunNumber>> failed_runs;
  std::map<WorkerId, FakeWorker> workers;
  // What a worker had before its capacity shrank, and when it did.
  std::map<WorkerId, std::pair<jobs::Resources, SteadyTime>> shrunk_from;
  // Workers that crashed under a task, and its starts after the third.
  std::map<jobs::TaskId, std::uint32_t> crash_counts;
  std::map<jobs::TaskId, std::uint32_t> starts_after_limit;
  std::vector<Event> events;
  std::set<WorkerId> renewing;
  Generation generation = 0;
  // When the leader took over.
  SteadyTime led_since{};
  // Ends that wait for the commit that is under way, and those in it.
  std::vector<WaitingEnds> waiting_ends;
  std::vector<WaitingEnds> open_lot;
  std::uint64_t declared_version = 1;
};

}  // namespace sumac::scheduler

#endif  // TESTS_LIBRARIES_SCHEDULER_FAKE_FLEET_H_
