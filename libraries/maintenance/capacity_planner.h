// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_CAPACITY_PLANNER_H_
#define LIBRARIES_MAINTENANCE_CAPACITY_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/commands.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/service_demand.h"
#include "libraries/maintenance/evacuated_instances.h"
#include "libraries/maintenance/instance_messages.h"
#include "libraries/maintenance/label_needs.h"
#include "libraries/maintenance/maintenance_planner.h"

namespace sumac::maintenance {

struct CapacitySettings {
  // False leaves every instance in its pool, as a baseline for comparisons.
  bool is_on = true;
  // The time for which a new leader gives no orders about instances that the
  // previous leader was about to move, so that their orders never interleave.
  Milliseconds takeover_pause{3'000};
  // The reserve of a pool over its current demand for short tasks, in
  // thousandths.
  std::int64_t reserve_permille = 150;
  // The time for which a pool must have had too many instances before it gives
  // some up: the cost of giving an instance up and getting it back, which is
  // two moves and the work that is late meanwhile, divided by the cost of an
  // idle instance per second.
  Milliseconds surplus_time{20'000};
  // The time for which pools give nothing up after a data centre was evacuated
  // or returned to use. Work moves between data centres meanwhile, and the
  // instances of a returned one may be slow at first.
  Milliseconds evacuation_hold{10'000};
  // The time that the platform takes to move an instance. It accepts no further
  // order about the instance meanwhile.
  Milliseconds move_time{1'500};
  // The maximum time to wait for an instance to appear in its new pool. After
  // that it counts as in the pool in which the platform lists it.
  Milliseconds max_move_duration{4'000};
  // The time after which an order that was not answered is given again.
  Milliseconds retry{400};
  // The minimum number of instances of a pool, whatever its demand.
  std::int64_t min_instances_per_pool = 2;
};

struct CapacityOutput {
  std::set<InstanceName> cordoned;
  std::vector<jobs::Command> commands;
  std::vector<InstanceOrder> orders;
};

// Decides, for the leader, which instances move to another pool. The demand
// shifts between services, so instances follow it from pools that have too
// many, and from and to the pools whose instances are switched off. A pool
// whose tasks require a label is given instances that have the label, and none
// without it for those tasks. Instances that run long-running tasks stay.
// Instances in evacuated data centres count for no pool and are not moved, so
// that a pool grows from the instances elsewhere. Pure.
class CapacityPlanner {
 public:
  CapacityPlanner(CapacitySettings settings,
                  ProcessName holder,
                  LeaderEpoch epoch,
                  SteadyTime now);

  // Plans the moves of one planning pass. `busy` holds the instances that
  // maintenance waves have cordoned or ordered down.
  CapacityOutput Plan(const jobs::JobsState& state,
                      const std::map<InstanceName, InstanceFacts>& facts,
                      const std::map<ServiceName, jobs::ServiceDemand>& demand,
                      const std::set<InstanceName>& busy,
                      WallTime wall_now,
                      SteadyTime now);

  // Updates the known pools and labels of instances from a new list of the
  // platform.
  void UpdateListing(const InstanceListing& listing);

  // Handles the result of an order, and returns the commands to be committed.
  std::vector<jobs::Command> HandleOrderResult(const InstanceOrder& order,
                                               InstanceResult result,
                                               SteadyTime now);

  // Returns the instances that are being moved to another pool.
  std::set<InstanceName> MovingInstances() const;

 private:
  // A move, from its decision until the instance is seen in its new pool.
  struct Move {
    ServiceName from;
    ServiceName to;
    // The worker that ends with the move; empty if none ran on the instance.
    WorkerId worker;
    SteadyTime since{};
    bool is_under_way = false;
    bool is_accepted = false;
    SteadyTime accepted_at{};
    SteadyTime due{};
    // The time at which the move's record may be proposed, or proposed again.
    SteadyTime record_due{};
    // The record of an earlier move of the instance, as it was when the record
    // of this move was first checked.
    std::optional<jobs::MoveRecord> earlier_record;
    bool has_checked_record = false;
  };
  // The data about one pool in one planning pass.
  struct Pool {
    // The processor time of the pool's largest instance.
    std::int64_t instance_millicores = 0;
    // The number of instances in the pool or being moved to it.
    std::int64_t have = 0;
    // The number of instances that the pool needs, and the number that it could
    // use if late work is included, which has no value any more.
    std::int64_t want = 0;
    std::int64_t want_with_late = 0;
    // Instances that could be moved away, with the number of their runs; the
    // one with the fewest runs comes first.
    std::vector<std::pair<std::int64_t, InstanceName>> movable;
  };

  bool HasRecord(const jobs::JobsState& state, const InstanceName& name) const;
  bool IsRecordOld(const jobs::JobsState& state,
                   const InstanceName& name,
                   Move& move) const;
  // Has each pending move recorded, gives its order, and removes the move once
  // the instance has arrived or the move is overdue.
  void AdvanceMoves(const jobs::JobsState& state,
                    const std::map<InstanceName, InstanceFacts>& facts,
                    SteadyTime now,
                    CapacityOutput& output);
  // Updates the known labels of the instances that have a worker.
  void UpdateLabels(const std::map<InstanceName, InstanceFacts>& facts);
  // Returns the instances that each pool has, and those that it could give up.
  std::map<ServiceName, Pool> CountPools(
      const jobs::JobsState& state,
      const std::map<InstanceName, InstanceFacts>& facts,
      const std::set<InstanceName>& busy,
      LabelNeeds& needs,
      WallTime wall_now,
      SteadyTime now) const;
  // Sets how many instances, and how many with each label, each pool needs.
  void SetWantedCounts(const jobs::JobsState& state,
                       const std::map<ServiceName, jobs::ServiceDemand>& demand,
                       std::map<ServiceName, Pool>& pools,
                       LabelNeeds& needs) const;
  jobs::ServiceDemand ExcludeUnservableDemand(const jobs::ServiceDemand& demand,
                                              const Pool& pool,
                                              const LabelNeeds& needs) const;
  std::int64_t LabelledInstancesFor(const Pool& pool,
                                    const jobs::LabelDemand& labelled) const;
  void GrowPoolsByLabel(const jobs::JobsState& state,
                        std::map<ServiceName, Pool>& pools,
                        const std::map<InstanceName, InstanceFacts>& facts,
                        LabelNeeds& needs,
                        SteadyTime now);
  void MoveLabelled(std::map<ServiceName, Pool>& pools,
                    const ServiceName& from,
                    const ServiceName& to,
                    const std::string& label,
                    const std::map<InstanceName, InstanceFacts>& facts,
                    LabelNeeds& needs,
                    SteadyTime now);
  static bool MayMoveLabelled(const Pool& source,
                              const Pool& destination,
                              const ServiceName& from,
                              const ServiceName& to,
                              const InstanceName& name,
                              const std::string& label,
                              const LabelNeeds& needs);
  bool MayMove(const jobs::JobsState& state,
               const InstanceName& name,
               WallTime wall_now,
               SteadyTime now) const;
  bool MayBeUnderWay(const jobs::MoveRecord& record,
                     WallTime wall_now,
                     SteadyTime now) const;
  void CordonEarlierMoves(const jobs::JobsState& state,
                          const std::map<InstanceName, InstanceFacts>& facts,
                          WallTime wall_now,
                          SteadyTime now,
                          CapacityOutput& output) const;
  void GrowPools(const jobs::JobsState& state,
                 std::map<ServiceName, Pool>& pools,
                 const std::map<InstanceName, InstanceFacts>& facts,
                 LabelNeeds& needs,
                 SteadyTime now);
  std::int64_t InstancesFor(const Pool& pool,
                            const jobs::ServiceDemand& service,
                            std::int64_t short_millicores) const;
  void MoveSurplus(const ServiceName& from,
                   Pool& pool,
                   const ServiceName& to,
                   std::int64_t& missing,
                   const std::map<InstanceName, InstanceFacts>& facts,
                   LabelNeeds& needs,
                   SteadyTime now);
  void ShrinkPools(const jobs::JobsState& state,
                   std::map<ServiceName, Pool>& pools,
                   const std::map<InstanceName, InstanceFacts>& facts,
                   LabelNeeds& needs,
                   WallTime wall_now,
                   SteadyTime now);
  void BeginMove(const InstanceName& name,
                 const ServiceName& from,
                 const ServiceName& to,
                 const std::map<InstanceName, InstanceFacts>& facts,
                 SteadyTime now);

  CapacitySettings settings;
  ProcessName holder;
  LeaderEpoch epoch;
  SteadyTime began_at;
  bool has_been_fenced = false;
  std::map<InstanceName, Move> moves;
  // The labels of every instance that was listed or has a worker; they do not
  // change when it moves.
  LabelNeeds::Labels labels;
  // The pool of an instance, and the time at which that was last known.
  struct KnownPool {
    ServiceName service;
    SteadyTime known_at{};
  };
  // The last known pools of instances, as listed or as moved since. Instances
  // in pools that are switched off have no worker and are known only from here.
  std::map<InstanceName, KnownPool> known_pools;
  EvacuatedInstances evacuated;
  std::map<ServiceName, SteadyTime> surplus_since;
};

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_CAPACITY_PLANNER_H_
