// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_PEER_SERVICE_H_
#define SERVICES_SUMACD_PEER_SERVICE_H_

#include "libraries/wire/generated/peer.capnp.h"
#include "services/sumacd/controller.h"
#include "services/sumacd/entry.h"
#include "services/sumacd/view_follower.h"

namespace sumac::daemon {

// The door between the system's own processes.
class PeerService final : public wire::Peer::Server {
 public:
  // Either may be nothing, by the process's roles.
  PeerService(Controller* controller,
              Entry* entry,
              const ViewFollower* follower)
      : controller(controller), entry(entry), follower(follower) {}

  kj::Promise<void> replicate(ReplicateContext context) override;
  kj::Promise<void> propose(ProposeContext context) override;
  kj::Promise<void> follow(FollowContext context) override;
  kj::Promise<void> announce(AnnounceContext context) override;
  kj::Promise<void> read(ReadContext context) override;
  kj::Promise<void> explainLocal(ExplainLocalContext context) override;
  kj::Promise<void> whyLocal(WhyLocalContext context) override;
  kj::Promise<void> leader(LeaderContext context) override;
  kj::Promise<void> handOver(HandOverContext context) override;
  kj::Promise<void> join(JoinContext context) override;
  kj::Promise<void> viewState(ViewStateContext context) override;
  kj::Promise<void> changeController(ChangeControllerContext context) override;

 private:
  Controller* controller;
  Entry* entry;
  const ViewFollower* follower;
};

// This entry's own decision, or kUnknownDecision.
fleet::Answer ExplainLocally(const Entry* entry, const DecisionId& id);

// This entry's own decisions about a request, as a list.
fleet::Answer WhyLocally(const Entry* entry,
                         const std::string& kind,
                         const std::string& name);

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_PEER_SERVICE_H_
