// SPDX-License-Identifier: Apache-2.0
#include "libraries/rpc/accepted_connection.h"

#include <utility>

namespace sumac::rpc {

AcceptedConnection::AcceptedConnection(kj::Own<kj::AsyncIoStream> inner,
                                       ConnectionBudget::Place place,
                                       std::function<void()> close)
    : inner(kj::mv(inner)), place(std::move(place)), close(std::move(close)) {
  this->place.MarkIdle(this->close);
}

void AcceptedConnection::Start(
    capnp::TwoPartyServer& server,
    const std::function<void(kj::Maybe<kj::Exception>)>& on_end) {
  this->served =
      server.accept(static_cast<kj::AsyncIoStream&>(*this))
          .then([on_end] { on_end(nullptr); },
                [on_end](kj::Exception&& error) { on_end(kj::mv(error)); })
          .eagerlyEvaluate(nullptr);
}

kj::Promise<std::size_t> AcceptedConnection::tryRead(void* buffer,
                                                     std::size_t min_bytes,
                                                     std::size_t max_bytes) {
  return this->inner->tryRead(buffer, min_bytes, max_bytes)
      .then([this](std::size_t size) {
        // Moves the place to the end of the idle ones.
        this->place.MarkBusy();
        this->place.MarkIdle(this->close);
        return size;
      });
}

}  // namespace sumac::rpc
