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

// Brings commands and questions from any process to whichever controller leads.
// It follows hints and tries the controllers in turn until the limit is over.
// All commands may be sent again after a lost answer: operators' carry a
// request id, claims the number of their try, and the rest change nothing the
// second time. Belongs to the core's event loop.
class LeaderLink {
 public:
  // `local` is this process's controller, or nothing.
  LeaderLink(const Settings& settings,
             Peers& peers,
             kj::Timer& timer,
             Controller* local);

  // Commits a command. When the limit is over, kNoLeader if it was certainly
  // not committed, else kTimeout.
  kj::Promise<fleet::Answer> Propose(fleet::Command command,
                                     Milliseconds limit);

  // Asks the leader one of the questions of Queries.
  kj::Promise<fleet::Answer> Read(std::string kind,
                                  std::string name,
                                  Milliseconds limit);

  // Passes renewals on; orders that are not confirmed when no leader was
  // reached.
  kj::Promise<std::vector<fleet::TargetOrders>> Announce(
      std::vector<fleet::Announcement> announcements,
      Milliseconds limit);

  // The leader as last heard; empty if unknown.
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
