// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_NODE_PEER_SERVICE_H_
#define SERVICES_SUMACD_NODE_PEER_SERVICE_H_

#include "libraries/wire/generated/peer.capnp.h"
#include "services/sumacd/job_controller.h"

namespace sumac::daemon {

// Serves the methods of the Peer interface that job controllers implement, in a
// system whose processes discover each other from seeds.
class NodePeerService final : public wire::Peer::Server {
 public:
  explicit NodePeerService(JobController& controller)
      : controller(controller) {}

  kj::Promise<void> replicate(ReplicateContext context) override;
  kj::Promise<void> join(JoinContext context) override;
  kj::Promise<void> handOver(HandOverContext context) override;
  kj::Promise<void> leader(LeaderContext context) override;
  kj::Promise<void> ask(AskContext context) override;
  kj::Promise<void> openRelay(OpenRelayContext context) override;
  kj::Promise<void> describe(DescribeContext context) override;

 private:
  JobController& controller;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_NODE_PEER_SERVICE_H_
