// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/commit_rounds.h"

#include <kj/debug.h>

#include "libraries/base/kj_time.h"

namespace sumac::daemon {

kj::Promise<void> CommitRounds::AwaitNext(Milliseconds pause) {
  if (this->has_round_begun) {
    this->has_round_begun = false;
    this->round = this->timer.afterDelay(ToKj(pause))
                      .then([this] { this->has_round_begun = true; })
                      .fork();
  }
  return KJ_ASSERT_NONNULL(this->round).addBranch();
}

}  // namespace sumac::daemon
