// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/peer_service.h"

#include <utility>

#include "libraries/base/text.h"
#include "libraries/codec/cbor_reader.h"
#include "libraries/codec/cbor_writer.h"
#include "libraries/codec/json_writer.h"
#include "libraries/rpc/answer_codec.h"
#include "libraries/wire/replication_codec.h"
#include "services/sumacd/queries.h"
#include "services/sumacd/serve_replicate.h"

namespace sumac::daemon {
namespace {

fleet::Answer NoController() {
  return fleet::Answer{.code = ResultCode::kNotLeader};
}

}  // namespace

kj::Promise<void> PeerService::replicate(ReplicateContext context) {
  if (this->controller == nullptr) {
    return kj::READY_NOW;
  }
  return ServeReplicate(*this->controller, context);
}

kj::Promise<void> PeerService::propose(ProposeContext context) {
  auto command = FromCbor<fleet::Command>(
      wire::ToString(context.getParams().getCommand()), "command");
  if (!command.ok() || this->controller == nullptr) {
    rpc::WriteAnswer(command.ok() ? NoController()
                                  : fleet::Answer::FromStatus(command.status()),
                     context.getResults().initResult());
    return kj::READY_NOW;
  }
  return this->controller->Propose(*std::move(command))
      .then([context](const fleet::Answer& answer) mutable {
        rpc::WriteAnswer(answer, context.getResults().initResult());
      });
}

kj::Promise<void> PeerService::follow(FollowContext context) {
  if (this->controller == nullptr) {
    rpc::WriteAnswer(NoController(), context.getResults().initResult());
    return kj::READY_NOW;
  }
  const std::uint64_t have = context.getParams().getHave();
  return this->controller
      ->Follow(have, Milliseconds(context.getParams().getWaitMs()))
      .then([context, have](const ServedView& served) mutable {
        auto results = context.getResults();
        results.setIsVerified(served.is_verified);
        results.setIsDelta(served.is_delta);
        results.setVersion(served.view.version);
        if (served.view.version > have) {
          results.setView(wire::ToData(ToCbor(served.view)));
        }
      });
}

kj::Promise<void> PeerService::announce(AnnounceContext context) {
  auto announcements = FromCbor<std::vector<fleet::Announcement>>(
      wire::ToString(context.getParams().getAnnouncements()), "announcements");
  const bool may_act =
      this->controller != nullptr && this->controller->MayAct();
  if (!announcements.ok() || !may_act) {
    fleet::Answer answer = this->controller == nullptr
                               ? NoController()
                               : this->controller->NotLeaderAnswer();
    rpc::WriteAnswer(announcements.ok()
                         ? answer
                         : fleet::Answer::FromStatus(announcements.status()),
                     context.getResults().initResult());
    return kj::READY_NOW;
  }
  return this->controller->Announce(*std::move(announcements))
      .then([context](const std::vector<fleet::TargetOrders>& orders) mutable {
        rpc::WriteAnswer(fleet::Answer{.document = ToJson(orders)},
                         context.getResults().initResult());
      });
}

kj::Promise<void> PeerService::read(ReadContext context) {
  const bool may_act =
      this->controller != nullptr && this->controller->MayAct();
  fleet::Answer answer = this->controller == nullptr
                             ? NoController()
                             : this->controller->NotLeaderAnswer();
  if (may_act) {
    answer =
        Query(*this->controller, wire::ToString(context.getParams().getKind()),
              wire::ToString(context.getParams().getName()));
  }
  rpc::WriteAnswer(answer, context.getResults().initResult());
  return kj::READY_NOW;
}

kj::Promise<void> PeerService::explainLocal(ExplainLocalContext context) {
  const DecisionId id(wire::ToString(context.getParams().getDecisionId()));
  rpc::WriteAnswer(ExplainLocally(this->entry, id),
                   context.getResults().initResult());
  return kj::READY_NOW;
}

kj::Promise<void> PeerService::whyLocal(WhyLocalContext context) {
  rpc::WriteAnswer(
      WhyLocally(this->entry, wire::ToString(context.getParams().getKind()),
                 wire::ToString(context.getParams().getName())),
      context.getResults().initResult());
  return kj::READY_NOW;
}

kj::Promise<void> PeerService::leader(LeaderContext context) {
  if (this->controller != nullptr) {
    context.getResults().setProcess(this->controller->KnownLeader().value());
  }
  return kj::READY_NOW;
}

kj::Promise<void> PeerService::handOver(HandOverContext context) {
  fleet::Answer answer = NoController();
  if (this->controller != nullptr) {
    answer = fleet::Answer::FromOutcome(this->controller->HandOver(),
                                        "handing over");
  }
  rpc::WriteAnswer(answer, context.getResults().initResult());
  return kj::READY_NOW;
}

kj::Promise<void> PeerService::join(JoinContext context) {
  fleet::Answer answer = NoController();
  if (this->controller != nullptr) {
    const replication::NodeId node(
        wire::ToString(context.getParams().getNode()));
    answer =
        fleet::Answer::FromOutcome(this->controller->Join(node), "accepted");
  }
  rpc::WriteAnswer(answer, context.getResults().initResult());
  return kj::READY_NOW;
}

kj::Promise<void> PeerService::viewState(ViewStateContext context) {
  if (this->follower != nullptr) {
    context.getResults().setHasView(true);
    context.getResults().setVersion(this->follower->current_version());
    context.getResults().setAgeMs(
        static_cast<std::uint64_t>(this->follower->Age().count()));
  }
  return kj::READY_NOW;
}

kj::Promise<void> PeerService::changeController(
    ChangeControllerContext context) {
  fleet::Answer answer = NoController();
  if (this->controller != nullptr) {
    auto params = context.getParams();
    const absl::Status changed = this->controller->ChangeMember(
        wire::ToString(params.getAction()),
        replication::NodeId(wire::ToString(params.getNode())));
    answer = fleet::Answer::FromOutcome(changed, "accepted");
  }
  rpc::WriteAnswer(answer, context.getResults().initResult());
  return kj::READY_NOW;
}

fleet::Answer ExplainLocally(const Entry* entry, const DecisionId& id) {
  const auto decision =
      entry == nullptr ? std::nullopt : entry->FindDecision(id);
  if (!decision) {
    return fleet::Answer{
        .code = ResultCode::kUnknownDecision,
        .message = StrCat("no decision ", id.value(), " is kept here")};
  }
  return fleet::Answer{.document = ToJson(*decision)};
}

fleet::Answer WhyLocally(const Entry* entry,
                         const std::string& kind,
                         const std::string& name) {
  nlohmann::json rows = nlohmann::json::array();
  if (entry != nullptr && kind == NameOf(fleet::SubjectKind::kRequest)) {
    for (const fleet::Decision& decision : entry->FindDecisionsAbout(name)) {
      rows.push_back(ToJson(decision));
    }
  }
  return fleet::Answer{.document = rows};
}

}  // namespace sumac::daemon
