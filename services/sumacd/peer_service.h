// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_PEER_SERVICE_H_
#define SERVICES_SUMACD_PEER_SERVICE_H_

#include "libraries/wire/generated/peer.capnp.h"
#include "services/sumacd/controller.h"
#include "services/sumacd/entry.h"
#include "services/sumacd/view_follower.h"

namespace sumac::daemon {

// Serves the Peer interface, by which the system's own processes call each
// other.
class PeerService final : public wire::Peer::Server {
 public:
  // `controller` is null without the controller role; `entry` and `follower`
  // are null without the entry role.
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

// Returns a decision that this entry made, or kUnknownDecision.
fleet::Answer ExplainLocally(const Entry* entry, const DecisionId& id);

// Returns the decisions that this entry made about a request, as a list.
fleet::Answer WhyLocally(const Entry* entry,
                         const std::string& kind,
                         const std::string& name);

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_PEER_SERVICE_H_
