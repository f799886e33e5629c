// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_JOBS_LINK_H_
#define SERVICES_SUMACD_JOBS_LINK_H_

#include <kj/async.h>
#include <kj/timer.h>

#include <memory>
#include <string>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "libraries/jobs/requests.h"
#include "services/sumacd/job_controller.h"
#include "services/sumacd/leader_search.h"
#include "services/sumacd/peers.h"

namespace sumac::daemon {

// Sends requests about jobs from any process to the controller that leads. Runs
// on the core's event loop.
class JobsLink {
 public:
  // `local` is this process's controller, or null if it has none.
  JobsLink(ProcessName self,
           Peers& peers,
           kj::Timer& timer,
           JobController* local);

  // Returns the leader's answer. A controller that was quiet is asked whether
  // it answers before the request is written to it, and a request that may have
  // run is sent again until its caller's deadline. After the time limit the
  // code is
  // kNoControllerInTime if the request was certainly not carried out,
  // kSubmissionUnknown otherwise.
  kj::Promise<fleet::Answer> Ask(jobs::Request request, Milliseconds limit);

  // Returns true if no leader can be reached because most controllers can't.
  bool is_cut_off() const { return this->search.is_cut_off(); }

  // Returns when a leader last answered; the clock's epoch if none did.
  SteadyTime last_answer() const { return this->answered_at; }

 private:
  kj::Promise<fleet::Answer> AskAt(const ProcessName& process,
                                   const jobs::Request& request,
                                   std::shared_ptr<std::string> bytes,
                                   Milliseconds limit);

  ProcessName self;
  Peers& peers;
  JobController* local;
  LeaderSearch search;
  SystemClock clock;
  SteadyTime answered_at{};
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_JOBS_LINK_H_
