// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_MEMBERSHIP_KEEPER_H_
#define LIBRARIES_REPLICATION_MEMBERSHIP_KEEPER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/replication/catch_up_tracker.h"
#include "libraries/replication/membership_plan.h"
#include "libraries/replication/replica.h"
#include "libraries/replication/types.h"

namespace sumac::replication {

// Returns the controllers that the process `self` asks to join the group: all
// that it knows, `known` and the voters, but itself. Any of them may be gone or
// know no leader, and a request to it costs its whole time limit.
std::set<ProcessName> ControllersToAsk(const ProcessName& self,
                                       const std::vector<ProcessName>& known,
                                       const Membership& members);

// Decides for a leading replica which members the group should have next, from
// how long each member has been silent and how much of the log it holds. Pure.
class MembershipKeeper {
 public:
  // Returns a member's data centre; empty if it is not known.
  using DataCentreOf = std::function<DataCentre(const NodeId& member)>;

  // See PlanNextMembers for the two numbers.
  MembershipKeeper(std::size_t wanted_voters,
                   std::size_t tolerated_data_centres,
                   DataCentreOf data_centre_of);

  // Returns the health of a member, as seen by the leading `replica`.
  MemberHealth HealthOf(const Replica& replica, const NodeId& member) const;

  // Returns the health of all members, as seen by the leading `replica`.
  std::map<NodeId, MemberHealth> HealthOfAll(const Replica& replica) const;

  // Returns true if `replica` has to ask the other controllers to join the
  // group: it belongs to none, or it has had no contact to a leader for so long
  // that it may have been removed while it was away.
  bool ShouldRequestToJoin(const Replica& replica, SteadyTime now) const;

  // Checks all members of a group that `replica` leads, whose `health` is that
  // of HealthOfAll now. Returns the members to propose, or nothing if none have
  // to change or the last change is not committed yet.
  std::optional<Membership> Check(const Replica& replica,
                                  const std::map<NodeId, MemberHealth>& health);

 private:
  std::size_t wanted_voters;
  std::size_t tolerated_data_centres;
  DataCentreOf data_centre_of;
  // Tracks, per term, the commit index that members must reach to count as
  // caught up.
  CatchUpTracker catch_up_tracker;
};

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_MEMBERSHIP_KEEPER_H_
