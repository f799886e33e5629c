// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RPC_RPC_SERVER_H_
#define LIBRARIES_RPC_RPC_SERVER_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async.h>

#include <memory>
#include <string>

#include "absl/status/statusor.h"

namespace sumac::rpc {

// A Cap'n Proto server that listens at one address for as long as it lives.
// Belongs to the event loop.
class Door {
 public:
  // Listens at `address` (IP:PORT) and gives callers `bootstrap`.
  // kSettingsInvalid if it can't listen there.
  static absl::StatusOr<std::unique_ptr<Door>> Create(
      kj::AsyncIoContext& io,
      const std::string& address,
      capnp::Capability::Client bootstrap);

 private:
  Door(kj::Own<kj::ConnectionReceiver> receiver,
       capnp::Capability::Client bootstrap);

  kj::Promise<void> Accept();

  kj::Own<kj::ConnectionReceiver> receiver;
  capnp::TwoPartyServer server;
  // Ends before what it uses.
  kj::Promise<void> listening;
};

}  // namespace sumac::rpc

#endif  // LIBRARIES_RPC_RPC_SERVER_H_
