// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_CAPACITY_PLANNER_H_
#define LIBRARIES_MAINTENANCE_CAPACITY_PLANNER_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/commands.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/service_demand.h"
#include "libraries/maintenance/evacuated_instances.h"
#include "libraries/maintenance/instance_division.h"
#include "libraries/maintenance/instance_messages.h"
#include "libraries/maintenance/label_needs.h"
#include "libraries/maintenance/maintenance_planner.h"
#include "libraries/maintenance/move_table.h"
#include "libraries/maintenance/need_history.h"

namespace sumac::maintenance {

struct CapacitySettings {
  // False leaves every instance in its pool, as a baseline for comparisons.
  bool is_on = true;
  // The time for which a new leader gives no orders about instances that the
  // previous leader was about to move, so that their orders never interleave.
  Milliseconds takeover_pause{3'000};
  // The maximum reserve of a pool over its current demand for short tasks, in
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
  // How moves are carried out.
  MoveSettings moves;
  // The minimum number of instances of a pool, whatever its demand.
  std::int64_t min_instances_per_pool = 2;
};

// What a planning pass has found and decided about one pool, for logs and
// metrics.
struct PoolReport {
  // The number of instances in the pool or being moved to it, and of those that
  // could be moved away.
  std::int64_t have = 0;
  std::int64_t movable = 0;
  // The mean share of the instances' processor time that is in use, in
  // thousandths.
  std::int64_t load_permille = 0;
  PoolNeed need;
  PoolNeed part;
  // Moves to the pool that were wished for in this pass, those of them that
  // have begun, and all that are under way.
  std::int64_t wanted = 0;
  std::int64_t begun = 0;
  std::int64_t under_way = 0;
};

// Decides, for the leader, which instances move to another pool. The demand
// shifts between services, so instances follow it from pools that have too
// many, and from and to the pools whose instances are switched off. If there
// are too few for all, they are divided by what the work is worth. A pool whose
// tasks require a label is given instances that have the label, and none
// without it for those tasks. Instances that run long-running tasks stay.
//
// A wish to move an instance lives for one planning pass, and ends with the
// demand for it. The instance is cordoned only once its move begins, which is
// as soon as the platform can be expected to carry it out.
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

  // Returns what the last planning pass has found and decided.
  const std::map<ServiceName, PoolReport>& reports() const {
    return this->last_reports;
  }

  // Returns how many times its present capacity a pool will have once it has
  // the instances that are moving to it, and those that the last planning pass
  // gave it; 1 if it does not use what it has.
  double ExpectedGrowth(const ServiceName& service) const;

  // Returns the instances that are being moved to another pool.
  std::set<InstanceName> MovingInstances() const;

 private:
  // The data about one pool in one planning pass.
  struct Pool {
    // The resources of the pool's largest instance.
    jobs::Resources instance;
    bool is_headroom = false;
    // The number of instances in the pool or being moved to it.
    std::int64_t have = 0;
    // The number of instances that the pool needs, and those of them that it
    // gets by the division between the pools.
    PoolNeed need;
    PoolNeed part;
    // The number of instances in the pool, and the sum of their loads in
    // thousandths of an instance.
    std::int64_t present = 0;
    std::int64_t load_permille = 0;
    // The highest need for work in time within the surplus time, or all that
    // the pool has if that is not known.
    std::int64_t recent_need = 0;
    // True if the pool has had more than it needs for the surplus time.
    bool gives_up = false;
    // Instances that could be moved away, with the number of their runs; the
    // one with the fewest runs comes first.
    std::vector<std::pair<std::int64_t, InstanceName>> movable;

    // Returns the number of instances that the pool gives up by itself.
    std::int64_t CountGivenUp() const {
      return this->gives_up ? this->have - this->need[WorkClass::kWorthless]
                            : 0;
    }
  };
  using Pools = std::map<ServiceName, Pool>;
  // A move that would be made if the platform carried it out at once.
  struct Wish {
    InstanceName instance;
    ServiceName to;
    std::int64_t runs = 0;
  };

  // Updates the known labels of the instances that have a worker.
  void UpdateLabels(const std::map<InstanceName, InstanceFacts>& facts);
  // Returns the instances that each pool has, and those that it could give up.
  Pools CountPools(const jobs::JobsState& state,
                   const std::map<InstanceName, InstanceFacts>& facts,
                   const std::set<InstanceName>& busy,
                   LabelNeeds& needs,
                   WallTime wall_now,
                   SteadyTime now) const;
  // Sets how many instances, and how many with each label, each pool needs.
  void CountNeeds(const std::map<ServiceName, jobs::ServiceDemand>& demand,
                  Pools& pools,
                  LabelNeeds& needs,
                  SteadyTime now);
  // Decides which pools have had too many instances for a while.
  void FindSurplus(const jobs::JobsState& state,
                   Pools& pools,
                   WallTime wall_now,
                   SteadyTime now);
  jobs::ServiceDemand ExcludeUnservableDemand(const jobs::ServiceDemand& demand,
                                              const Pool& pool,
                                              const LabelNeeds& needs) const;
  std::int64_t LabelledInstancesFor(const Pool& pool,
                                    const jobs::LabelDemand& labelled) const;
  void GrowPoolsByLabel(Pools& pools, LabelNeeds& needs);
  void MoveLabelled(Pools& pools,
                    const ServiceName& from,
                    const ServiceName& to,
                    const std::string& label,
                    LabelNeeds& needs);
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
  bool IsTakingOver(SteadyTime now) const {
    return now - this->began_at <= this->settings.takeover_pause;
  }
  // True if an order of an earlier leader may still be under way while this one
  // is taking over.
  bool MayBeUnderWay(const jobs::MoveRecord& record, WallTime wall_now) const;
  void CordonEarlierMoves(const jobs::JobsState& state,
                          const std::map<InstanceName, InstanceFacts>& facts,
                          WallTime wall_now,
                          SteadyTime now,
                          CapacityOutput& output) const;
  void GrowPools(Pools& pools, LabelNeeds& needs);
  void GrowPoolsForLateWork(Pools& pools, LabelNeeds& needs);
  // Moves up to `most` instances from a pool to pool `to`, those with the
  // fewest runs first, and returns how many.
  std::int64_t Take(Pools& pools,
                    const ServiceName& from,
                    const ServiceName& to,
                    std::int64_t most,
                    LabelNeeds& needs);
  void ShrinkPools(Pools& pools, LabelNeeds& needs);
  void BeginWishedMoves(const std::map<InstanceName, InstanceFacts>& facts,
                        SteadyTime now);
  // Fills the reports of the pools, as they are before any move of this pass.
  void ReportPools(const Pools& pools);

  CapacitySettings settings;
  LeaderEpoch epoch;
  SteadyTime began_at;
  MoveTable moves;
  // The wishes of the current planning pass, the most important first.
  std::vector<Wish> wishes;
  std::map<ServiceName, PoolReport> last_reports;
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
  std::map<ServiceName, NeedHistory> histories;
};

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_CAPACITY_PLANNER_H_
