// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RPC_CALL_H_
#define LIBRARIES_RPC_CALL_H_

#include <kj/async.h>

#include <utility>

#include "libraries/base/result_code.h"
#include "libraries/base/text.h"
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

// Does the same, but returns the code kNoControllerInTime if nothing of the
// request was written, because the connection was never open. `make_request`
// creates the request.
template <typename MakeRequest>
kj::Promise<fleet::Answer> CallIfConnected(Channel& channel,
                                           Milliseconds limit,
                                           const MakeRequest& make_request) {
  const auto state = channel.state();
  auto request = make_request();
  return CallForAnswer(channel, limit, request)
      .catch_([state](kj::Exception&& exception) -> kj::Promise<fleet::Answer> {
        if (state->was_opened) {
          return kj::mv(exception);
        }
        return fleet::Answer{.code = ResultCode::kNoControllerInTime,
                             .message = exception.getDescription().cStr()};
      });
}

// Does the same, but also asks first whether the peer answers, unless it has
// just answered.
template <typename MakeRequest>
kj::Promise<fleet::Answer> ConfirmAndCall(Channel& channel,
                                          Milliseconds limit,
                                          MakeRequest make_request) {
  const auto call = [&channel, make_request =
                                   std::move(make_request)](Milliseconds left) {
    return CallIfConnected(channel, left, make_request);
  };
  if (channel.IsFresh()) {
    return call(limit);
  }
  const SteadyTime began_at = SystemClock().SteadyNow();
  return channel.Confirm(limit).then(
      [&channel, call, limit,
       began_at](bool is_answering) -> kj::Promise<fleet::Answer> {
        const Milliseconds left =
            limit - (SystemClock().SteadyNow() - began_at);
        if (!is_answering || left <= Milliseconds(0)) {
          return fleet::Answer{
              .code = ResultCode::kNoControllerInTime,
              .message = StrCat(channel.address(), " does not answer")};
        }
        return call(left);
      });
}

}  // namespace sumac::rpc

#endif  // LIBRARIES_RPC_CALL_H_
