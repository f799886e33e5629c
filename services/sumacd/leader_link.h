// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_LEADER_LINK_H_
#define SERVICES_SUMACD_LEADER_LINK_H_

#include <kj/async.h>
#include <kj/timer.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "libraries/fleet/commands.h"
#include "libraries/fleet/soft_state.h"
#include "services/sumacd/controller.h"
#include "services/sumacd/leader_search.h"
#include "services/sumacd/peers.h"

namespace sumac::daemon {

// Sends commands and queries from any process to the controller that leads.
// Follows hints to the leader and tries the controllers in turn until the time
// limit is over. All commands may be sent again after a lost answer: commands
// of operators carry a request id, claims carry their attempt number, and all
// others are idempotent. Runs on the core's event loop.
class LeaderLink {
 public:
  // `local` is this process's controller, or null if it has none.
  LeaderLink(const Settings& settings,
             Peers& peers,
             kj::Timer& timer,
             Controller* local);

  // Commits a command. After the time limit the answer is kNoLeader if the
  // command was certainly not committed, kTimeout otherwise.
  kj::Promise<fleet::Answer> Propose(fleet::Command command,
                                     Milliseconds limit);

  // Sends the leader one of the queries of queries.h.
  kj::Promise<fleet::Answer> Read(std::string kind,
                                  std::string name,
                                  Milliseconds limit);

  // Forwards announcements of targets to the leader and returns its orders;
  // unconfirmed orders if no leader was reached.
  kj::Promise<std::vector<fleet::TargetOrders>> Announce(
      std::vector<fleet::Announcement> announcements,
      Milliseconds limit);

  // Returns the last known leader, or an empty name if it is unknown.
  const ProcessName& leader() const { return this->search.leader(); }

 private:
  kj::Promise<fleet::Answer> ProposeAt(const ProcessName& process,
                                       const fleet::Command& command,
                                       Milliseconds limit);
  kj::Promise<fleet::Answer> ReadAt(const ProcessName& process,
                                    const std::string& kind,
                                    const std::string& name,
                                    Milliseconds limit);
  kj::Promise<fleet::Answer> AnnounceAt(
      const ProcessName& process,
      const std::vector<fleet::Announcement>& announcements,
      Milliseconds limit);

  const Settings& settings;
  Peers& peers;
  Controller* local;
  LeaderSearch search;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_LEADER_LINK_H_
