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

// A Cap'n Proto server that listens on one address until it is destroyed. It
// belongs to the event loop.
class RpcServer {
 public:
  // Listens on `address` (IP:PORT) and offers `bootstrap` to each client. The
  // error is kSettingsInvalid if it can't listen there.
  static absl::StatusOr<std::unique_ptr<RpcServer>> Create(
      kj::AsyncIoContext& io,
      const std::string& address,
      capnp::Capability::Client bootstrap);

 private:
  RpcServer(kj::Own<kj::ConnectionReceiver> receiver,
            capnp::Capability::Client bootstrap);

  kj::Promise<void> Accept();

  kj::Own<kj::ConnectionReceiver> receiver;
  capnp::TwoPartyServer server;
  // The accept loop. Declared last, so that it is destroyed before the members
  // that it uses.
  kj::Promise<void> listening;
};

}  // namespace sumac::rpc

#endif  // LIBRARIES_RPC_RPC_SERVER_H_
