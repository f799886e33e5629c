// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_LEADER_SEARCH_H_
#define SERVICES_SUMACD_LEADER_SEARCH_H_

#include <kj/async.h>
#include <kj/timer.h>

#include <functional>
#include <string>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "services/sumacd/peers.h"

namespace sumac::daemon {

// Finds the controller that leads: follows the hints of others and tries the
// controllers in turn until one answers for good or the limit is over. Belongs
// to the core's event loop.
class LeaderSearch {
 public:
  // One try at one controller, for up to the limit. The answer's code tells how
  // to go on: kNotLeader (the message may name the leader), kNoLeader,
  // kUnreachable and kTimeout lead to another try, all others are final.
  using Attempt = std::function<kj::Promise<fleet::Answer>(const ProcessName&,
                                                           Milliseconds)>;

  LeaderSearch(Peers& peers, kj::Timer& timer) : peers(peers), timer(timer) {}

  // The first final answer. When the limit is over the code is kNoLeader, or
  // kTimeout if some try may have been carried out without an answer.
  kj::Promise<fleet::Answer> Run(Attempt attempt, Milliseconds limit);

  // The leader as last heard; empty if unknown.
  const ProcessName& leader() const { return this->known_leader; }

 private:
  // What the tries so far have shown.
  struct Progress {
    SteadyTime deadline{};
    std::string last_error;
    // Some try got no answer, so it may have been carried out.
    bool may_have_run = false;
  };

  kj::Promise<fleet::Answer> TryUntilDeadline(Attempt attempt,
                                              Progress progress);
  void UpdateLeader(const ProcessName& process, const fleet::Answer& answer);
  ProcessName NextController();

  Peers& peers;
  kj::Timer& timer;
  SystemClock clock;
  ProcessName known_leader;
  std::size_t next_controller = 0;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_LEADER_SEARCH_H_
