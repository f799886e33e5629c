// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_JOB_H_
#define LIBRARIES_FLEET_JOB_H_

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/describe.h"

namespace sumac::fleet {

// The priority of a job; jobs with a lower value are placed before jobs with a
// higher one.
enum class JobPriority { kUrgent, kInteractive, kBackground };

// The states of charts/job.json.
enum class JobState {
  kQueued,
  kPlaced,
  kRunning,
  kCancelling,
  kUnknown,
  kFinished,
  kFailed,
  kCancelled,
  kRefused,
};

// The events of charts/job.json.
enum class JobEvent {
  kPlace,
  kStarted,
  kFinish,
  kFail,
  kGiveUp,
  kLeaseLost,
  kLeaseLostForGood,
  kCancel,
  kStopped,
  kRefuse,
  kRetry,
};

// The specification of a job that an operator submits.
struct JobSpec {
  // The id of the job, chosen by the operator; it must be unique.
  JobId id;
  PoolName pool;
  TeamName team;
  // The class of the job. Jobs of one class have similar sizes and run times.
  std::string job_class;
  JobPriority priority = JobPriority::kBackground;
  std::uint32_t millicores = 1'000;
  std::uint32_t memory_mb = 256;
  std::uint32_t accelerators = 0;
  // False if running the job twice does harm.
  bool repeatable = true;
  // The run time that the operator expects.
  Milliseconds run_time{60'000};
  // The command that the worker runs; opaque to the system.
  std::string command;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("id", self.id);
    visitor.Required("pool", self.pool);
    visitor.Field("team", self.team);
    visitor.Field("class", self.job_class);
    visitor.Field("priority", self.priority);
    visitor.Field("millicores", self.millicores, Limits{1, 10'000'000});
    visitor.Field("memory_mb", self.memory_mb, Limits{1, 100'000'000});
    visitor.Field("accelerators", self.accelerators, Limits{0, 1'024});
    visitor.Field("repeatable", self.repeatable);
    visitor.Field("run_ms", self.run_time, Limits{1, 2'592'000'000.0});
    visitor.Field("command", self.command);
  }
};

// The committed state of one job.
struct Job {
  JobSpec spec;
  JobState state = JobState::kQueued;
  WallTime state_since;
  WallTime submitted_at;
  // The worker on which the job was last placed; empty before the first
  // placement.
  InstanceName worker;
  // The fencing token of the last placement; that of the first placement is 1.
  FencingToken token;
  // The workers that the job failed on, except workers that proved to be faulty
  // themselves.
  std::set<InstanceName> failed_on;
  // The latest message of the worker or the system about the job.
  std::string detail;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("spec", self.spec);
    visitor.Field("state", self.state);
    visitor.Field("state_since", self.state_since);
    visitor.Field("submitted_at", self.submitted_at);
    visitor.Field("worker", self.worker);
    visitor.Field("token", self.token);
    visitor.Field("failed_on", self.failed_on);
    visitor.Field("detail", self.detail);
  }
};

// The states of a task that a worker reports.
enum class TaskState { kRunning, kFinished, kFailed, kStopped };

// A worker's report on one task.
struct TaskReport {
  JobId job;
  FencingToken token;
  TaskState state = TaskState::kRunning;
  std::string detail;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("job", self.job);
    visitor.Required("token", self.token);
    visitor.Required("state", self.state);
    visitor.Field("detail", self.detail);
  }
};

}  // namespace sumac::fleet

namespace sumac {

template <>
struct EnumNames<fleet::JobPriority> {
  using Priority = fleet::JobPriority;
  static constexpr std::array kNames = {
      EnumName<Priority>{Priority::kUrgent, "urgent"},
      EnumName<Priority>{Priority::kInteractive, "interactive"},
      EnumName<Priority>{Priority::kBackground, "background"},
  };
};

template <>
struct EnumNames<fleet::JobState> {
  using State = fleet::JobState;
  static constexpr std::array kNames = {
      EnumName<State>{State::kQueued, "queued"},
      EnumName<State>{State::kPlaced, "placed"},
      EnumName<State>{State::kRunning, "running"},
      EnumName<State>{State::kCancelling, "cancelling"},
      EnumName<State>{State::kUnknown, "unknown"},
      EnumName<State>{State::kFinished, "finished"},
      EnumName<State>{State::kFailed, "failed"},
      EnumName<State>{State::kCancelled, "cancelled"},
      EnumName<State>{State::kRefused, "refused"},
  };
};

template <>
struct EnumNames<fleet::JobEvent> {
  using Event = fleet::JobEvent;
  static constexpr std::array kNames = {
      EnumName<Event>{Event::kPlace, "place"},
      EnumName<Event>{Event::kStarted, "started"},
      EnumName<Event>{Event::kFinish, "finish"},
      EnumName<Event>{Event::kFail, "fail"},
      EnumName<Event>{Event::kGiveUp, "give_up"},
      EnumName<Event>{Event::kLeaseLost, "lease_lost"},
      EnumName<Event>{Event::kLeaseLostForGood, "lease_lost_for_good"},
      EnumName<Event>{Event::kCancel, "cancel"},
      EnumName<Event>{Event::kStopped, "stopped"},
      EnumName<Event>{Event::kRefuse, "refuse"},
      EnumName<Event>{Event::kRetry, "retry"},
  };
};

template <>
struct EnumNames<fleet::TaskState> {
  using State = fleet::TaskState;
  static constexpr std::array kNames = {
      EnumName<State>{State::kRunning, "running"},
      EnumName<State>{State::kFinished, "finished"},
      EnumName<State>{State::kFailed, "failed"},
      EnumName<State>{State::kStopped, "stopped"},
  };
};

}  // namespace sumac

#endif  // LIBRARIES_FLEET_JOB_H_
