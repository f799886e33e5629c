// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_CORE_LINK_H_
#define SERVICES_SUMACD_CORE_LINK_H_

#include <kj/async.h>

#include <utility>

#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "libraries/fleet/commands.h"
#include "libraries/fleet/soft_state.h"
#include "services/sumacd/leader_link.h"

namespace sumac::daemon {

// Lets the threads of the HTTP listeners call into the core's event loop and
// wait for the answer.
class CoreLink {
 public:
  CoreLink(const kj::Executor& executor, LeaderLink& leader)
      : executor(executor.addRef()), leader(leader) {}

  // Commits a command. Blocks until the answer arrives, at most about `limit`.
  fleet::Answer Propose(fleet::Command command, Milliseconds limit) {
    return this->executor->executeSync([this, &command, limit] {
      return this->leader.Propose(std::move(command), limit);
    });
  }

  // Forwards one announcement and returns the orders for its target; blocks.
  fleet::TargetOrders Announce(fleet::Announcement announcement,
                               Milliseconds limit) {
    return this->executor->executeSync([this, &announcement, limit] {
      std::vector<fleet::Announcement> one;
      one.push_back(std::move(announcement));
      return this->leader.Announce(std::move(one), limit)
          .then([](std::vector<fleet::TargetOrders>&& orders) {
            return orders.empty() ? fleet::TargetOrders{}
                                  : std::move(orders.front());
          });
    });
  }

 private:
  kj::Own<const kj::Executor> executor;
  LeaderLink& leader;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_CORE_LINK_H_
