// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_OPERATOR_REPLIES_H_
#define SERVICES_SUMACD_OPERATOR_REPLIES_H_

#include <kj/async.h>

#include "libraries/fleet/answer.h"
#include "libraries/rpc/answer_codec.h"

namespace sumac::daemon {

// Responds to an operator's call.
template <typename Context>
kj::Promise<void> Reply(Context context, const fleet::Answer& answer) {
  rpc::WriteAnswer(answer, context.getResults().initResult());
  return kj::READY_NOW;
}

// Responds to an operator's call when `promise` resolves.
template <typename Context>
kj::Promise<void> ReplyWith(Context context,
                            kj::Promise<fleet::Answer> promise) {
  return promise.then([context](const fleet::Answer& answer) mutable {
    rpc::WriteAnswer(answer, context.getResults().initResult());
  });
}

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_OPERATOR_REPLIES_H_
