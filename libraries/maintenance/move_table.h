// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_MOVE_TABLE_H_
#define LIBRARIES_MAINTENANCE_MOVE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/commands.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/maintenance/cordon_pauses.h"
#include "libraries/maintenance/evacuated_instances.h"
#include "libraries/maintenance/instance_messages.h"
#include "libraries/maintenance/maintenance_planner.h"
#include "libraries/maintenance/order_window.h"

namespace sumac::maintenance {

struct CapacityOutput {
  std::set<InstanceName> cordoned;
  std::vector<jobs::Command> commands;
  std::vector<InstanceOrder> orders;
};

struct MoveSettings {
  // The time that the platform takes to move an instance. It accepts no further
  // order about the instance meanwhile.
  Milliseconds move_time{1'500};
  // The maximum time to wait for an instance to become empty, and after its
  // order was accepted to appear in its new pool. After that it counts as in
  // the pool in which the platform lists it.
  Milliseconds max_move_duration{4'000};
  // The time after which an order that was not answered is given again.
  Milliseconds retry{400};
};

// The moves of instances that a leader has begun, each from its choice until
// the instance is seen in its new pool. Has each move recorded before its first
// order, and gives the order once the instance is empty. The number of orders
// that wait for the platform is limited. Pure.
class MoveTable {
 public:
  // One move.
  struct Move {
    ServiceName to;
    // The worker that ends with the move; empty if none ran on the instance.
    WorkerId worker;
    SteadyTime since{};
    // True while runs on the instance delay its order.
    bool is_draining = false;
    bool is_under_way = false;
    SteadyTime ordered_at{};
    bool is_accepted = false;
    SteadyTime accepted_at{};
    // True if an order got no answer, so that it may still be carried out.
    bool is_unanswered = false;
    SteadyTime due{};
    // The time at which the move's record may be proposed, or proposed again.
    SteadyTime record_due{};
    // The record of an earlier move of the instance, as it was when the record
    // of this move was first checked.
    std::optional<jobs::MoveRecord> earlier_record;
    bool has_checked_record = false;
  };

  MoveTable(MoveSettings settings, ProcessName holder, LeaderEpoch epoch)
      : settings(settings), holder(std::move(holder)), epoch(epoch) {}

  bool contains(const InstanceName& name) const {
    return this->moves.contains(name);
  }
  const std::map<InstanceName, Move>& all() const { return this->moves; }
  // Returns true if a move of the instance was given up a moment ago because a
  // task needed the instance.
  bool IsPaused(const InstanceName& name, SteadyTime now) const {
    return this->pauses.IsPaused(name, now);
  }
  // True once the platform has refused an order because of a later leader's.
  bool has_been_fenced() const { return this->is_fenced; }

  // Returns how many moves of empty instances may begin now.
  std::int64_t CountFree() const;
  void Begin(const InstanceName& name, Move move);

  // Has each pending move recorded, gives its order, and removes the move once
  // the instance has arrived or the move is overdue. A move that hasn't been
  // ordered also gives way to a task that has no other place.
  void Advance(const jobs::JobsState& state,
               const std::map<InstanceName, InstanceFacts>& facts,
               const EvacuatedInstances& evacuated,
               SteadyTime now,
               CapacityOutput& output);

  // Handles the result of an order, and returns the commands to be committed.
  std::vector<jobs::Command> HandleOrderResult(const InstanceOrder& order,
                                               InstanceResult result,
                                               SteadyTime now);

 private:
  void GiveBackNeeded(const std::map<InstanceName, InstanceFacts>& facts,
                      SteadyTime now);
  bool HasArrived(const jobs::JobsState& state,
                  const std::map<InstanceName, InstanceFacts>& facts,
                  const InstanceName& name,
                  const Move& move,
                  SteadyTime now) const;
  bool IsOver(const jobs::JobsState& state,
              const std::map<InstanceName, InstanceFacts>& facts,
              const EvacuatedInstances& evacuated,
              const InstanceName& name,
              const Move& move,
              SteadyTime now) const;
  bool HasRecord(const jobs::JobsState& state, const InstanceName& name) const;
  bool IsRecordOld(const jobs::JobsState& state,
                   const InstanceName& name,
                   Move& move) const;

  MoveSettings settings;
  ProcessName holder;
  LeaderEpoch epoch;
  bool is_fenced = false;
  OrderWindow window;
  std::map<InstanceName, Move> moves;
  CordonPauses pauses;
};

// True if the instances of this service's pool are switched off.
bool IsHeadroom(const jobs::JobsState& state, const ServiceName& service);

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_MOVE_TABLE_H_
