// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/node_peer_service.h"

#include "libraries/codec/cbor_reader.h"
#include "libraries/rpc/answer_codec.h"
#include "libraries/wire/replication_codec.h"
#include "services/sumacd/serve_replicate.h"

namespace sumac::daemon {
kj::Promise<void> NodePeerService::replicate(ReplicateContext context) {
  return ServeReplicate(this->controller, context);
}

kj::Promise<void> NodePeerService::join(JoinContext context) {
  const replication::NodeId node(wire::ToString(context.getParams().getNode()));
  rpc::WriteAnswer(
      fleet::Answer::FromOutcome(this->controller.Join(node), "accepted"),
      context.getResults().initResult());
  return kj::READY_NOW;
}

kj::Promise<void> NodePeerService::handOver(HandOverContext context) {
  rpc::WriteAnswer(
      fleet::Answer::FromOutcome(this->controller.HandOver(), "accepted"),
      context.getResults().initResult());
  return kj::READY_NOW;
}

// Also the probe by which other processes learn that this one answers.
kj::Promise<void> NodePeerService::leader(LeaderContext context) {
  context.getResults().setProcess(
      this->controller.replica_host().KnownLeader().value());
  return kj::READY_NOW;
}

kj::Promise<void> NodePeerService::ask(AskContext context) {
  const auto request = FromCbor<jobs::Request>(
      wire::ToString(context.getParams().getRequest()), "request");
  if (!request.ok()) {
    rpc::WriteAnswer(fleet::Answer::FromStatus(request.status()),
                     context.getResults().initResult());
    return kj::READY_NOW;
  }
  return this->controller.Ask(*request).then(
      [context](const fleet::Answer& answer) mutable {
        rpc::WriteAnswer(answer, context.getResults().initResult());
      });
}

kj::Promise<void> NodePeerService::openRelay(OpenRelayContext context) {
  auto params = context.getParams();
  auto results = context.getResults();
  absl::StatusOr<wire::Relay::Client> relay = this->controller.OpenRelay(
      LeaderEpoch(params.getEpoch()), params.getAnswers());
  rpc::WriteAnswer(fleet::Answer::FromOutcome(relay.status(), "relays"),
                   results.initResult());
  if (relay.ok()) {
    results.setRelay(*std::move(relay));
    results.setDataCentre(this->controller.data_centre().value());
    results.setClockMs(SystemClock().SteadyNow().time_since_epoch().count());
  }
  return kj::READY_NOW;
}

kj::Promise<void> NodePeerService::describe(DescribeContext context) {
  context.getResults().setDataCentre(this->controller.data_centre().value());
  return kj::READY_NOW;
}

}  // namespace sumac::daemon
