// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_COMMANDS_H_
#define LIBRARIES_JOBS_COMMANDS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/describe.h"
#include "libraries/jobs/caller_address.h"
#include "libraries/jobs/data_centre_use.h"
#include "libraries/jobs/job_spec.h"
#include "libraries/jobs/task_crashes.h"
#include "libraries/jobs/task_id.h"
#include "libraries/jobs/worker.h"

namespace sumac::jobs {

// The commands that change the replicated state of jobs. Each is committed
// before its outcome is reported to anyone.

// Begins the epoch of a new leader, which is one above the last epoch.
struct BeginEpoch {
  static constexpr std::string_view kTypeName = "begin-epoch";

  template <typename Self, typename Visitor>
  static void Describe(Self& /*self*/, Visitor& /*visitor*/) {}
};

// Puts the operators' document in force if its version is higher than that of
// the document in force.
struct Declare {
  static constexpr std::string_view kTypeName = "declare";
  std::uint64_t version = 0;
  // The document as the operator sent it.
  std::string document;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("version", self.version);
    visitor.Required("document", self.document);
  }
};

// Records a worker that announced itself for the first time, or whose
// announcement changed.
struct RecordWorker {
  static constexpr std::string_view kTypeName = "record-worker";
  Worker worker;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("worker", self.worker);
  }
};

// Removes the record of a worker on which nothing runs any more.
struct ForgetWorker {
  static constexpr std::string_view kTypeName = "forget-worker";
  WorkerId worker;
  // True if this incarnation of the worker is known to be over, so that a late
  // announcement of it is ignored. A worker that was only silent for long may
  // come back.
  bool is_over = false;
  // If `is_over` is false: the sequence number of the worker's last
  // announcement when the command was proposed. If a later one was recorded
  // since, the worker has come back and its record stays.
  std::uint64_t sequence = 0;
  // If the worker crashed: the runs that may have caused the crash. Each is
  // counted once, however often it is recorded.
  std::vector<CrashedRun> crashed_runs;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("worker", self.worker);
    visitor.Field("is_over", self.is_over);
    visitor.Field("sequence", self.sequence);
    visitor.Field("crashed_runs", self.crashed_runs);
  }
};

// Accepts a job.
struct SubmitJob {
  static constexpr std::string_view kTypeName = "submit-job";
  JobId job;
  QueueName queue;
  JobSpec spec;
  // How long the caller's submissions had been refused before this one.
  Milliseconds waited{0};
  // The customer that the job belongs to; empty for none.
  CustomerName customer;
  bool is_beyond_share = false;
  // The address of a caller's request. If present, the declaration in force
  // where the command is applied decides on the queue and the customer.
  std::optional<CallerAddress> address;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("job", self.job);
    visitor.Required("queue", self.queue);
    visitor.Required("spec", self.spec);
    visitor.Field("waited_ms", self.waited);
    visitor.Field("customer", self.customer);
    visitor.Field("is_beyond_share", self.is_beyond_share);
    visitor.Field("address", self.address);
  }
};

// Cancels a job. If a caller cancels a job that is not known, the command
// records the id, so that a submission that is still under way is refused.
struct CancelJob {
  static constexpr std::string_view kTypeName = "cancel-job";
  JobId job;
  // The origin of a caller's request. Empty if an operator cancels the job; an
  // operator is told that an unknown job was not cancelled.
  QueueName queue;
  CustomerName customer;
  // As in SubmitJob.
  std::optional<CallerAddress> address;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("job", self.job);
    visitor.Field("queue", self.queue);
    visitor.Field("customer", self.customer);
    visitor.Field("address", self.address);
  }
};

// The outcomes of runs that the replicated state records.
enum class RunOutcome { kDone, kFailed };

struct RunEnd {
  TaskId task;
  RunNumber run;
  RunOutcome outcome = RunOutcome::kDone;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("task", self.task);
    visitor.Required("run", self.run);
    visitor.Required("outcome", self.outcome);
  }
};

// Records runs that ended as done or failed. The ends are acknowledged to the
// workers only after this command is committed.
struct RecordEnds {
  static constexpr std::string_view kTypeName = "record-ends";
  std::vector<RunEnd> ends;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("ends", self.ends);
  }
};

// Records jobs of which a task has begun. The state that callers were shown
// must not depend on the memory of a single leader.
struct RecordBegun {
  static constexpr std::string_view kTypeName = "record-begun";
  std::vector<JobId> jobs;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("jobs", self.jobs);
  }
};

// Starts the maintenance of some instances, as operators requested it.
struct StartWave {
  static constexpr std::string_view kTypeName = "start-wave";
  WaveId wave;
  std::vector<InstanceName> instances;
  // The time within which the wave should be complete.
  Milliseconds ramp{0};
  // The maximum number of instances of the wave that may be down for it at
  // once.
  std::uint32_t most_at_once = 1;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("wave", self.wave);
    visitor.Required("instances", self.instances);
    visitor.Field("ramp_ms", self.ramp);
    visitor.Field("most_at_once", self.most_at_once);
  }
};

// The state of the maintenance of one instance of a wave.
enum class MaintenanceState {
  kWaiting,
  // The order may have been sent to the platform.
  kOrdered,
  // The platform has accepted the order.
  kBegun,
  // The instance is back up or no longer exists.
  kOver,
};

struct RecordMaintenance {
  static constexpr std::string_view kTypeName = "record-maintenance";
  WaveId wave;
  InstanceName instance;
  MaintenanceState state = MaintenanceState::kWaiting;
  // With kOrdered: the worker that runs on the instance and ends with the
  // maintenance.
  WorkerId worker;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("wave", self.wave);
    visitor.Required("instance", self.instance);
    visitor.Required("state", self.state);
    visitor.Field("worker", self.worker);
  }
};

// Records that the leader is about to order moves of these instances. A later
// leader gives no orders about them for a while.
struct RecordMoves {
  static constexpr std::string_view kTypeName = "record-moves";
  std::vector<InstanceName> instances;
  // The workers that run on the instances and end with the moves.
  std::map<InstanceName, WorkerId> workers;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("instances", self.instances);
    visitor.Field("workers", self.workers);
  }
};

using Command = std::variant<BeginEpoch,
                             Declare,
                             RecordWorker,
                             ForgetWorker,
                             SubmitJob,
                             CancelJob,
                             RecordEnds,
                             RecordBegun,
                             StartWave,
                             RecordMaintenance,
                             RecordMoves,
                             ChangeDataCentre>;

// A command with the wall-clock time at which the leader proposed it. The state
// uses no other clock.
struct StampedCommand {
  WallTime at{};
  Command command;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("at", self.at);
    visitor.Required("command", self.command);
  }
};

}  // namespace sumac::jobs

namespace sumac {

template <>
struct EnumNames<jobs::RunOutcome> {
  static constexpr std::array kNames = {
      EnumName<jobs::RunOutcome>{jobs::RunOutcome::kDone, "done"},
      EnumName<jobs::RunOutcome>{jobs::RunOutcome::kFailed, "failed"},
  };
};

template <>
struct EnumNames<jobs::MaintenanceState> {
  static constexpr std::array kNames = {
      EnumName<jobs::MaintenanceState>{jobs::MaintenanceState::kWaiting,
                                       "waiting"},
      EnumName<jobs::MaintenanceState>{jobs::MaintenanceState::kOrdered,
                                       "ordered"},
      EnumName<jobs::MaintenanceState>{jobs::MaintenanceState::kBegun, "begun"},
      EnumName<jobs::MaintenanceState>{jobs::MaintenanceState::kOver, "over"},
  };
};

}  // namespace sumac

#endif  // LIBRARIES_JOBS_COMMANDS_H_
