// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RPC_CALL_H_
#define LIBRARIES_RPC_CALL_H_

#include <kj/async.h>

#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "libraries/rpc/answer_codec.h"
#include "libraries/rpc/channel.h"

namespace sumac::rpc {

// Sends a request whose response contains a result, and returns the result as
// an answer. The promise fails with kj::Exception if no response arrives within
// `limit`.
template <typename Request>
kj::Promise<fleet::Answer> CallForAnswer(Channel& channel,
                                         Milliseconds limit,
                                         Request& request) {
  return channel.Guard(limit, request.send().then([](auto&& response) {
    return ReadAnswer(response.getResult());
  }));
}

}  // namespace sumac::rpc

#endif  // LIBRARIES_RPC_CALL_H_
