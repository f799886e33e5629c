// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RPC_CHANNEL_H_
#define LIBRARIES_RPC_CHANNEL_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <cstdint>
#include <string>
#include <utility>

#include "libraries/base/kj_time.h"
#include "libraries/base/time.h"

namespace sumac::rpc {

// A Cap'n Proto connection to one process that is opened when first needed and
// anew after it broke. It belongs to one event loop.
class Channel {
 public:
  Channel(kj::Network& network, kj::Timer& timer, std::string address);

  // The other side's bootstrap object. Calls on it wait until the connection
  // stands, and fail with kj::Exception when it can't be made.
  template <typename Interface>
  typename Interface::Client Get() {
    return this->GetBootstrap().castAs<Interface>();
  }

  // Bounds a call: when it takes longer than `limit` or fails because the other
  // side is gone, the connection is dropped, so that the next call opens a new
  // one.
  template <typename T>
  kj::Promise<T> Guard(Milliseconds limit, kj::Promise<T> call) {
    const std::uint64_t generation = this->generation;
    return this->timer.timeoutAfter(ToKj(limit), kj::mv(call))
        .catch_(
            [this, generation](kj::Exception&& exception) -> kj::Promise<T> {
              this->NoteFailure(exception, generation);
              return kj::mv(exception);
            });
  }

  const std::string& address() const { return this->peer_address; }

 private:
  struct Connection {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
  };

  capnp::Capability::Client GetBootstrap();
  void NoteFailure(const kj::Exception& exception,
                   std::uint64_t failed_generation);

  kj::Network& network;
  kj::Timer& timer;
  std::string peer_address;
  // Counts connections, so that a late failure of an old one does not drop a
  // new one.
  std::uint64_t generation = 0;
  kj::Maybe<capnp::Capability::Client> bootstrap;
  kj::Maybe<kj::Own<Connection>> connection;
};

}  // namespace sumac::rpc

#endif  // LIBRARIES_RPC_CHANNEL_H_
