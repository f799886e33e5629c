// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RPC_ACCEPTED_CONNECTION_H_
#define LIBRARIES_RPC_ACCEPTED_CONNECTION_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async.h>

#include <cstddef>
#include <functional>

#include "libraries/base/connection_budget.h"

namespace sumac::rpc {

// A connection that an RpcServer has accepted. Its place in the budget counts
// as idle since the last bytes of the client, so that connections which say
// nothing make room for others.
class AcceptedConnection : private kj::AsyncIoStream {
 public:
  // `close` is called when the budget wants the place; it must destroy this
  // object.
  AcceptedConnection(kj::Own<kj::AsyncIoStream> inner,
                     ConnectionBudget::Place place,
                     std::function<void()> close);

  // Serves the connection and calls `on_end` when it has ended, with the error
  // if the client broke the protocol.
  void Start(capnp::TwoPartyServer& server,
             const std::function<void(kj::Maybe<kj::Exception>)>& on_end);

 private:
  kj::Promise<std::size_t> tryRead(void* buffer,
                                   std::size_t min_bytes,
                                   std::size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, std::size_t size) override {
    return this->inner->write(buffer, size);
  }
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> parts) override {
    return this->inner->write(parts);
  }
  kj::Promise<void> whenWriteDisconnected() override {
    return this->inner->whenWriteDisconnected();
  }
  void shutdownWrite() override { this->inner->shutdownWrite(); }
  void abortRead() override { this->inner->abortRead(); }

  kj::Own<kj::AsyncIoStream> inner;
  ConnectionBudget::Place place;
  std::function<void()> close;
  // The promise that serves the connection. Declared last, since it uses the
  // members above.
  kj::Promise<void> served = nullptr;
};

}  // namespace sumac::rpc

#endif  // LIBRARIES_RPC_ACCEPTED_CONNECTION_H_
