// SPDX-License-Identifier: Apache-2.0
#ifndef UTILITIES_SUMACCTL_OPERATOR_CLIENT_H_
#define UTILITIES_SUMACCTL_OPERATOR_CLIENT_H_

#include <capnp/ez-rpc.h>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <functional>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "libraries/rpc/answer_codec.h"
#include "libraries/rpc/channel.h"
#include "libraries/wire/generated/operator.capnp.h"

namespace sumac::ctl {

// Calls the operators' listeners of the processes one after the other until one
// answers. Each attempt carries the same request id, so that a command whose
// answer was lost is not executed twice.
class OperatorClient {
 public:
  // `addresses` are IP:PORT of operators' listeners; `timeout` limits the call
  // to each of them.
  OperatorClient(std::vector<std::string> addresses, Milliseconds timeout)
      : addresses(std::move(addresses)),
        timeout(timeout),
        io(kj::setupAsyncIo()) {}

  // Returns the answer of the first process that gives one, or kUnreachable if
  // none does. `make` builds the request and sends it.
  template <typename MakeCall>
  fleet::Answer Call(MakeCall make) {
    std::string problems;
    for (const std::string& address : this->addresses) {
      rpc::Channel channel(this->io.provider->getNetwork(),
                           this->io.provider->getTimer(), address);
      try {
        auto call =
            make(channel.Get<wire::Operator>()).then([](auto&& response) {
              return rpc::ReadAnswer(response.getResult());
            });
        fleet::Answer answer =
            channel.Guard(this->timeout, kj::mv(call)).wait(this->io.waitScope);
        // A process that reaches no leader may be partitioned from it while
        // another process is not, so the next address is tried.
        if (answer.code != ResultCode::kNoLeader ||
            address == this->addresses.back()) {
          return answer;
        }
        problems += address + ": " + answer.message + "\n";
      } catch (const kj::Exception& exception) {
        problems += address + ": " + exception.getDescription().cStr() + "\n";
      }
    }
    return fleet::Answer{.code = ResultCode::kUnreachable,
                         .message = "no process answered:\n" + problems};
  }

 private:
  std::vector<std::string> addresses;
  Milliseconds timeout;
  kj::AsyncIoContext io;
};

}  // namespace sumac::ctl

#endif  // UTILITIES_SUMACCTL_OPERATOR_CLIENT_H_
