// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_JOIN_REQUESTER_H_
#define SERVICES_SUMACD_JOIN_REQUESTER_H_

#include <kj/async.h>
#include <kj/timer.h>

#include <cstddef>
#include <functional>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "libraries/replication/types.h"

namespace sumac::daemon {

// Asks controllers in turn to take a replica into the group until the leader
// has committed that: evidence of a majority without this process.
class JoinRequester {
 public:
  // Asks one controller, which may name the leader as the message of
  // kNotLeader.
  using AskToJoin = std::function<kj::Promise<fleet::Answer>(
      const ProcessName& controller,
      const replication::NodeId& node)>;
  // Returns the controllers that are known now.
  using KnownControllers = std::function<std::vector<ProcessName>()>;

  JoinRequester(kj::Timer& timer,
                ProcessName self,
                KnownControllers known_controllers,
                AskToJoin ask);

  // Returns once the members with `node` are committed.
  kj::Promise<void> Join(const replication::NodeId& node);

 private:
  // Returns the controller to ask next; empty if no other one is known.
  ProcessName NextController();

  kj::Timer& timer;
  ProcessName self;
  KnownControllers known_controllers;
  AskToJoin ask;
  ProcessName leader_hint;
  std::size_t next = 0;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_JOIN_REQUESTER_H_
