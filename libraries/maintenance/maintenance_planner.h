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
#include "libraries/maintenance/instance_listing.h"
#include "libraries/maintenance/instance_messages.h"

namespace sumac::maintenance {

struct MaintenanceSettings {
  // A new leader gives no orders about instances for this long, so that its
  // orders never take turns with those of the one before.
  Milliseconds takeover_pause{3'000};
  // How long an instance is down for its maintenance.
  Milliseconds maintenance_time{2'000};
  // What it takes beside that to empty an instance and see it back.
  Milliseconds overhead{2'500};
  // Runs that did not end by themselves within this are ended with their
  // instance.
  Milliseconds max_drain_time{6'000};
  // An order that was not answered is carried out within this, if at all.
  Milliseconds max_order_delay{12'000};
  // Before an order that was not answered, or not taken, is given again.
  Milliseconds retry{400};
};

// What a leader knows of one instance.
struct InstanceFacts {
  // The worker there now.
  WorkerId worker;
  // It has answered no call yet. Its announcement may be a late one, of a life
  // before the one that was known last.
  bool is_only_announced = false;
  ServiceName service;
  // Long-running tasks whose disruption budget counts, and other runs.
  std::size_t budgeted_runs = 0;
  std::size_t other_runs = 0;
  // The share of its cores that is taken, in thousandths.
  std::int64_t load_permille = 0;
  std::int64_t millicores = 0;
  // What its worker says that tasks may require.
  std::vector<std::string> labels;
  // It will leave the fleet soon.
  bool is_leaving = false;
  // It is on its way to another pool.
  bool is_moving = false;
};

// Why an instance of a wave counts as done, for the log.
struct InstanceCompletion {
  WaveId wave;
  InstanceName instance;
  std::string reason;
};

struct MaintenanceOutput {
  // Nothing may be started on these any more.
  std::set<InstanceName> cordoned;
  std::vector<jobs::Command> commands;
  std::vector<InstanceOrder> orders;
  std::vector<InstanceCompletion> completions;
};

// Decides, for the leader, which instances of a maintenance wave go next: it
// spreads a wave over its time, takes instances that carry little first,
// empties them, has the step on record, and then gives the order. Pure.
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

  // Takes in what became of an order, and gives what is to be committed.
  std::vector<jobs::Command> HandleOrderResult(const jobs::JobsState& state,
                                               const InstanceOrder& order,
                                               InstanceResult result,
                                               SteadyTime now);

  // True if a wave is under way, so that a fresh list is of use.
  static bool NeedsListing(const jobs::JobsState& state);

  // True once an order was refused for a higher fencing token: this leader
  // gives no more.
  bool is_fenced() const { return this->has_been_fenced; }

 private:
  struct Cordon {
    SteadyTime since{};
  };
  struct OpenOrder {
    bool is_under_way = false;
    SteadyTime due{};
    // An order was given whose answer is not known, by this leader or the one
    // before; it may be carried out until some time after this.
    std::optional<SteadyTime> unanswered_at;
    // When the platform was last known to have taken an order.
    SteadyTime begun_at{};
  };

  // What is known of instances in one look.
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
  void AdvanceOrdered(const jobs::Wave& wave,
                      const InstanceName& name,
                      const std::map<InstanceName, InstanceFacts>& facts,
                      SteadyTime now,
                      MaintenanceOutput& output);
  // Why an instance whose maintenance has begun counts as done; nothing while
  // it doesn't.
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
  std::map<InstanceName, OpenOrder> open_orders;
  // Instances whose order this leader is the first to give.
  std::set<InstanceName> own_orders;
  // When this leader first looked at each wave that is under way.
  std::map<WaveId, SteadyTime> first_passes;
};

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_MAINTENANCE_PLANNER_H_
