// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RPC_CHANNEL_H_
#define LIBRARIES_RPC_CHANNEL_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>

#include "libraries/base/kj_timeout.h"
#include "libraries/base/time.h"

namespace sumac::rpc {

// A Cap'n Proto connection to one process. It is opened when first needed and
// reopened after it failed. It belongs to one event loop.
class Channel {
 public:
  Channel(kj::Network& network, kj::Timer& timer, std::string address);

  // Returns the peer's bootstrap object. Calls on it wait until the connection
  // is open, and fail with kj::Exception if it can't be opened.
  template <typename Interface>
  typename Interface::Client Get() {
    return this->GetBootstrap().castAs<Interface>();
  }

  // Applies the timeout `limit` to a call. If the call fails because the peer
  // has disconnected, or times out while no other call was answered since it
  // began, the connection is dropped, so that the next call opens a new one. A
  // slow call among others that are answered does not mean that the connection
  // is dead, and dropping it would leave the outcome of all open calls unknown.
  template <typename T>
  kj::Promise<T> Guard(Milliseconds limit, kj::Promise<T> call) {
    const CallStart start{this->generation, this->clock.SteadyNow()};
    return TimeoutAfter(this->timer, limit, this->TrackAnswer(kj::mv(call)))
        .catch_([this, start](kj::Exception&& exception) -> kj::Promise<T> {
          this->DropIfDead(exception, start);
          return kj::mv(exception);
        });
  }

  const std::string& address() const { return this->peer_address; }

 private:
  struct Connection {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
  };

  // The start time of a call and the number of its connection.
  struct CallStart {
    std::uint64_t generation = 0;
    SteadyTime at{};
  };

  template <typename T>
  kj::Promise<T> TrackAnswer(kj::Promise<T> call) {
    if constexpr (std::is_void_v<T>) {
      return call.then(
          [this] { this->last_answer_at = this->clock.SteadyNow(); });
    } else {
      return call.then([this](T&& result) {
        this->last_answer_at = this->clock.SteadyNow();
        return kj::mv(result);
      });
    }
  }

  capnp::Capability::Client GetBootstrap();
  void DropIfDead(const kj::Exception& exception, const CallStart& start);

  kj::Network& network;
  kj::Timer& timer;
  std::string peer_address;
  // The number of the current connection; increases with each new one, so that
  // a late failure of an old connection does not drop a new one.
  std::uint64_t generation = 0;
  SystemClock clock;
  // The time of the last answer to any call.
  SteadyTime last_answer_at{};
  kj::Maybe<capnp::Capability::Client> bootstrap;
  kj::Maybe<kj::Own<Connection>> connection;
};

}  // namespace sumac::rpc

#endif  // LIBRARIES_RPC_CHANNEL_H_
