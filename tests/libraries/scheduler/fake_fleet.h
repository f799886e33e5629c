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
                        const std::string& rack = "r1");

  FakeWorker& worker(const std::string& id) {
    return this->workers.at(WorkerId(id));
  }
  const jobs::Job& job(const std::string& id) const {
    return *this->state.FindJob(JobId(id));
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
  // False while the platform does not say which instances are up.
  bool lists_instances = true;
  // How late; drawn from 0 to 4 s where it is not set.
  std::optional<Milliseconds> late_by;
  // How long the record that a worker is forgotten takes, as in a slow group.
  Milliseconds forget_delay{0};
  // The share of renewals that are carried out and whose answer is lost.
  std::uint32_t lost_report_permille = 0;
  // How long each task works, and whether it fails.
  Milliseconds work{800};
  std::function<bool(const StartOrder&)> fails = [](const StartOrder&) {
    return false;
  };
  std::uint64_t starts = 0;

 private:
  struct Event {
    SteadyTime at;
    std::function<void()> happen;
  };
  using Generation = std::uint64_t;

  void Step();
  void At(SteadyTime at, std::function<void()> happen);
  void SendRenewals();
  void CheckLives();
  void Renew(const WorkerId& id);
  void Plan();
  void Record(jobs::Command command);
  void Send(const Order& order);
  void Execute(const Order& order, bool is_answered, Generation generation);
  void TakeReport(const WorkerId& id, const RenewReport& report);
  void RequestReport(const RenewOrder& order);
  void Advise(const AdviceQuestion& question);
  void CheckStart(const StartOrder& order);
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
  std::vector<Event> events;
  std::set<WorkerId> renewing;
  Generation generation = 0;
};

}  // namespace sumac::scheduler

#endif  // TESTS_LIBRARIES_SCHEDULER_FAKE_FLEET_H_
