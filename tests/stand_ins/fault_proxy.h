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

// Passes the connections that it takes at one address on to another, and harms
// them as it is told.
class FaultProxy : private kj::TaskSet::ErrorHandler {
 public:
  FaultProxy(kj::Network& network,
             kj::Timer& timer,
             std::string listen_address,
             std::string target_address);

  // Begins to take connections; the promise fails if the address is taken.
  kj::Promise<void> Listen();

  // Does what `fault` names: "pass" ends all faults but silence; "delay" holds
  // every piece of data back for `time`; "reset" breaks the connections that
  // are open; "silence" lets nothing through on them any more while new ones
  // work; "cut-to" and "cut-from" hold back what goes to or comes from the
  // target until the next "pass"; "refuse" takes no new connections until then.
  absl::Status Apply(const std::string& fault, Milliseconds time);

 private:
  // One connection with its way on; owned by the promise that carries it.
  struct Connection {
    kj::Own<kj::AsyncIoStream> near;
    kj::Own<kj::AsyncIoStream> far;
    bool is_silent = false;
    // Ends the carrying at once.
    kj::Own<kj::PromiseFulfiller<void>> reset;
  };

  void taskFailed(kj::Exception&& error) override;
  kj::Promise<void> AcceptLoop();
  kj::Promise<void> Serve(kj::Own<kj::AsyncIoStream> near);
  kj::Promise<void> Carry(kj::Own<Connection> connection);
  // Pumps; when that fails the other direction ends as well.
  kj::Promise<void> PumpOrReset(Connection& connection, bool is_to_target);
  // Passes data on in one direction until its source ends.
  kj::Promise<void> Pump(Connection& connection, bool is_to_target);
  kj::Promise<void> AwaitPassage(const Connection& connection,
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
  // Nothing while connections are refused.
  kj::Own<kj::ConnectionReceiver> receiver;
  std::uint64_t next_connection = 0;
  std::map<std::uint64_t, Connection*> connections;
  kj::TaskSet serving;
  kj::Maybe<kj::Promise<void>> accepting;
};

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_FAULT_PROXY_H_
