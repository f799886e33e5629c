// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/jobs_link.h"

#include <memory>
#include <utility>

#include "libraries/codec/cbor_writer.h"
#include "libraries/rpc/call.h"
#include "libraries/wire/generated/peer.capnp.h"
#include "libraries/wire/replication_codec.h"

namespace sumac::daemon {

JobsLink::JobsLink(ProcessName self,
                   Peers& peers,
                   kj::Timer& timer,
                   JobController* local)
    : self(std::move(self)), peers(peers), local(local), search(peers, timer) {}

kj::Promise<fleet::Answer> JobsLink::Ask(jobs::Request request,
                                         Milliseconds limit) {
  if (this->local != nullptr && this->local->is_leading()) {
    return this->local->Ask(request);
  }
  // Encoded once, for all tries.
  auto bytes = std::make_shared<std::string>(ToCbor(request));
  auto shared_request = std::make_shared<jobs::Request>(std::move(request));
  return this->search
      .Run(
          [this, shared_request, bytes](const ProcessName& process,
                                        Milliseconds left) {
            return this->AskAt(process, *shared_request, *bytes, left);
          },
          limit)
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
                                           const std::string& bytes,
                                           Milliseconds limit) {
  if (this->local != nullptr && process == this->self) {
    return this->local->Ask(request);
  }
  rpc::Channel* channel = this->peers.Find(process);
  if (channel == nullptr) {
    return fleet::Answer{.code = ResultCode::kNotLeader};
  }
  auto call = channel->Get<wire::Peer>().askRequest();
  call.setRequest(wire::ToData(bytes));
  return rpc::CallForAnswer(*channel, limit, call);
}

}  // namespace sumac::daemon
