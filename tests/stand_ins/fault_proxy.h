// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_FAULT_PROXY_H_
#define TESTS_STAND_INS_FAULT_PROXY_H_

#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/timer.h>

#include <cstdint>
#include <map>
#include <string>

#include "absl/status/status.h"
#include "libraries/base/time.h"

namespace sumac::stand_ins {

// A TCP proxy that forwards connections from one address to another and injects
// faults into them.
class FaultProxy : private kj::TaskSet::ErrorHandler {
 public:
  FaultProxy(kj::Network& network,
             kj::Timer& timer,
             std::string listen_address,
             std::string target_address);

  // Starts to accept connections; the promise fails if the address is in use.
  kj::Promise<void> Listen();

  // Injects or ends a fault:
  // - "pass" ends all faults except "silence".
  // - "delay" delays every chunk of data by `time`.
  // - "reset" resets the open connections.
  // - "silence" blocks all data on the open connections for good; new
  //   connections work.
  // - "cut-to" and "cut-from" hold back data to and from the target until the
  //   next "pass".
  // - "refuse" refuses new connections until the next "pass".
  absl::Status Apply(const std::string& fault, Milliseconds time);

 private:
  // A client's connection and the connection to the target that belongs to it;
  // owned by the promise that forwards their data.
  struct Connection {
    kj::Own<kj::AsyncIoStream> client_side;
    kj::Own<kj::AsyncIoStream> target_side;
    bool is_silent = false;
    // Ends the forwarding at once.
    kj::Own<kj::PromiseFulfiller<void>> reset;
  };

  void taskFailed(kj::Exception&& error) override;
  kj::Promise<void> AcceptLoop();
  kj::Promise<void> Serve(kj::Own<kj::AsyncIoStream> client_side);
  kj::Promise<void> Forward(kj::Own<Connection> connection);
  // Forwards data in one direction; an error ends the other direction too.
  kj::Promise<void> PumpOrReset(Connection& connection, bool is_to_target);
  // Forwards data in one direction until the end of its source.
  kj::Promise<void> Pump(Connection& connection, bool is_to_target);
  kj::Promise<void> AwaitDelayAndRelease(const Connection& connection,
                                         bool is_to_target);
  kj::Promise<void> AwaitRelease(const Connection& connection,
                                 bool is_to_target);
  absl::Status Heal();
  void ResetAll();

  kj::Network& network;
  kj::Timer& timer;
  std::string listen_address;
  std::string target_address;
  Milliseconds delay{0};
  bool is_cut_to = false;
  bool is_cut_from = false;
  // Null while connections are refused.
  kj::Own<kj::ConnectionReceiver> receiver;
  std::uint64_t next_connection = 0;
  std::map<std::uint64_t, Connection*> connections;
  kj::TaskSet serving;
  kj::Maybe<kj::Promise<void>> accepting;
};

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_FAULT_PROXY_H_
