// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_INSTANCE_H_
#define LIBRARIES_FLEET_INSTANCE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/describe.h"

namespace sumac::fleet {

// Minions answer requests; workers run jobs.
enum class TargetKind { kMinion, kWorker };

// The states of charts/instance.json.
enum class InstanceState {
  kSettling,
  kAvailable,
  kSilent,
  kDraining,
  kDrained,
  kRebooting,
  kFailed,
  kQuarantined,
  kLeft,
};

// The events of charts/instance.json.
enum class InstanceEvent {
  kSettled,
  kSilence,
  kHeard,
  kGrant,
  kTakeBack,
  kTakeBackUnsettled,
  kDrained,
  kRebootBegun,
  kReturned,
  kMoved,
  kRebootFailed,
  kQuarantine,
  kRelease,
  kLeave,
};

// The kinds of planned operations on an instance.
enum class OperationKind { kDrain, kReboot, kMove };

// The progress of an operation, as reported by the platform.
enum class PlatformProgress { kNotTold, kAccepted, kDone, kFailed };

// One granted operation on one instance. Every message about it to the platform
// carries its id, so that a resent message has no further effect.
struct Operation {
  OperationId id;
  OperationKind kind = OperationKind::kDrain;
  // The pool that the instance moves to; only for a move.
  PoolName target_pool;
  std::string granted_by;
  WallTime granted_at;
  PlatformProgress progress = PlatformProgress::kNotTold;
  // The incarnation of the instance when the operation was granted; a reboot is
  // over once there is a later one.
  Incarnation incarnation_before;
  // True if the instance counted for the budget when the operation was granted.
  bool counted_before = false;
  // The wave that the operation belongs to; empty for one that an operator
  // requested.
  std::string wave;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("id", self.id);
    visitor.Field("kind", self.kind);
    visitor.Field("target_pool", self.target_pool);
    visitor.Field("granted_by", self.granted_by);
    visitor.Field("granted_at", self.granted_at);
    visitor.Field("progress", self.progress);
    visitor.Field("incarnation_before", self.incarnation_before);
    visitor.Field("counted_before", self.counted_before);
    visitor.Field("wave", self.wave);
  }
};

// The description of a target in its announcements.
struct TargetDescription {
  InstanceName name;
  TargetKind kind = TargetKind::kMinion;
  // The number of the target's present incarnation. It differs for each start
  // of the target and always increases, as the start time in milliseconds since
  // the epoch does.
  Incarnation incarnation;
  // The address at which the target accepts requests, as IP:PORT.
  std::string address;
  DataCentre data_centre;
  Rack rack;
  // The pool that the target joins if it is not known yet.
  PoolName pool;
  // For minions: the services that the target serves, and how many requests and
  // connections it accepts at once.
  std::set<ServiceName> services;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  // For workers: the resources that jobs can use.
  std::uint32_t millicores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  // The version to which maintenance has updated the target.
  std::string version;

  bool operator==(const TargetDescription&) const = default;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("name", self.name);
    visitor.Required("kind", self.kind);
    visitor.Required("incarnation", self.incarnation);
    visitor.Required("address", self.address);
    visitor.Required("data_centre", self.data_centre);
    visitor.Required("rack", self.rack);
    visitor.Field("pool", self.pool);
    visitor.Field("services", self.services);
    visitor.Field("slots", self.slots, Limits{0, 4'096});
    visitor.Field("connections", self.connections, Limits{0, 65'536});
    visitor.Field("millicores", self.millicores, Limits{0, 10'000'000});
    visitor.Field("memory_mb", self.memory_mb, Limits{0, 100'000'000});
    visitor.Field("accelerators", self.accelerators, Limits{0, 1'024});
    visitor.Field("version", self.version);
  }
};

// The committed state of one instance.
struct Instance {
  TargetDescription target;
  // The one pool that the instance belongs to.
  PoolName pool;
  InstanceState state = InstanceState::kSettling;
  WallTime state_since;
  std::optional<Operation> operation;
  // True if the instance became silent while it was already out of its pool for
  // planned work.
  bool is_silent_while_planned = false;
  // The different jobs that failed on the instance since the last one that
  // succeeded there.
  std::set<JobId> failed_jobs;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("target", self.target);
    visitor.Field("pool", self.pool);
    visitor.Field("state", self.state);
    visitor.Field("state_since", self.state_since);
    visitor.Field("operation", self.operation);
    visitor.Field("is_silent_while_planned", self.is_silent_while_planned);
    visitor.Field("failed_jobs", self.failed_jobs);
  }
};

}  // namespace sumac::fleet

namespace sumac {

template <>
struct EnumNames<fleet::TargetKind> {
  static constexpr std::array kNames = {
      EnumName<fleet::TargetKind>{fleet::TargetKind::kMinion, "minion"},
      EnumName<fleet::TargetKind>{fleet::TargetKind::kWorker, "worker"},
  };
};

template <>
struct EnumNames<fleet::InstanceState> {
  using State = fleet::InstanceState;
  static constexpr std::array kNames = {
      EnumName<State>{State::kSettling, "settling"},
      EnumName<State>{State::kAvailable, "available"},
      EnumName<State>{State::kSilent, "silent"},
      EnumName<State>{State::kDraining, "draining"},
      EnumName<State>{State::kDrained, "drained"},
      EnumName<State>{State::kRebooting, "rebooting"},
      EnumName<State>{State::kFailed, "failed"},
      EnumName<State>{State::kQuarantined, "quarantined"},
      EnumName<State>{State::kLeft, "left"},
  };
};

template <>
struct EnumNames<fleet::InstanceEvent> {
  using Event = fleet::InstanceEvent;
  static constexpr std::array kNames = {
      EnumName<Event>{Event::kSettled, "settled"},
      EnumName<Event>{Event::kSilence, "silence"},
      EnumName<Event>{Event::kHeard, "heard"},
      EnumName<Event>{Event::kGrant, "grant"},
      EnumName<Event>{Event::kTakeBack, "take_back"},
      EnumName<Event>{Event::kTakeBackUnsettled, "take_back_unsettled"},
      EnumName<Event>{Event::kDrained, "drained"},
      EnumName<Event>{Event::kRebootBegun, "reboot_begun"},
      EnumName<Event>{Event::kReturned, "returned"},
      EnumName<Event>{Event::kMoved, "moved"},
      EnumName<Event>{Event::kRebootFailed, "reboot_failed"},
      EnumName<Event>{Event::kQuarantine, "quarantine"},
      EnumName<Event>{Event::kRelease, "release"},
      EnumName<Event>{Event::kLeave, "leave"},
  };
};

template <>
struct EnumNames<fleet::OperationKind> {
  using Kind = fleet::OperationKind;
  static constexpr std::array kNames = {
      EnumName<Kind>{Kind::kDrain, "drain"},
      EnumName<Kind>{Kind::kReboot, "reboot"},
      EnumName<Kind>{Kind::kMove, "move"},
  };
};

template <>
struct EnumNames<fleet::PlatformProgress> {
  using Progress = fleet::PlatformProgress;
  static constexpr std::array kNames = {
      EnumName<Progress>{Progress::kNotTold, "not_told"},
      EnumName<Progress>{Progress::kAccepted, "accepted"},
      EnumName<Progress>{Progress::kDone, "done"},
      EnumName<Progress>{Progress::kFailed, "failed"},
  };
};

}  // namespace sumac

#endif  // LIBRARIES_FLEET_INSTANCE_H_
