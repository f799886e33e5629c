// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_MAINTENANCE_PLANNER_H_
#define LIBRARIES_MAINTENANCE_MAINTENANCE_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/commands.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/resources.h"
#include "libraries/maintenance/cordon_pauses.h"
#include "libraries/maintenance/instance_listing.h"
#include "libraries/maintenance/instance_messages.h"

namespace sumac::maintenance {

struct MaintenanceSettings {
  // The time for which a new leader gives no orders about instances, so that
  // its orders never interleave with those of the previous leader.
  Milliseconds takeover_pause{3'000};
  // The time for which an instance is down for its maintenance.
  Milliseconds maintenance_time{2'000};
  // The additional time that it takes to drain an instance and to detect that
  // it is back.
  Milliseconds overhead{2'500};
  // The maximum time to wait for the runs on an instance to end by themselves.
  // Runs that are left are ended with their instance. If a run may not be
  // ended, and none has left for this time, the cordon is given back.
  Milliseconds max_drain_time{6'000};
  // The maximum time for which an unanswered order may still be carried out.
  Milliseconds max_order_delay{12'000};
  // The time after which an order that was not answered, or not accepted, is
  // given again.
  Milliseconds retry{400};
};

// The leader's data about one instance.
struct InstanceFacts {
  // The worker that runs on the instance now.
  WorkerId worker;
  // True if the worker has answered no call yet. Its announcement may be a late
  // one, from an incarnation before the last known one.
  bool is_only_announced = false;
  ServiceName service;
  // The number of runs of long-running tasks to which a disruption budget
  // applies, and of other runs.
  std::size_t budgeted_runs = 0;
  std::size_t other_runs = 0;
  // The share of its cores that is in use, in thousandths.
  std::int64_t load_permille = 0;
  jobs::Resources capacity;
  // The labels that its worker announced and that tasks may require.
  std::vector<std::string> labels;
  // True if the instance will leave the fleet soon.
  bool is_leaving = false;
  // True if the instance is being moved to another pool.
  bool is_moving = false;
  // True if operators have evacuated the instance's data centre, so that
  // nothing is started there.
  bool is_evacuated = false;
  // True if a task waits that has no other place. Planned work that makes no
  // progress gives way to it, unless a start there may be lost.
  bool is_needed = false;

  std::size_t runs() const { return this->budgeted_runs + this->other_runs; }
};

// The reason for which the maintenance of an instance counts as over, for the
// log.
struct InstanceCompletion {
  WaveId wave;
  InstanceName instance;
  std::string reason;
};

// A cordon that was given back before the instance was maintained, for the log.
struct CordonReturn {
  WaveId wave;
  InstanceName instance;
  std::string reason;
};

struct MaintenanceOutput {
  // Instances on which nothing may be started any more.
  std::set<InstanceName> cordoned;
  std::vector<jobs::Command> commands;
  std::vector<InstanceOrder> orders;
  std::vector<InstanceCompletion> completions;
  std::vector<CordonReturn> cordon_returns;
};

// Decides, for the leader, which instances of a maintenance wave are maintained
// next. It spreads a wave over its time and takes the instances with the least
// load first. It drains an instance, has the step committed, and then gives the
// order.
//
// A cordon is given back, and taken again after a pause, if an instance can't
// be drained, or if its order is refused while a task needs the instance that
// has no other place. It is kept for as long as an order may still be carried
// out, since whatever starts there may then be lost. Pure.
class MaintenancePlanner {
 public:
  MaintenancePlanner(MaintenanceSettings settings,
                     ProcessName holder,
                     LeaderEpoch epoch,
                     SteadyTime now);

  MaintenanceOutput Plan(const jobs::JobsState& state,
                         const std::map<InstanceName, InstanceFacts>& facts,
                         const InstanceListing& listing,
                         WallTime wall_now,
                         SteadyTime now);

  // Handles the result of an order, and returns the commands to be committed.
  std::vector<jobs::Command> HandleOrderResult(const jobs::JobsState& state,
                                               const InstanceOrder& order,
                                               InstanceResult result,
                                               SteadyTime now);

  // True if a wave is under way, so that an up-to-date list of instances is
  // needed.
  static bool NeedsListing(const jobs::JobsState& state);

  // True once an order was refused because a higher fencing token had been
  // used. This leader gives no more orders then.
  bool is_fenced() const { return this->has_been_fenced; }

 private:
  struct Cordon {
    SteadyTime since{};
    // The smallest number of runs that was seen there, and since when.
    std::size_t fewest_runs = 0;
    SteadyTime progressed_at{};
  };
  struct OpenOrder {
    bool is_under_way = false;
    SteadyTime due{};
    // The time of an order, by this leader or the previous one, whose answer is
    // unknown. The order may still be carried out until `max_order_delay` after
    // this time.
    std::optional<SteadyTime> unanswered_at;
    // The number of orders without an answer since the last definite one.
    int unanswered = 0;
    // True if the last answer was a refusal for the moment.
    bool is_refused = false;
    // The time at which the platform last accepted an order.
    SteadyTime begun_at{};
  };

  // The data about instances in one planning pass.
  struct PlanInputs {
    const std::map<InstanceName, InstanceFacts>& facts;
    const InstanceListing& listing;
  };

  void PlanWave(const jobs::Wave& wave,
                const PlanInputs& inputs,
                WallTime wall_now,
                SteadyTime now,
                MaintenanceOutput& output);
  bool IsReady(const InstanceName& name,
               const std::map<InstanceName, InstanceFacts>& facts,
               SteadyTime now) const;
  void AddCordon(const InstanceName& name,
                 const std::map<InstanceName, InstanceFacts>& facts,
                 SteadyTime now);
  void GiveBack(const jobs::Wave& wave,
                const InstanceName& name,
                std::string reason,
                SteadyTime now,
                MaintenanceOutput& output);
  // Return why the cordon of an instance that waits for its order, or whose
  // order is recorded, is to be given back, or nothing if it is kept.
  std::optional<std::string> FindReturnReason(
      const InstanceName& name,
      const std::map<InstanceName, InstanceFacts>& facts,
      SteadyTime now);
  std::optional<std::string> FindOrderReturnReason(
      const InstanceName& name,
      const std::map<InstanceName, InstanceFacts>& facts,
      SteadyTime now) const;
  // Returns true while an order about the instance, also one by the previous
  // leader, may be carried out without an answer.
  bool MayOrderBeOpen(const InstanceName& name, SteadyTime now) const;
  void AdvanceOrdered(const jobs::Wave& wave,
                      const InstanceName& name,
                      const std::map<InstanceName, InstanceFacts>& facts,
                      SteadyTime now,
                      MaintenanceOutput& output);
  // Returns the reason for which a maintenance that has begun counts as over,
  // or nothing if it is not over.
  std::optional<std::string> FindCompletionReason(
      const InstanceName& name,
      const jobs::InstanceMaintenance& maintenance,
      const PlanInputs& inputs,
      SteadyTime now) const;
  static void RecordCompletion(const jobs::Wave& wave,
                               const InstanceName& name,
                               std::string reason,
                               MaintenanceOutput& output);
  std::uint32_t WantedInProgress(const jobs::Wave& wave,
                                 WallTime wall_now) const;

  MaintenanceSettings settings;
  ProcessName holder;
  LeaderEpoch epoch;
  SteadyTime began_at;
  bool has_been_fenced = false;
  std::map<InstanceName, Cordon> cordons;
  CordonPauses pauses;
  // Instances whose cordon was given back and whose record doesn't show that
  // yet.
  std::set<InstanceName> given_back;
  std::map<InstanceName, OpenOrder> open_orders;
  // Instances for which this leader is the first to give the order.
  std::set<InstanceName> own_orders;
  // The time at which this leader first planned each wave that is under way.
  std::map<WaveId, SteadyTime> first_passes;
};

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_MAINTENANCE_PLANNER_H_
