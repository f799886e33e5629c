// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RPC_RPC_SERVER_H_
#define LIBRARIES_RPC_RPC_SERVER_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/timer.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/base/connection_budget.h"
#include "libraries/rpc/accepted_connection.h"

namespace sumac::rpc {

// A Cap'n Proto server that listens on one address until it is destroyed. It
// belongs to the event loop.
class RpcServer : private kj::TaskSet::ErrorHandler {
 public:
  // Listens on `address` (IP:PORT) and offers `bootstrap` to each client. At
  // most `max_connections` are open; a further one replaces the one whose
  // client has been silent for the longest. The error is kSettingsInvalid if it
  // can't listen there.
  static absl::StatusOr<std::unique_ptr<RpcServer>> Create(
      kj::AsyncIoContext& io,
      const std::string& address,
      capnp::Capability::Client bootstrap,
      std::size_t max_connections);

  // Returns the number of open connections and of those closed for others.
  const ConnectionBudget& connections() const { return this->budget; }

 private:
  RpcServer(kj::Timer& timer,
            std::string address,
            kj::Own<kj::ConnectionReceiver> receiver,
            capnp::Capability::Client bootstrap,
            std::size_t max_connections);

  kj::Promise<void> AcceptLoop();
  void Serve(kj::Own<kj::AsyncIoStream> stream);
  void LogBroken(const kj::Exception& error) const;
  void taskFailed(kj::Exception&& exception) override;

  kj::Timer& timer;
  std::string address;
  kj::Own<kj::ConnectionReceiver> receiver;
  capnp::TwoPartyServer server;
  ConnectionBudget budget;
  // The open connections by number.
  std::map<std::uint64_t, kj::Own<AcceptedConnection>> open;
  std::uint64_t next_connection = 1;
  kj::TaskSet tasks;
  // The accept loop. Declared last, so that it is destroyed before the members
  // that it uses.
  kj::Promise<void> listening;
};

}  // namespace sumac::rpc

#endif  // LIBRARIES_RPC_RPC_SERVER_H_
