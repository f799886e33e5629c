// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_COMMANDS_H_
#define LIBRARIES_FLEET_COMMANDS_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/describe.h"
#include "libraries/fleet/claim.h"
#include "libraries/fleet/declaration.h"
#include "libraries/fleet/instance.h"
#include "libraries/fleet/job.h"

namespace sumac::fleet {

// The commands of the replicated state machine. Each is one entry of the log;
// the leader proposes it, and every controller applies it in the same order
// with the same outcome.

// Who sent a command, and the id under which a resend gets the first answer
// again.
struct OperatorIdentity {
  std::string operator_name;
  OperatorRequestId request_id;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("operator", self.operator_name);
    visitor.Field("request_id", self.request_id);
  }
};

// Puts a declaration in force if `expected` is the present revision.
struct ApplyDeclaration {
  static constexpr std::string_view kTypeName = "apply_declaration";
  OperatorIdentity identity;
  Revision expected;
  Declaration declaration;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("identity", self.identity);
    visitor.Field("expected", self.expected);
    visitor.Field("declaration", self.declaration);
  }
};

// What an operator asks to be done with an instance.
enum class InstanceRequest { kDrain, kUndrain, kReboot, kMove };

struct OperateInstance {
  static constexpr std::string_view kTypeName = "operate_instance";
  OperatorIdentity identity;
  InstanceRequest request = InstanceRequest::kDrain;
  InstanceName instance;
  // Only for a move.
  PoolName pool;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("identity", self.identity);
    visitor.Field("request", self.request);
    visitor.Field("instance", self.instance);
    visitor.Field("pool", self.pool);
  }
};

struct SubmitJob {
  static constexpr std::string_view kTypeName = "submit_job";
  OperatorIdentity identity;
  JobSpec job;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("identity", self.identity);
    visitor.Field("job", self.job);
  }
};

struct CancelJob {
  static constexpr std::string_view kTypeName = "cancel_job";
  OperatorIdentity identity;
  JobId job;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("identity", self.identity);
    visitor.Field("job", self.job);
  }
};

// Targets that are new, started again, changed, or are heard again after a
// silence.
struct RecordTargets {
  static constexpr std::string_view kTypeName = "record_targets";
  std::vector<TargetDescription> targets;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("targets", self.targets);
  }
};

// What a leader noticed about instances.
struct RecordInstanceEvents {
  static constexpr std::string_view kTypeName = "record_instance_events";

  struct Item {
    InstanceName instance;
    // Which start of the instance it was noticed about.
    Incarnation incarnation;
    InstanceEvent event = InstanceEvent::kSettled;

    template <typename Self, typename Visitor>
    static void Describe(Self& self, Visitor& visitor) {
      visitor.Field("instance", self.instance);
      visitor.Field("incarnation", self.incarnation);
      visitor.Field("event", self.event);
    }
  };

  std::vector<Item> items;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("items", self.items);
  }
};

// What the platform said about an operation.
struct RecordPlatformReport {
  static constexpr std::string_view kTypeName = "record_platform_report";
  InstanceName instance;
  OperationId operation;
  PlatformProgress progress = PlatformProgress::kAccepted;
  std::string detail;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("instance", self.instance);
    visitor.Field("operation", self.operation);
    visitor.Field("progress", self.progress);
    visitor.Field("detail", self.detail);
  }
};

// One job put on one worker, with what speaks against the others.
struct Placement {
  JobId job;
  InstanceName worker;
  std::string rule;
  std::vector<std::string> rejected;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("job", self.job);
    visitor.Field("worker", self.worker);
    visitor.Field("rule", self.rule);
    visitor.Field("rejected", self.rejected);
  }
};

struct PlaceJobs {
  static constexpr std::string_view kTypeName = "place_jobs";
  std::vector<Placement> placements;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("placements", self.placements);
  }
};

struct RecordTasks {
  static constexpr std::string_view kTypeName = "record_tasks";
  InstanceName worker;
  std::vector<TaskReport> reports;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("worker", self.worker);
    visitor.Field("reports", self.reports);
  }
};

// Leases whose time, margin included, has passed without a renewal.
struct ExpireLeases {
  static constexpr std::string_view kTypeName = "expire_leases";

  struct Item {
    JobId job;
    FencingToken token;

    template <typename Self, typename Visitor>
    static void Describe(Self& self, Visitor& visitor) {
      visitor.Field("job", self.job);
      visitor.Field("token", self.token);
    }
  };

  std::vector<Item> items;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("items", self.items);
  }
};

// An entry asks for the right to send one non-repeatable request.
struct ClaimRequest {
  static constexpr std::string_view kTypeName = "claim_request";
  IdempotencyKey key;
  std::string digest;
  ProcessName entry;
  std::uint64_t attempt = 0;
  // How long the entry will wait for the minion's answer at most.
  Milliseconds run_time{0};

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("key", self.key);
    visitor.Field("digest", self.digest);
    visitor.Field("entry", self.entry);
    visitor.Field("attempt", self.attempt);
    visitor.Field("run_ms", self.run_time);
  }
};

// How a claimed request ended.
struct FinishClaim {
  static constexpr std::string_view kTypeName = "finish_claim";
  IdempotencyKey key;
  ProcessName entry;
  std::uint64_t attempt = 0;
  ClaimState state = ClaimState::kUnknown;
  KeptAnswer answer;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("key", self.key);
    visitor.Field("entry", self.entry);
    visitor.Field("attempt", self.attempt);
    visitor.Field("state", self.state);
    visitor.Field("answer", self.answer);
  }
};

// Forgets claims whose keys lie before `before`; such keys are refused from
// then on.
struct ExpireClaims {
  static constexpr std::string_view kTypeName = "expire_claims";
  WallTime before;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("before", self.before);
  }
};

using Command = std::variant<ApplyDeclaration,
                             OperateInstance,
                             SubmitJob,
                             CancelJob,
                             RecordTargets,
                             RecordInstanceEvents,
                             RecordPlatformReport,
                             PlaceJobs,
                             RecordTasks,
                             ExpireLeases,
                             ClaimRequest,
                             FinishClaim,
                             ExpireClaims>;

// A command with the leader's time, which is the only time that applying it
// uses.
struct StampedCommand {
  WallTime at;
  Command command;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("at", self.at);
    visitor.Required("command", self.command);
  }
};

}  // namespace sumac::fleet

namespace sumac {

template <>
struct EnumNames<fleet::InstanceRequest> {
  using Request = fleet::InstanceRequest;
  static constexpr std::array kNames = {
      EnumName<Request>{Request::kDrain, "drain"},
      EnumName<Request>{Request::kUndrain, "undrain"},
      EnumName<Request>{Request::kReboot, "reboot"},
      EnumName<Request>{Request::kMove, "move"},
  };
};

}  // namespace sumac

#endif  // LIBRARIES_FLEET_COMMANDS_H_
