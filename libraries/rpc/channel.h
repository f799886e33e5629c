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

  // Bounds a call. When it fails because the other side is gone, or takes
  // longer than `limit` while nothing else was answered, the connection is
  // dropped, so that the next call opens a new one. One slow call among others
  // that are answered says nothing against the connection, and dropping it
  // would leave all of them without a known outcome.
  template <typename T>
  kj::Promise<T> Guard(Milliseconds limit, kj::Promise<T> call) {
    const CallStart start{this->generation, this->clock.SteadyNow()};
    return TimeoutAfter(this->timer, limit, this->NoteAnswer(kj::mv(call)))
        .catch_([this, start](kj::Exception&& exception) -> kj::Promise<T> {
          this->NoteFailure(exception, start);
          return kj::mv(exception);
        });
  }

  const std::string& address() const { return this->peer_address; }

 private:
  struct Connection {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
  };

  // When a call began, and on which connection.
  struct CallStart {
    std::uint64_t generation = 0;
    SteadyTime at{};
  };

  template <typename T>
  kj::Promise<T> NoteAnswer(kj::Promise<T> call) {
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
  void NoteFailure(const kj::Exception& exception, const CallStart& start);

  kj::Network& network;
  kj::Timer& timer;
  std::string peer_address;
  // Counts connections, so that a late failure of an old one does not drop a
  // new one.
  std::uint64_t generation = 0;
  SystemClock clock;
  // When a call was last answered.
  SteadyTime last_answer_at{};
  kj::Maybe<capnp::Capability::Client> bootstrap;
  kj::Maybe<kj::Own<Connection>> connection;
};

}  // namespace sumac::rpc

#endif  // LIBRARIES_RPC_CHANNEL_H_
