// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RPC_CHANNEL_H_
#define LIBRARIES_RPC_CHANNEL_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <cstdint>
#include <memory>
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

  // What is known about one connection. Calls that wait for a connection are
  // written only once it is open.
  struct ConnectionState {
    bool was_opened = false;
    // True once the peer has closed or reset the connection.
    bool is_gone = false;
  };

  // Returns the state of the connection that the next call uses. A call that
  // failed while its connection was never opened was not written.
  std::shared_ptr<const ConnectionState> state();

  // Returns true if the peer has answered so recently that a request may be
  // written without asking first.
  bool IsFresh() const;

  // Resolves to true once the peer is known to answer: at once if it is fresh,
  // otherwise when it answers a probe, which all requests share. Resolves to
  // false if the probe gets no answer soon or within `limit`, and from then on
  // at once until the peer answers again. So no request is written to a peer
  // that is known to be silent.
  kj::Promise<bool> Confirm(Milliseconds limit);

  const std::string& address() const { return this->peer_address; }

 private:
  struct Connection {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    kj::Promise<void> end_watch = nullptr;
  };

  // The start time of a call and the number of its connection.
  struct CallStart {
    std::uint64_t generation = 0;
    SteadyTime at{};
  };

  template <typename T>
  kj::Promise<T> TrackAnswer(kj::Promise<T> call) {
    if constexpr (std::is_void_v<T>) {
      return call.then([this] { this->RecordAnswer(); });
    } else {
      return call.then([this](T&& result) {
        this->RecordAnswer();
        return kj::mv(result);
      });
    }
  }

  void RecordAnswer() {
    this->last_answer_at = this->clock.SteadyNow();
    this->is_silent = false;
  }

  capnp::Capability::Client GetBootstrap();
  void DropIfDead(const kj::Exception& exception, const CallStart& start);
  void Drop();
  // Sends a probe. It resolves to true if the peer answers.
  kj::Promise<bool> SendProbe();
  void StartProbe();
  // Records that a probe got no answer in time. Returns true if another call
  // got one just now, so that the peer is not silent.
  bool DetectSilence();

  kj::Network& network;
  kj::Timer& timer;
  std::string peer_address;
  // The number of the current connection; increases with each new one, so that
  // a late failure of an old connection does not drop a new one.
  std::uint64_t generation = 0;
  SystemClock clock;
  // The time of the last answer to any call.
  SteadyTime last_answer_at{};
  std::shared_ptr<ConnectionState> connection_state;
  kj::Maybe<capnp::Capability::Client> bootstrap;
  kj::Maybe<kj::Own<Connection>> connection;
  // True from a probe without an answer until the next answer to any call.
  bool is_silent = false;
  // True while a probe is open.
  bool is_probing = false;
  // The last probe; resolves when it is answered or fails.
  kj::Maybe<kj::ForkedPromise<bool>> probe;
  // The same, but resolves to false when the time is over in which a peer that
  // can be reached answers.
  kj::Maybe<kj::ForkedPromise<bool>> verdict;
};

}  // namespace sumac::rpc

#endif  // LIBRARIES_RPC_CHANNEL_H_
