// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_COMMIT_ROUNDS_H_
#define SERVICES_SUMACD_COMMIT_ROUNDS_H_

#include <kj/async.h>
#include <kj/timer.h>

#include "libraries/base/time.h"

namespace sumac::daemon {

// Batches commands that are proposed shortly after each other, so that they
// need one message to each other controller and one write to the disk. Runs on
// the core's event loop.
class CommitRounds {
 public:
  explicit CommitRounds(kj::Timer& timer) : timer(timer) {}

  // Waits for the next round, which begins after `pause` or earlier. All that
  // wait for it resume in one iteration of the event loop, in the order of
  // their calls.
  kj::Promise<void> AwaitNext(Milliseconds pause);

 private:
  kj::Timer& timer;
  // The last round, and whether it has begun.
  kj::Maybe<kj::ForkedPromise<void>> round;
  bool has_round_begun = true;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_COMMIT_ROUNDS_H_
