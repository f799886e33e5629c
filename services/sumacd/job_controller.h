// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_JOB_CONTROLLER_H_
#define SERVICES_SUMACD_JOB_CONTROLLER_H_

#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/timer.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/base/names.h"
#include "libraries/base/suspension_watch.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "libraries/http/metrics.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/requests.h"
#include "libraries/maintenance/instance_calls.h"
#include "libraries/relay/relay_service.h"
#include "libraries/relay/relayed_calls.h"
#include "libraries/replication/growth_watch.h"
#include "libraries/scheduler/loop_pacer.h"
#include "libraries/scheduler/scheduler.h"
#include "libraries/scheduler/worker_calls.h"
#include "services/sumacd/commit_rounds.h"
#include "services/sumacd/instance_manager.h"
#include "services/sumacd/job_admission.h"
#include "services/sumacd/leader_load.h"
#include "services/sumacd/node_settings.h"
#include "services/sumacd/peers.h"
#include "services/sumacd/replica_host.h"
#include "services/sumacd/snapshot_writer.h"
#include "services/sumacd/term_watch.h"
#include "services/sumacd/worker_renewals.h"

namespace sumac::daemon {

// A controller of jobs. It holds a replica of the jobs state and, while it
// leads, schedules the jobs and calls the workers. Runs on the core's event
// loop.
class JobController : private kj::TaskSet::ErrorHandler {
 public:
  // Creates the connections to workers that one relay uses.
  using RelayCallsFactory = std::function<relay::OwnedWorkerCalls()>;

  // Opens the data folder and starts the replica.
  static absl::StatusOr<std::unique_ptr<JobController>> Create(
      const NodeSettings& settings,
      Peers& peers,
      kj::AsyncIoProvider& provider,
      http::Metrics& metrics,
      jobs::DeclarationDecoder decoder,
      scheduler::WorkerCalls worker_calls,
      RelayCallsFactory create_relay_calls,
      maintenance::InstanceCalls instance_calls);

  // Runs until the process ends.
  kj::Promise<void> Run();

  // Answers a request if this controller leads; answers kNotLeader otherwise.
  kj::Promise<fleet::Answer> Ask(const jobs::Request& request);

  // Handles a message of another replica; see ReplicaHost.
  kj::Promise<std::vector<replication::Message>> Receive(
      replication::Message message) {
    const auto measured = this->load.work_times.Measure(Work::kReplicate);
    return this->host->Receive(std::move(message));
  }
  absl::Status Join(const replication::NodeId& node) {
    return this->host->Join(node);
  }
  absl::Status HandOver() { return this->host->HandOver(); }

  // Opens a relay that makes calls to workers for the leader of `epoch`.
  // Returns kWrongState while this controller leads or knows a later epoch.
  absl::StatusOr<wire::Relay::Client> OpenRelay(
      LeaderEpoch epoch,
      wire::RelayAnswers::Client answers);
  const DataCentre& data_centre() const { return this->settings.data_centre; }

  // Tells whether this process was suspended a moment ago.
  const SuspensionWatch& suspension_watch() const { return this->suspension; }

  bool is_leading() const { return this->scheduler.has_value(); }
  const jobs::JobsState& state() const { return this->jobs_state; }
  const ReplicaHost& replica_host() const { return *this->host; }

 private:
  // Ends of runs that a worker reported and that wait to be committed together
  // with those of other workers.
  struct WaitingEnds {
    WorkerId worker;
    scheduler::EndsToRecord ends;
    kj::Own<kj::PromiseFulfiller<void>> fulfiller;
  };

  JobController(const NodeSettings& settings,
                kj::AsyncIoProvider& provider,
                http::Metrics& metrics,
                jobs::DeclarationDecoder decoder,
                Peers& peers,
                scheduler::WorkerCalls worker_calls,
                RelayCallsFactory create_relay_calls,
                maintenance::InstanceCalls instance_calls);

  void taskFailed(kj::Exception&& exception) override;

  void RegisterMetrics();
  // Calls Tick at a fixed interval.
  kj::Promise<void> TickLoop();
  void Tick();
  // Begins and ends the leadership according to the state of the replica, and
  // maintains the membership while it lasts.
  void UpdateLeadership(SteadyTime now);
  // Proposes the epoch of a new leadership.
  void BeginLeadership();
  // Creates the scheduler once the epoch is committed.
  void StartScheduling();
  void EndLeadership();
  // Applies a committed command to the jobs state.
  fleet::Answer Apply(const std::string& payload);
  // Applies a committed declaration and logs what it changed.
  fleet::Answer ApplyDeclaration(const jobs::StampedCommand& stamped,
                                 const jobs::Declare& declare);
  void RecordAffectedWorkers(const jobs::Command& command);
  std::vector<JobId> ActiveJobsOf(const jobs::Command& command) const;
  void LogFinishedJobs(const std::vector<JobId>& affected_jobs);
  // Schedules a planning pass if commands were applied since the last call.
  void HandleAppliedCommands();
  // Commits a command and returns the result of applying it.
  kj::Promise<fleet::Answer> Propose(jobs::Command command);
  void ProposeInBackground(jobs::Command command);

  fleet::Answer RefuseAddress(const absl::Status& status);
  kj::Promise<fleet::Answer> Serve(const jobs::SubmitAt& request);
  kj::Promise<fleet::Answer> Serve(const jobs::ShowAt& request);
  kj::Promise<fleet::Answer> Serve(const jobs::CancelAt& request);
  kj::Promise<fleet::Answer> Serve(const jobs::Commit& request);
  kj::Promise<fleet::Answer> Serve(const jobs::ReadDeclaration& request);
  kj::Promise<fleet::Answer> Serve(const jobs::ShowWave& request);
  kj::Promise<fleet::Answer> Serve(const jobs::Show& request);
  kj::Promise<fleet::Answer> Serve(const jobs::ShowDataCentre& request);
  // Returns an error unless operators may change the use of this data centre.
  absl::Status CheckDataCentre(const DataCentre& name) const;

  void SyncWorkers();
  // Creates the calls to workers of this leadership.
  void BeginRelays();
  // Opens relays on the other members of the group, or closes all of them if
  // there are too few workers.
  void SyncRelays(SteadyTime now);
  // Starts the renewals of all workers.
  void BeginRenewals();
  // Handles the answer to a renewal.
  RenewalOutcome HandleRenewalAnswer(const WorkerId& worker,
                                     const scheduler::RenewAnswer& answer);
  // Updates the scheduler with a report and returns the ends to commit.
  scheduler::EndsToRecord HandleWorkerReport(
      const WorkerId& worker,
      const scheduler::RenewReport& report,
      SteadyTime now);
  kj::Promise<void> RecordEnds(const WorkerId& worker,
                               scheduler::EndsToRecord ends);
  void ScheduleEnds();
  void CommitEnds();
  // Runs a planning pass after the current pause between passes, unless one is
  // scheduled already.
  void SchedulePlan();
  // Runs a planning pass: plans instances and tasks, sends the orders and
  // proposes the commands.
  void Plan();
  // Records the duration of a planning pass.
  void RecordPassDuration(std::chrono::steady_clock::duration took);
  void SendOrder(const scheduler::Order& order);
  void RequestReport(const scheduler::RenewOrder& order);
  void RequestAdvice(const scheduler::AdviceQuestion& question);
  void LogEvents(const std::vector<scheduler::SchedulerEvent>& events);

  const NodeSettings& settings;
  kj::Timer& timer;
  http::Metrics& metrics;
  LeaderLoad load;
  SystemClock clock;
  SuspensionWatch suspension{this->clock.SteadyNow()};
  Peers& peers;
  scheduler::WorkerCalls worker_calls;
  RelayCallsFactory create_relay_calls;
  maintenance::InstanceCalls instance_calls;
  jobs::JobsState jobs_state;
  std::unique_ptr<ReplicaHost> host;
  SnapshotWriter snapshot_writer;

  TermWatch term_watch;
  replication::GrowthWatch growth_watch;
  // The scheduler, from the commit of this leadership's epoch until the
  // leadership ends.
  std::optional<scheduler::Scheduler> scheduler;
  std::unique_ptr<InstanceManager> instance_manager;
  // The calls to workers, directly or through relays; present as long as the
  // scheduler is.
  std::optional<relay::RelayedCalls> relayed;
  // True if there are enough workers to use relays.
  bool uses_relays = false;
  std::optional<WorkerRenewals> renewals;
  // Jobs whose submission was proposed and has no outcome yet. A job that was
  // sent again meanwhile is contained once for each request.
  std::multiset<JobId> open_submissions;
  SteadyTime last_maintenance{};
  SteadyTime last_plan{};
  scheduler::LoopPacer loop_pacer;
  CommitRounds commit_rounds;
  JobAdmission admission;
  // Workers that were affected by commands committed since the last planning
  // pass.
  std::set<WorkerId> changed_workers;
  bool has_applied = false;
  bool is_plan_scheduled = false;
  std::vector<WaitingEnds> waiting_ends;
  bool are_ends_scheduled = false;
  bool is_ends_commit_open = false;
  kj::TaskSet tasks;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_JOB_CONTROLLER_H_
