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

// Calls the operators' door of one process after the other until one answers.
// Resends keep their request id, so that a command whose answer was lost is not
// carried out twice.
class OperatorClient {
 public:
  // `addresses` are IP:PORT of operators' doors; one call takes at most
  // `timeout` at each.
  OperatorClient(std::vector<std::string> addresses, Milliseconds timeout)
      : addresses(std::move(addresses)),
        timeout(timeout),
        io(kj::setupAsyncIo()) {}

  // `make` builds the request and sends it; the answer is the first process's
  // that gives one. kUnreachable when none did.
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
        // A process that reaches no leader may be cut off; another one may not
        // be.
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
