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

// The part of the state that is kept in snapshots.
struct FleetRecord {
  // The time of the last command; it never goes back.
  WallTime now;
  Revision revision;
  // Who put the present revision in force.
  std::string revision_winner;
  Declaration declaration;
  std::map<InstanceName, Instance> instances;
  std::map<JobId, Job> jobs;
  std::map<IdempotencyKey, Claim> claims;
  // Keys that carry an earlier time are refused.
  WallTime claims_floor;
  // The first answers to operators' commands, and the order in which to forget
  // them.
  std::map<OperatorRequestId, KeptOperatorAnswer> operator_answers;
  std::vector<OperatorRequestId> operator_answer_order;
  std::vector<Decision> decisions;
  std::uint64_t next_operation = 1;
  std::uint64_t next_decision = 1;
  // Changes whenever something changed that entries route by.
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

// The replicated state with the indexes that follow from it. All changes of
// instances and jobs go through it, so that the indexes always fit.
class FleetState {
 public:
  // An empty state under these charts.
  explicit FleetState(const Charts& charts) : state_charts(&charts) {}

  // Reads a snapshot that ToSnapshot made.
  absl::Status LoadSnapshot(std::string_view bytes);
  std::string ToSnapshot() const;

  const FleetRecord& record() const { return this->data; }
  const Charts& charts() const { return *this->state_charts; }

  // Fields that no index follows.
  FleetRecord& mutable_record() { return this->data; }

  const Instance* FindInstance(const InstanceName& name) const;
  const Job* FindJob(const JobId& id) const;

  // The error kUnknownName, or the thing itself.
  absl::StatusOr<const Instance*> GetInstance(const InstanceName& name) const;
  absl::StatusOr<const Job*> GetJob(const JobId& id) const;

  // Adds or replaces an instance or a job.
  void PutInstance(Instance instance);
  void PutJob(Job job);

  // Moves an instance or job on by its chart; the error is kWrongState.
  absl::Status FireInstanceEvent(Instance& instance, InstanceEvent event) const;
  absl::Status FireJobEvent(Job& job, JobEvent event) const;

  // True if the chart gives the instance's state this tag.
  bool InstanceHasTag(const Instance& instance, std::string_view tag) const;
  bool JobHasTag(const Job& job, std::string_view tag) const;

  // Keeps a decision and gives it its id.
  DecisionId AddDecision(Decision decision);

  // Tells that entries must route by something new.
  void IncrementViewVersion() { ++this->data.view_version; }

  // Indexes.
  const PoolCounts& CountsOf(const PoolName& pool) const;
  const WorkerIndex& WorkersOf(const PoolName& pool) const;
  const std::set<InstanceName>& instances_not_available() const {
    return this->unsettled;
  }
  // Queued jobs in the order in which they are placed.
  const std::set<std::pair<std::pair<JobPriority, WallTime>, JobId>>&
  queued_jobs() const {
    return this->queued;
  }
  const std::set<JobId>& leased_jobs() const { return this->leased; }
  const std::set<JobId>& JobsOn(const InstanceName& worker) const;
  // What the team's placed and running jobs hold.
  Resources ResourcesHeldBy(const TeamName& team) const;

  // How many decisions and operator answers are kept.
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
  std::set<InstanceName> unsettled;
  std::set<std::pair<std::pair<JobPriority, WallTime>, JobId>> queued;
  std::set<JobId> leased;
  std::map<InstanceName, std::set<JobId>> jobs_by_worker;
  std::map<InstanceName, Resources> used_by_worker;
  std::map<TeamName, Resources> used_by_team;
};

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_FLEET_STATE_H_
