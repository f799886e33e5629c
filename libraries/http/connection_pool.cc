// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/connection_pool.h"

#include <algorithm>
#include <utility>

namespace sumac::http {

ConnectionPool::ConnectionPool(kj::Network& network,
                               kj::Timer& timer,
                               const kj::HttpHeaderTable& headers,
                               const std::string& address,
                               std::size_t size,
                               ConnectionBudget* budget) {
  for (std::size_t number = 0; number < size; ++number) {
    this->connections.push_back(std::make_unique<AsyncConnection>(
        network, timer, headers, address, budget));
  }
}

kj::Promise<CallReply> ConnectionPool::Call(CallRequest request,
                                            Milliseconds limit) {
  // min_element returns the first of several equal ones, so that connections
  // that are not needed stay closed.
  const auto least_busy =
      std::min_element(this->connections.begin(), this->connections.end(),
                       [](const auto& left, const auto& right) {
                         return left->open_calls() < right->open_calls();
                       });
  return (*least_busy)->Call(std::move(request), limit);
}

}  // namespace sumac::http
