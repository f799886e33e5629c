// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/jobs_link.h"

#include <memory>
#include <utility>
#include <variant>

#include "libraries/codec/cbor_writer.h"
#include "libraries/rpc/call.h"
#include "libraries/wire/generated/peer.capnp.h"
#include "libraries/wire/replication_codec.h"

namespace sumac::daemon {
namespace {

// True for requests of callers, who are answered at once or soon. Operators and
// workers get the whole time that they wait for.
bool IsOfCaller(const jobs::Request& request) {
  return std::holds_alternative<jobs::SubmitAt>(request) ||
         std::holds_alternative<jobs::ShowAt>(request) ||
         std::holds_alternative<jobs::CancelAt>(request);
}

// True for requests that change the state if they are carried out.
bool HasEffect(const jobs::Request& request) {
  return std::holds_alternative<jobs::SubmitAt>(request) ||
         std::holds_alternative<jobs::CancelAt>(request) ||
         std::holds_alternative<jobs::Commit>(request);
}

}  // namespace

JobsLink::JobsLink(ProcessName self,
                   Peers& peers,
                   kj::Timer& timer,
                   JobController* local)
    : self(std::move(self)),
      peers(peers),
      local(local),
      search(peers, timer, [local] {
        return local == nullptr ? ProcessName()
                                : local->replica_host().KnownLeader();
      }) {}

kj::Promise<fleet::Answer> JobsLink::Ask(jobs::Request request,
                                         Milliseconds limit) {
  if (this->local != nullptr && this->local->is_leading()) {
    return this->local->Ask(request);
  }
  SearchLimits limits = IsOfCaller(request)
                            ? LimitsFor(limit)
                            : SearchLimits{.not_run = limit, .total = limit};
  limits.has_effect = HasEffect(request);
  // The request is encoded once for all attempts.
  auto bytes = std::make_shared<std::string>(ToCbor(request));
  auto shared_request = std::make_shared<jobs::Request>(std::move(request));
  return this->search
      .Run(
          [this, shared_request, bytes](const ProcessName& process,
                                        Milliseconds left) {
            return this->AskAt(process, *shared_request, bytes, left);
          },
          limits)
      .then([this](fleet::Answer&& answer) {
        if (answer.code == ResultCode::kNoLeader) {
          answer.code = ResultCode::kNoControllerInTime;
        } else if (answer.code == ResultCode::kTimeout) {
          answer.code = ResultCode::kSubmissionUnknown;
        } else {
          this->answered_at = this->clock.SteadyNow();
        }
        return kj::mv(answer);
      });
}

kj::Promise<fleet::Answer> JobsLink::AskAt(const ProcessName& process,
                                           const jobs::Request& request,
                                           std::shared_ptr<std::string> bytes,
                                           Milliseconds limit) {
  if (this->local != nullptr && process == this->self) {
    return this->local->Ask(request);
  }
  rpc::Channel* channel = this->peers.Find(process);
  if (channel == nullptr) {
    return fleet::Answer{.code = ResultCode::kNotLeader};
  }
  auto make_request = [channel, bytes = std::move(bytes)] {
    auto call = channel->Get<wire::Peer>().askRequest();
    call.setRequest(wire::ToData(*bytes));
    return call;
  };
  return rpc::ConfirmAndCall(*channel, limit, std::move(make_request));
}

}  // namespace sumac::daemon
