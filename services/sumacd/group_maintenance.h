// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_GROUP_MAINTENANCE_H_
#define SERVICES_SUMACD_GROUP_MAINTENANCE_H_

#include <kj/async.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "libraries/replication/membership_keeper.h"
#include "libraries/replication/membership_watch.h"
#include "libraries/replication/replica.h"
#include "services/sumacd/member_data_centres.h"
#include "services/sumacd/peers.h"

namespace sumac::daemon {

// The size and the spread of the group that a controller maintains.
struct GroupMaintenanceSettings {
  // The number of voters to maintain: spare learners are promoted, and voters
  // that are permanently lost are replaced, up to this number. With 0 both are
  // left to operators, and only processes that the settings list are brought
  // back automatically.
  std::size_t wanted_voters = 0;
  // This controller's data centre.
  DataCentre data_centre;
  // The number of data centres that may be lost at the same time; above 0 the
  // voters are spread over them.
  std::size_t tolerated_data_centres = 0;
  // The names of all data centres; empty if they are not known.
  std::vector<DataCentre> data_centres;
};

// Maintains the membership of the group: lets a replica without a group join
// it, and decides for a leading one which members come next. Runs on the core's
// event loop.
class GroupMaintenance {
 public:
  // `process` is the name of this controller.
  GroupMaintenance(const GroupMaintenanceSettings& settings,
                   ProcessName process,
                   Peers& peers);

  // Sends the requests that are due: to join the group, and where the other
  // members run. The calls end with `tasks`.
  void Tick(const replication::Replica& replica,
            SteadyTime now,
            kj::TaskSet& tasks);

  // Logs what has changed among the members of the group that `replica` leads.
  // Returns the members to propose, or nothing if none have to change.
  std::optional<replication::Membership> Check(
      const replication::Replica& replica);

  // Returns true if a member of the group that `replica` leads holds what was
  // committed at the last check.
  bool HasCaughtUp(const replication::Replica& replica,
                   const replication::NodeId& member) const;

 private:
  void LogMembers(
      const replication::Replica& replica,
      const std::map<replication::NodeId, replication::MemberHealth>& health);
  void RequestToJoin(const replication::Replica& replica,
                     SteadyTime now,
                     kj::TaskSet& tasks);
  void AskToJoin(const ProcessName& asked,
                 const replication::NodeId& node,
                 kj::TaskSet& tasks);
  void HandleJoinAnswer(const ProcessName& asked, const fleet::Answer& answer);
  void LearnDataCentres(const replication::Membership& members,
                        SteadyTime now,
                        kj::TaskSet& tasks);

  GroupMaintenanceSettings settings;
  ProcessName process;
  Peers& peers;
  MemberDataCentres data_centres;
  replication::MembershipKeeper keeper;
  replication::MembershipWatch watch;
  SteadyTime last_join_request_at{};
  // The leader that a response to the last join requests named, or that could
  // not accept one at that moment; empty if there was none.
  ProcessName join_hint;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_GROUP_MAINTENANCE_H_
