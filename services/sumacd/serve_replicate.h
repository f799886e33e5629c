// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_SERVE_REPLICATE_H_
#define SERVICES_SUMACD_SERVE_REPLICATE_H_

#include <kj/async.h>
#include <kj/exception.h>

#include <vector>

#include "libraries/log/json_log.h"
#include "libraries/replication/types.h"
#include "libraries/wire/generated/peer.capnp.h"
#include "libraries/wire/replication_codec.h"

namespace sumac::daemon {

// Unpacks a message of another controller. One that can't be read is logged,
// since the sender drops the error of the call, and the exception is passed on.
inline replication::Message UnpackOrLog(capnp::Data::Reader bytes) {
  try {
    return wire::UnpackMessage(bytes);
  } catch (const kj::Exception& error) {
    LogEvent(
        LogLevel::kError, "peer-message-unreadable",
        {{"bytes", bytes.size()}, {"error", error.getDescription().cStr()}});
    throw;
  }
}

// Serves one Peer.replicate call: passes the message to the receiver's Receive
// method and returns the replies.
template <typename Receiver, typename Context>
kj::Promise<void> ServeReplicate(Receiver& receiver, Context context) {
  return receiver.Receive(UnpackOrLog(context.getParams().getMessage()))
      .then(
          [context](const std::vector<replication::Message>& replies) mutable {
            auto list = context.getResults().initReplies(replies.size());
            for (unsigned position = 0; position < replies.size(); ++position) {
              list.set(position,
                       wire::ToData(wire::PackMessage(replies[position])));
            }
          });
}

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_SERVE_REPLICATE_H_
