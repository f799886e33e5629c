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

// A target's renewal: its description, its current load and the state of its
// tasks.
struct Announcement {
  TargetDescription target;
  // The number of requests or tasks that the target is processing.
  std::uint32_t in_flight = 0;
  // True if the target is about to leave and accepts no new work.
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

// A task that the worker is ordered to run.
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

// The answer to a target's renewal.
struct TargetOrders {
  // False while no controller vouches for the other fields; the target then
  // keeps its present orders until its leases run out.
  bool is_confirmed = false;
  // True if the target must accept no new work.
  bool is_draining = false;
  // How long the target may run the tasks listed here, counted from when it
  // sent the renewal.
  Milliseconds lease{0};
  // All tasks that the target may run. It starts the tasks that it is not
  // running yet and stops all others.
  std::vector<TaskOrder> tasks;
  // How long to wait before the next renewal.
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

// What a leader learns from renewals alone and no log contains: when each
// target last renewed, and until when each lease was renewed. A new leader has
// none of this and assumes the worse case for each guarantee: every target
// counts as having just renewed, since the leader can't have observed any
// silence yet, and every lease as just renewed by the previous leader.
class SoftState {
 public:
  // Discards everything and starts a term of leadership at `now`.
  void Reset(SteadyTime now);

  // Records a renewal that arrived at `now`.
  void RecordAnnouncement(const Announcement& announcement, SteadyTime now);

  // Returns when the last renewal of the instance arrived, but no earlier than
  // the start of this leader's term.
  SteadyTime LastAnnouncementTime(const InstanceName& name) const;

  // Returns true if the last renewal of the instance arrived at `since` or
  // later and reported no work in progress.
  bool IsIdleSince(const InstanceName& name, SteadyTime since) const;

  // Returns true if the last renewal of the instance reported that it is
  // leaving.
  bool IsLeaving(const InstanceName& name) const;

  // Returns when the worker last received orders that renewed its leases, but
  // no earlier than the start of this leader's term.
  SteadyTime LastLeaseRenewalTime(const InstanceName& worker) const;
  // Records that the worker's leases were renewed at `now`. The leader counts
  // the leases from then; the worker counts them from when it sent the renewal.
  void RecordLeaseRenewal(const InstanceName& worker, SteadyTime now);

  // The last instance that the planner has checked in its scan of the fleet.
  const InstanceName& scan_position() const { return this->last_scanned; }
  void SetScanPosition(const InstanceName& name) { this->last_scanned = name; }

  // Records when this leader first saw the instance draining, unless it has
  // done so before, and returns that time.
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
  std::map<InstanceName, LastAnnouncement> last_announcements;
  std::map<InstanceName, SteadyTime> lease_renewals;
  std::map<InstanceName, SteadyTime> drain_starts;
};

// Returns the commands that a renewal requires; empty if it contains nothing
// new.
std::vector<struct RecordTargets> CommandsForTarget(
    const FleetState& state,
    const Announcement& announcement);

// Returns the task reports of a renewal that would change the state.
std::vector<TaskReport> NewTaskReports(const FleetState& state,
                                       const Announcement& announcement);

// Returns the orders for a target according to the committed state.
TargetOrders OrdersFor(const FleetState& state, const InstanceName& name);

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_SOFT_STATE_H_
