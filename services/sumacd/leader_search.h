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

// Finds the controller that leads. Follows the hints of other controllers and
// tries all controllers in turn until one gives a final answer or the time
// limit is over. Runs on the core's event loop.
class LeaderSearch {
 public:
  // Sends the request to one controller with a time limit. Another attempt
  // follows the codes kNotLeader (the message may name the leader), kNoLeader,
  // kUnreachable and kTimeout; all other codes are final.
  using Attempt = std::function<kj::Promise<fleet::Answer>(const ProcessName&,
                                                           Milliseconds)>;

  LeaderSearch(Peers& peers, kj::Timer& timer) : peers(peers), timer(timer) {}

  // Returns the first final answer. After the time limit the code is kNoLeader,
  // or kTimeout if an attempt without an answer may have been carried out.
  kj::Promise<fleet::Answer> Run(Attempt attempt, Milliseconds limit);

  // Returns the last known leader, or an empty name if it is unknown.
  const ProcessName& leader() const { return this->known_leader; }

 private:
  // The results of the attempts so far.
  struct Progress {
    SteadyTime deadline{};
    std::string last_error;
    // True if an attempt got no answer, so that the request may have been
    // carried out.
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
