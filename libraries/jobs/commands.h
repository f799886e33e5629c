// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_COMMANDS_H_
#define LIBRARIES_JOBS_COMMANDS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/describe.h"
#include "libraries/jobs/job_spec.h"
#include "libraries/jobs/task_crashes.h"
#include "libraries/jobs/task_id.h"
#include "libraries/jobs/worker.h"

namespace sumac::jobs {

// The commands of the replicated jobs state. Each is committed before anyone is
// told of its outcome.

// A new leader begins: its epoch is one above the last.
struct BeginEpoch {
  static constexpr std::string_view kTypeName = "begin-epoch";

  template <typename Self, typename Visitor>
  static void Describe(Self& /*self*/, Visitor& /*visitor*/) {}
};

// Puts the operators' document in force if its version is the highest.
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

// A worker announced itself for the first time, or changed.
struct RecordWorker {
  static constexpr std::string_view kTypeName = "record-worker";
  Worker worker;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("worker", self.worker);
  }
};

// A worker's life is over and nothing runs there any more.
struct ForgetWorker {
  static constexpr std::string_view kTypeName = "forget-worker";
  WorkerId worker;
  // The life is known to be over, so that an announcement of it that comes late
  // changes nothing. A worker that was only silent for long may come back.
  bool is_over = false;
  // Where its life is not over: its last announcement that was known. A later
  // one shows that it came back, and it stays.
  std::uint64_t sequence = 0;
  // Where it crashed: the runs that this may be put down to. Each is counted
  // once, however often it is recorded.
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
  // For how long its caller had been refused before.
  Milliseconds waited{0};

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("job", self.job);
    visitor.Required("queue", self.queue);
    visitor.Required("spec", self.spec);
    visitor.Field("waited_ms", self.waited);
  }
};

struct CancelJob {
  static constexpr std::string_view kTypeName = "cancel-job";
  JobId job;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("job", self.job);
  }
};

// How a run ended, as far as it must be remembered.
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

// Runs that ended done or failed; only then are their workers told that the
// ends are known.
struct RecordEnds {
  static constexpr std::string_view kTypeName = "record-ends";
  std::vector<RunEnd> ends;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("ends", self.ends);
  }
};

// Jobs of which a task has begun. What callers were shown must not depend on
// the memory of one leader.
struct RecordBegun {
  static constexpr std::string_view kTypeName = "record-begun";
  std::vector<JobId> jobs;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("jobs", self.jobs);
  }
};

// Operators ask for the maintenance of some instances.
struct StartWave {
  static constexpr std::string_view kTypeName = "start-wave";
  WaveId wave;
  std::vector<InstanceName> instances;
  // The time in which the wave should be over.
  Milliseconds ramp{0};
  // Instances of the wave that may be down for it at once.
  std::uint32_t most_at_once = 1;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("wave", self.wave);
    visitor.Required("instances", self.instances);
    visitor.Field("ramp_ms", self.ramp);
    visitor.Field("most_at_once", self.most_at_once);
  }
};

// How far the maintenance of one instance of a wave is.
enum class MaintenanceState {
  kWaiting,
  // The order may have gone out.
  kOrdered,
  // The order was taken.
  kBegun,
  // The instance is back or gone for good.
  kOver,
};

struct RecordMaintenance {
  static constexpr std::string_view kTypeName = "record-maintenance";
  WaveId wave;
  InstanceName instance;
  MaintenanceState state = MaintenanceState::kWaiting;
  // With kOrdered: the worker that runs there and ends with the maintenance.
  WorkerId worker;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("wave", self.wave);
    visitor.Required("instance", self.instance);
    visitor.Required("state", self.state);
    visitor.Field("worker", self.worker);
  }
};

// The leader is about to order moves of these instances. A later leader keeps
// away from them for a while.
struct RecordMoves {
  static constexpr std::string_view kTypeName = "record-moves";
  std::vector<InstanceName> instances;
  // The workers that run there and end with the moves.
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
                             RecordMoves>;

// A command with the wall-clock time at which the leader proposed it; the only
// time that the state knows.
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
