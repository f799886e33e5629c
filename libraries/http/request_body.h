// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_REQUEST_BODY_H_
#define LIBRARIES_HTTP_REQUEST_BODY_H_

#include <kj/async-io.h>
#include <kj/async.h>

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

namespace sumac::http {

// The bytes of bodies that are being read on all connections of a listener.
struct HeldBytes {
  std::uint64_t max = 0;
  std::uint64_t now = 0;
};

// Reads the body of a request on the event loop. The error is kBodyTooLarge if
// the body is longer than `max_bytes`, kCrowded if `held` has no room for it,
// and kBadRequest if it can't be read, for example because of an invalid chunk
// size. The promise fails only with kj::Exception::Type::DISCONNECTED, if the
// client has gone. `body` and `held` must outlive the promise.
kj::Promise<absl::StatusOr<std::string>> ReadBody(kj::AsyncInputStream& body,
                                                  std::uint64_t max_bytes,
                                                  HeldBytes& held);

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_REQUEST_BODY_H_
