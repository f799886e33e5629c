// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_RELAY_H_
#define TESTS_STAND_INS_RELAY_H_

#include <kj/async-io.h>
#include <kj/async.h>

#include <cstddef>
#include <string>

namespace sumac::stand_ins {

// A TCP proxy on loopback that can silence its connections: data sent over a
// silent connection is lost, and neither side sees the connection closed. New
// connections work.
class Relay : private kj::TaskSet::ErrorHandler {
 public:
  Relay(kj::AsyncIoContext& io, std::string target);

  // Returns the address that clients connect to.
  const std::string& address() const { return this->own_address; }

  // Silences all connections that are open now, for good.
  void SilenceOpen() { this->silent_up_to = this->accepted_count; }

  // Return the number of connections accepted so far, and of those still open.
  std::size_t accepted() const { return this->accepted_count; }
  std::size_t open() const { return this->open_count; }

 private:
  struct Connection {
    kj::Own<kj::AsyncIoStream> client_side;
    kj::Own<kj::AsyncIoStream> target_side;
    // Connections are numbered from 1 in the order of their acceptance.
    std::size_t number = 0;
  };

  void taskFailed(kj::Exception&& exception) override;

  kj::Promise<void> Accept();
  kj::Promise<void> Forward(kj::Own<kj::AsyncIoStream> client_side);
  kj::Promise<void> Pump(Connection& connection,
                         kj::AsyncIoStream& from,
                         kj::AsyncIoStream& to,
                         kj::ArrayPtr<kj::byte> buffer);

  kj::Network& network;
  std::string target;
  std::string own_address;
  kj::Own<kj::ConnectionReceiver> receiver;
  std::size_t accepted_count = 0;
  std::size_t open_count = 0;
  // Connections up to this number are silent.
  std::size_t silent_up_to = 0;
  kj::TaskSet tasks;
};

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_RELAY_H_
