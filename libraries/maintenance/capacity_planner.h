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
#include "libraries/maintenance/instance_messages.h"
#include "libraries/maintenance/label_needs.h"
#include "libraries/maintenance/maintenance_planner.h"

namespace sumac::maintenance {

struct CapacitySettings {
  // False leaves every instance where it is; the baseline for comparisons.
  bool is_on = true;
  // A new leader leaves instances alone that the one before was about to move
  // within this time, so that their orders never take turns.
  Milliseconds takeover_pause{3'000};
  // Room that a pool should have beyond what it needs now, in thousandths.
  std::int64_t reserve_permille = 150;
  // A pool gives instances up only after it had too many for this long: about
  // what two moves cost over what an idle instance costs a second.
  Milliseconds surplus_time{2'500};
  // How long the platform takes to move an instance; it takes no further order
  // about it meanwhile.
  Milliseconds move_time{1'500};
  // An instance that did not appear in its new pool by then is looked for
  // where the platform lists it.
  Milliseconds max_move_duration{4'000};
  // Before an order that was not answered is given again.
  Milliseconds retry{400};
  // Instances that a pool keeps whatever its demand.
  std::int64_t min_instances_per_pool = 2;
};

struct CapacityOutput {
  std::set<InstanceName> cordoned;
  std::vector<jobs::Command> commands;
  std::vector<InstanceOrder> orders;
};

// Decides, for the leader, which instances change their pool: demand comes in
// turns, so instances follow it from pools that have too many, and from and to
// the pools whose instances are off. A pool whose tasks require a label is
// given instances that have it, and none without it for those tasks. Instances
// that carry long-running tasks stay. Pure.
class CapacityPlanner {
 public:
  CapacityPlanner(CapacitySettings settings,
                  ProcessName holder,
                  LeaderEpoch epoch,
                  SteadyTime now);

  // `busy` are instances that a maintenance wave holds.
  CapacityOutput Plan(const jobs::JobsState& state,
                      const std::map<InstanceName, InstanceFacts>& facts,
                      const std::map<ServiceName, jobs::ServiceDemand>& demand,
                      const std::set<InstanceName>& busy,
                      WallTime wall_now,
                      SteadyTime now);

  // Takes in that there is a new list of the platform's instances.
  void UpdateListing(const InstanceListing& listing);

  // Takes in what became of an order, and gives what is to be committed.
  std::vector<jobs::Command> HandleOrderResult(const InstanceOrder& order,
                                               InstanceResult result,
                                               SteadyTime now);

  // Instances that are on their way to another pool.
  std::set<InstanceName> MovingInstances() const;

 private:
  // A move from its choice until the instance is seen in its new pool.
  struct Move {
    ServiceName from;
    ServiceName to;
    // The worker that ends with the move; empty where none ran.
    WorkerId worker;
    SteadyTime since{};
    bool is_under_way = false;
    bool is_accepted = false;
    SteadyTime accepted_at{};
    SteadyTime due{};
    // When to ask for its record (again).
    SteadyTime record_due{};
    // What was on record of an earlier move of the instance when this one was
    // first followed.
    std::optional<jobs::MoveRecord> earlier_record;
    bool has_checked_record = false;
  };
  // What is known of one pool in one look.
  struct Pool {
    std::int64_t instance_millicores = 0;
    std::int64_t have = 0;
    // What it needs, and what it would use with work that earns nothing.
    std::int64_t want = 0;
    std::int64_t want_with_late = 0;
    // Instances that could go, the emptiest first.
    std::vector<std::pair<std::int64_t, InstanceName>> movable;
  };

  bool HasRecord(const jobs::JobsState& state, const InstanceName& name) const;
  bool IsRecordOld(const jobs::JobsState& state,
                   const InstanceName& name,
                   Move& move) const;
  void AdvanceMoves(const jobs::JobsState& state,
                    const std::map<InstanceName, InstanceFacts>& facts,
                    SteadyTime now,
                    CapacityOutput& output);
  void UpdateLabels(const std::map<InstanceName, InstanceFacts>& facts);
  std::map<ServiceName, Pool> CountPools(
      const jobs::JobsState& state,
      const std::map<InstanceName, InstanceFacts>& facts,
      const std::set<InstanceName>& busy,
      LabelNeeds& needs,
      WallTime wall_now,
      SteadyTime now) const;
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
  // Of every instance that was listed or has a worker; they stay with it.
  LabelNeeds::Labels labels;
  // The pool of an instance, and when that was last known to be so.
  struct KnownPool {
    ServiceName service;
    SteadyTime known_at{};
  };
  // Instances of pools that are off, as listed or moved there since.
  std::map<InstanceName, KnownPool> known_pools;
  std::map<ServiceName, SteadyTime> surplus_since;
};

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_CAPACITY_PLANNER_H_
