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

// The operator who sent a command, and the request id under which a resend
// receives the first answer again.
struct OperatorIdentity {
  std::string operator_name;
  OperatorRequestId request_id;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("operator", self.operator_name);
    visitor.Field("request_id", self.request_id);
  }
};

// Puts a declaration in force if `expected` is the current revision.
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

// The operations on an instance that an operator can request.
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

// Records targets that are new, restarted, changed, or renew again after a
// silence.
struct RecordTargets {
  static constexpr std::string_view kTypeName = "record_targets";
  std::vector<TargetDescription> targets;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("targets", self.targets);
  }
};

// Records events that the leader detected on instances.
struct RecordInstanceEvents {
  static constexpr std::string_view kTypeName = "record_instance_events";

  struct Item {
    InstanceName instance;
    // The incarnation of the instance on which the event was detected.
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

// Records the platform's report on an operation.
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

// The placement of one job on one worker, with the reasons against the workers
// passed over.
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

// Ends leases that have expired, margin included, without a renewal.
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

// Claims the right of an entry to send one non-repeatable request.
struct ClaimRequest {
  static constexpr std::string_view kTypeName = "claim_request";
  IdempotencyKey key;
  std::string digest;
  ProcessName entry;
  std::uint64_t attempt = 0;
  // The maximum time for which the entry waits for the minion's answer.
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

// Records how a claimed request ended.
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

// Removes the claims whose keys carry a time before `before`; such keys are
// refused from then on.
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

// A command with the leader's time, which is the only time used to apply it.
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
