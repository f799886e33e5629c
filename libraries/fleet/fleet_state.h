// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_FLEET_STATE_H_
#define LIBRARIES_FLEET_FLEET_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "libraries/fleet/charts.h"
#include "libraries/fleet/claim.h"
#include "libraries/fleet/decision.h"
#include "libraries/fleet/declaration.h"
#include "libraries/fleet/instance.h"
#include "libraries/fleet/job.h"
#include "libraries/fleet/pool_counts.h"
#include "libraries/fleet/worker_index.h"

namespace sumac::fleet {

// The part of the state that is stored in snapshots.
struct FleetRecord {
  // The time of the last command; it never goes back.
  WallTime now;
  Revision revision;
  // The operator and request that put the current revision in force.
  std::string revision_winner;
  Declaration declaration;
  std::map<InstanceName, Instance> instances;
  std::map<JobId, Job> jobs;
  std::map<IdempotencyKey, Claim> claims;
  // Idempotency keys that carry an earlier time are refused.
  WallTime claims_floor;
  // The first answers to operators' commands, and the order in which to remove
  // them.
  std::map<OperatorRequestId, KeptOperatorAnswer> operator_answers;
  std::vector<OperatorRequestId> operator_answer_order;
  std::vector<Decision> decisions;
  std::uint64_t next_operation = 1;
  std::uint64_t next_decision = 1;
  // The version of the entries' view; incremented on each change that affects
  // routing.
  std::uint64_t view_version = 0;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("now", self.now);
    visitor.Field("revision", self.revision);
    visitor.Field("revision_winner", self.revision_winner);
    visitor.Field("declaration", self.declaration);
    visitor.Field("instances", self.instances);
    visitor.Field("jobs", self.jobs);
    visitor.Field("claims", self.claims);
    visitor.Field("claims_floor", self.claims_floor);
    visitor.Field("operator_answers", self.operator_answers);
    visitor.Field("operator_answer_order", self.operator_answer_order);
    visitor.Field("decisions", self.decisions);
    visitor.Field("next_operation", self.next_operation);
    visitor.Field("next_decision", self.next_decision);
    visitor.Field("view_version", self.view_version);
  }
};

// The replicated state with the indexes derived from it. All changes to
// instances and jobs go through this class, so that the indexes are always
// consistent with the record.
class FleetState {
 public:
  // Creates an empty state that uses `charts`.
  explicit FleetState(const Charts& charts) : state_charts(&charts) {}

  // Loads a snapshot that ToSnapshot returned.
  absl::Status LoadSnapshot(std::string_view bytes);
  // Returns the error that LoadSnapshot would return.
  static absl::Status CheckSnapshot(std::string_view bytes);
  std::string ToSnapshot() const;

  const FleetRecord& record() const { return this->data; }
  const Charts& charts() const { return *this->state_charts; }

  // Gives write access to the fields that no index is derived from.
  FleetRecord& mutable_record() { return this->data; }

  const Instance* FindInstance(const InstanceName& name) const;
  const Job* FindJob(const JobId& id) const;

  // Returns the instance or job, or the error kUnknownName.
  absl::StatusOr<const Instance*> GetInstance(const InstanceName& name) const;
  absl::StatusOr<const Job*> GetJob(const JobId& id) const;

  // Adds or replaces an instance or a job.
  void PutInstance(Instance instance);
  void PutJob(Job job);

  // Changes the state of an instance or job as its chart defines for the event;
  // the error is kWrongState.
  absl::Status FireInstanceEvent(Instance& instance, InstanceEvent event) const;
  absl::Status FireJobEvent(Job& job, JobEvent event) const;

  // Returns true if the chart gives the state of the instance or job this tag.
  bool InstanceHasTag(const Instance& instance, std::string_view tag) const;
  bool JobHasTag(const Job& job, std::string_view tag) const;

  // Records a decision under a new id and returns the id.
  DecisionId AddDecision(Decision decision);

  // Increments the version of the view after a change that affects routing.
  void IncrementViewVersion() { ++this->data.view_version; }

  // The indexes derived from the record.
  const PoolCounts& CountsOf(const PoolName& pool) const;
  const WorkerIndex& WorkersOf(const PoolName& pool) const;
  const std::set<InstanceName>& instances_not_available() const {
    return this->unavailable;
  }
  // Returns the queued jobs in the order in which they are placed.
  const std::set<std::pair<std::pair<JobPriority, WallTime>, JobId>>&
  queued_jobs() const {
    return this->queued;
  }
  const std::set<JobId>& leased_jobs() const { return this->leased; }
  const std::set<JobId>& JobsOn(const InstanceName& worker) const;
  // Returns the resources that the placed and running jobs of the team hold.
  Resources ResourcesHeldBy(const TeamName& team) const;

  // The maximum numbers of decisions and of operator answers that are kept.
  static constexpr std::size_t kMaxDecisions = 4'000;
  static constexpr std::size_t kMaxOperatorAnswers = 4'000;

 private:
  void IndexInstance(const Instance& instance, int step);
  void IndexJob(const Job& job, int step);
  void RefreshWorker(const Instance& instance);

  const Charts* state_charts;
  FleetRecord data;

  std::map<PoolName, PoolCounts> counts;
  std::map<PoolName, WorkerIndex> workers;
  std::set<InstanceName> unavailable;
  std::set<std::pair<std::pair<JobPriority, WallTime>, JobId>> queued;
  std::set<JobId> leased;
  std::map<InstanceName, std::set<JobId>> jobs_by_worker;
  std::map<InstanceName, Resources> used_by_worker;
  std::map<TeamName, Resources> used_by_team;
};

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_FLEET_STATE_H_
