// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_CONNECTION_POOL_H_
#define LIBRARIES_HTTP_CONNECTION_POOL_H_

#include <kj/async.h>
#include <kj/compat/http.h>
#include <kj/timer.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/http/async_connection.h"

namespace sumac::http {

// A fixed number of persistent connections to one address. A call uses a free
// connection, so that an unanswered call does not delay later ones; it waits
// only if all connections are in use. Calls may overtake each other.
class ConnectionPool {
 public:
  // Creates `size` connections, each opened when first needed.
  ConnectionPool(kj::Network& network,
                 kj::Timer& timer,
                 const kj::HttpHeaderTable& headers,
                 const std::string& address,
                 std::size_t size,
                 ConnectionBudget* budget = nullptr);

  // Sends a request on the connection with the fewest open calls, as
  // AsyncConnection::Call does.
  kj::Promise<CallReply> Call(CallRequest request, Milliseconds limit);

  const std::string& address() const {
    return this->connections.front()->address();
  }

 private:
  std::vector<std::unique_ptr<AsyncConnection>> connections;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_CONNECTION_POOL_H_
