// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_LEADER_SEARCH_H_
#define SERVICES_SUMACD_LEADER_SEARCH_H_

#include <kj/async.h>
#include <kj/timer.h>

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "services/sumacd/peers.h"
#include "services/sumacd/submission_outcome.h"

namespace sumac::daemon {

// Finds the controller that leads. Follows the hints of other controllers and
// tries all controllers in turn until one gives a final answer or the time
// limit is over. Runs on the core's event loop.
class LeaderSearch {
 public:
  // Sends the request to one controller with a time limit. Another attempt
  // follows the codes kNotLeader (the message may name the leader), kNoLeader,
  // kNoControllerInTime (nothing was written), kUnreachable and kTimeout (the
  // request may run), and a refusal after one of the last two; all other
  // answers are final.
  using Attempt = std::function<kj::Promise<fleet::Answer>(const ProcessName&,
                                                           Milliseconds)>;

  // Returns the leader that a replica in this process follows, or an empty name
  // if there is none.
  using FollowedLeader = std::function<ProcessName()>;

  LeaderSearch(Peers& peers,
               kj::Timer& timer,
               FollowedLeader followed_leader = nullptr)
      : peers(peers),
        timer(timer),
        followed_leader(std::move(followed_leader)) {}

  // Returns the first final answer. When the search is over without one, the
  // code is kNoLeader, or kTimeout if an attempt without an answer may have
  // been carried out. A search for which nothing was written ends early if no
  // controller can be reached at all.
  kj::Promise<fleet::Answer> Run(Attempt attempt, SearchLimits limits);

  // Does the same with one limit, whether or not the request may have run.
  kj::Promise<fleet::Answer> Run(Attempt attempt, Milliseconds limit) {
    return this->Run(std::move(attempt),
                     SearchLimits{.not_run = limit, .total = limit});
  }

  // Returns true if no leader has answered since a search found that most
  // controllers can't be reached.
  bool is_cut_off() const { return this->cut_off; }

  // Returns the last known leader, or an empty name if it is unknown.
  const ProcessName& leader() const { return this->known_leader; }

 private:
  // The results of the attempts so far.
  struct Progress {
    SubmissionOutcome outcome;
    std::string last_error;
    // The position of the controller to ask next while no leader is known.
    std::size_t next_controller = 0;
    // The leader followed here that was asked last.
    ProcessName asked_followed;
  };

  kj::Promise<fleet::Answer> TryUntilOver(Attempt attempt, Progress progress);
  // Returns the pause before the attempt that follows this result.
  Milliseconds PauseAfter(AttemptResult result) const;
  void UpdateLeader(const ProcessName& process, const fleet::Answer& answer);
  ProcessName NextController(Progress& progress);

  Peers& peers;
  kj::Timer& timer;
  FollowedLeader followed_leader;
  SystemClock clock;
  ProcessName known_leader;
  bool cut_off = false;
  // The position of the controller that the next search asks first.
  std::size_t next_controller = 0;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_LEADER_SEARCH_H_
