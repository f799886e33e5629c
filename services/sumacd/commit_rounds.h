// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_COMMIT_ROUNDS_H_
#define SERVICES_SUMACD_COMMIT_ROUNDS_H_

#include <kj/async.h>
#include <kj/timer.h>

#include "libraries/base/time.h"

namespace sumac::daemon {

// Lets commands that come close to each other go to the other controllers in
// one message each and to the disk in one write. Belongs to the core's event
// loop.
class CommitRounds {
 public:
  explicit CommitRounds(kj::Timer& timer) : timer(timer) {}

  // Waits for the next round, which comes within `pause`; all that wait for it
  // go on in one turn of the event loop, in the order in which they came.
  kj::Promise<void> AwaitNext(Milliseconds pause);

 private:
  kj::Timer& timer;
  // The last round, and whether it has come.
  kj::Maybe<kj::ForkedPromise<void>> round;
  bool has_round_begun = true;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_COMMIT_ROUNDS_H_
