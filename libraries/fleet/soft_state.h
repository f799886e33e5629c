// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_SOFT_STATE_H_
#define LIBRARIES_FLEET_SOFT_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/describe.h"
#include "libraries/fleet/fleet_state.h"
#include "libraries/fleet/instance.h"
#include "libraries/fleet/job.h"

namespace sumac::fleet {

// One target's renewal: what it is, what it does now and what became of its
// tasks.
struct Announcement {
  TargetDescription target;
  // Requests or tasks that it has in hand.
  std::uint32_t in_flight = 0;
  // True if it is about to go and takes nothing new.
  bool is_leaving = false;
  std::vector<TaskReport> tasks;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("target", self.target);
    visitor.Field("in_flight", self.in_flight);
    visitor.Field("is_leaving", self.is_leaving);
    visitor.Field("tasks", self.tasks);
  }
};

// A task that a worker is to run.
struct TaskOrder {
  JobId job;
  FencingToken token;
  std::string command;
  Milliseconds run_time{0};

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("job", self.job);
    visitor.Field("token", self.token);
    visitor.Field("command", self.command);
    visitor.Field("run_ms", self.run_time);
  }
};

// The answer to a renewal.
struct TargetOrders {
  // False while no controller vouches for the rest; the target then keeps to
  // what it has until its leases run out.
  bool is_confirmed = false;
  // True if the target is to take no new work.
  bool is_draining = false;
  // How long, from when it sent the renewal, the target may run the tasks named
  // here.
  Milliseconds lease{0};
  // All tasks that it may run; it starts those it does not have and stops any
  // other.
  std::vector<TaskOrder> tasks;
  // When to renew next.
  Milliseconds renew_after{1'000};

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("is_confirmed", self.is_confirmed);
    visitor.Field("is_draining", self.is_draining);
    visitor.Field("lease_ms", self.lease);
    visitor.Field("tasks", self.tasks);
    visitor.Field("renew_after_ms", self.renew_after);
  }
};

// What a leader knows by renewals alone and no log holds: who was heard when,
// and until when which lease was renewed. A new leader knows none of it and
// assumes the worse case of each promise: every target counts as just heard,
// since silence can't have been seen yet, and every lease as just renewed by
// the leader before.
class SoftState {
 public:
  // Starts a term of leadership at `now`.
  void Reset(SteadyTime now);

  // Takes in a renewal. Leases are counted from here: the target counts from
  // when it sent.
  void RecordAnnouncement(const Announcement& announcement, SteadyTime now);

  // When the instance was last heard, at the earliest when this leader began.
  SteadyTime LastAnnouncementTime(const InstanceName& name) const;

  // True if the instance said, after `since`, that it has nothing in hand.
  bool IsIdleSince(const InstanceName& name, SteadyTime since) const;

  // True if the instance says that it is leaving.
  bool IsLeaving(const InstanceName& name) const;

  // When the worker last got orders that renewed its leases, at the earliest
  // when this leader began.
  SteadyTime LastLeaseRenewalTime(const InstanceName& worker) const;
  void RecordLeaseRenewal(const InstanceName& worker, SteadyTime now);

  // How far the planner has come on its way round the fleet.
  const InstanceName& scan_position() const { return this->last_scanned; }
  void SetScanPosition(const InstanceName& name) { this->last_scanned = name; }

  // Notes when this leader first saw an instance draining, and tells that time.
  SteadyTime GetOrRecordDrainStart(const InstanceName& name, SteadyTime now);
  void RemoveDrainStart(const InstanceName& name);

 private:
  struct LastAnnouncement {
    SteadyTime at;
    std::uint32_t in_flight = 0;
    bool is_leaving = false;
  };

  SteadyTime started_at{};
  InstanceName last_scanned;
  std::map<InstanceName, LastAnnouncement> heard;
  std::map<InstanceName, SteadyTime> renewed;
  std::map<InstanceName, SteadyTime> drain_starts;
};

// The commands that a renewal makes necessary; empty for one that tells nothing
// new.
std::vector<struct RecordTargets> CommandsForTarget(
    const FleetState& state,
    const Announcement& announcement);

// The reports in a renewal that would change something.
std::vector<TaskReport> NewTaskReports(const FleetState& state,
                                       const Announcement& announcement);

// What a target is to do now, from the committed state.
TargetOrders OrdersFor(const FleetState& state, const InstanceName& name);

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_SOFT_STATE_H_
