// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/operator_service.h"

#include <algorithm>
#include <utility>

#include "libraries/base/kj_time.h"
#include "libraries/base/text.h"
#include "libraries/codec/json_reader.h"
#include "libraries/codec/json_writer.h"
#include "libraries/routing/decision_ring.h"
#include "libraries/rpc/answer_codec.h"
#include "libraries/rpc/call.h"
#include "libraries/wire/generated/peer.capnp.h"
#include "libraries/wire/replication_codec.h"
#include "services/sumacd/operator_replies.h"
#include "services/sumacd/peer_service.h"
#include "services/sumacd/queries.h"

namespace sumac::daemon {
namespace {

// The maximum total time of an operator's call.
constexpr Milliseconds kOperatorCallTimeout{5'000};
constexpr Milliseconds kPeerCallTimeout{500};
constexpr Milliseconds kInForcePoll{20};
constexpr std::size_t kMaxDeclarationBytes = 1U << 20;
constexpr std::size_t kMaxJobBytes = 64U << 10;

constexpr ReaderCodes kJobCodes{ResultCode::kBadArgument,
                                ResultCode::kBadArgument};

fleet::Answer TooLarge(std::string_view what, std::size_t most) {
  return fleet::Answer{
      .code = ResultCode::kBadArgument,
      .message = StrCat(what, " is larger than ", most, " bytes")};
}

// Merges the decisions of several processes into one list, newest first.
nlohmann::json MergeDecisions(const std::vector<nlohmann::json>& lists) {
  std::vector<nlohmann::json> rows;
  for (const nlohmann::json& list : lists) {
    rows.insert(rows.end(), list.begin(), list.end());
  }
  std::stable_sort(rows.begin(), rows.end(),
                   [](const nlohmann::json& left, const nlohmann::json& right) {
                     return left.value("at", 0LL) > right.value("at", 0LL);
                   });
  if (rows.size() > kMaxDecisionsShown) {
    rows.resize(kMaxDecisionsShown);
  }
  return rows;
}

// Answers methods that only a system that finds itself from seeds supports.
fleet::Answer NoEvacuations() {
  return {.code = ResultCode::kBadArgument,
          .message =
              "a system with a list of processes takes no data centre "
              "out of use; drain its instances"};
}

}  // namespace

template <typename Context>
kj::Promise<void> OperatorService::Commit(Context context,
                                          fleet::Command command) {
  return ReplyWith(context, this->parts.leader.Propose(std::move(command),
                                                       kOperatorCallTimeout));
}

template <typename Context>
kj::Promise<void> OperatorService::Ask(Context context,
                                       const std::string& kind,
                                       const std::string& name) {
  return ReplyWith(context,
                   this->parts.leader.Read(kind, name, kOperatorCallTimeout));
}

template <typename Context>
kj::Promise<void> OperatorService::Operate(Context context,
                                           fleet::InstanceRequest request,
                                           const std::string& pool) {
  auto params = context.getParams();
  return this->Commit(
      context,
      fleet::OperateInstance{rpc::ReadIdentity(params.getIdentity()), request,
                             InstanceName(wire::ToString(params.getInstance())),
                             PoolName(pool)});
}

kj::Promise<void> OperatorService::apply(ApplyContext context) {
  auto params = context.getParams();
  if (params.getDeclaration().size() > kMaxDeclarationBytes) {
    return Reply(context, TooLarge("the declaration", kMaxDeclarationBytes));
  }
  auto declaration = fleet::ParseDeclaration(
      wire::ToString(params.getDeclaration()), "declaration");
  if (!declaration.ok()) {
    return Reply(context, fleet::Answer::FromStatus(declaration.status()));
  }
  return this->Commit(
      context, fleet::ApplyDeclaration{rpc::ReadIdentity(params.getIdentity()),
                                       Revision(params.getExpectedRevision()),
                                       *std::move(declaration)});
}

kj::Promise<void> OperatorService::diff(DiffContext context) {
  return this->Ask(context, "diff",
                   wire::ToString(context.getParams().getDeclaration()));
}

kj::Promise<void> OperatorService::get(GetContext context) {
  const std::string kind = wire::ToString(context.getParams().getKind());
  return this->Ask(context, kind,
                   wire::ToString(context.getParams().getName()));
}

kj::Promise<void> OperatorService::drain(DrainContext context) {
  return this->Operate(context, fleet::InstanceRequest::kDrain, "");
}

kj::Promise<void> OperatorService::undrain(UndrainContext context) {
  return this->Operate(context, fleet::InstanceRequest::kUndrain, "");
}

kj::Promise<void> OperatorService::reboot(RebootContext context) {
  return this->Operate(context, fleet::InstanceRequest::kReboot, "");
}

kj::Promise<void> OperatorService::move(MoveContext context) {
  return this->Operate(context, fleet::InstanceRequest::kMove,
                       wire::ToString(context.getParams().getPool()));
}

kj::Promise<void> OperatorService::submitJob(SubmitJobContext context) {
  auto params = context.getParams();
  if (params.getJob().size() > kMaxJobBytes) {
    return Reply(context, TooLarge("the job", kMaxJobBytes));
  }
  const auto json = ParseJson(wire::ToString(params.getJob()), "job",
                              ResultCode::kBadArgument);
  if (!json.ok()) {
    return Reply(context, fleet::Answer::FromStatus(json.status()));
  }
  auto spec =
      FromJson<fleet::JobSpec>(*json, "job", UnknownKeys::kRefuse, kJobCodes);
  if (!spec.ok()) {
    return Reply(context, fleet::Answer::FromStatus(spec.status()));
  }
  return this->Commit(context,
                      fleet::SubmitJob{rpc::ReadIdentity(params.getIdentity()),
                                       *std::move(spec)});
}

kj::Promise<void> OperatorService::cancelJob(CancelJobContext context) {
  auto params = context.getParams();
  return this->Commit(context,
                      fleet::CancelJob{rpc::ReadIdentity(params.getIdentity()),
                                       JobId(wire::ToString(params.getJob()))});
}

kj::Promise<fleet::Answer> OperatorService::ExplainAt(
    const ProcessName& process,
    const DecisionId& id) {
  if (process == this->parts.settings.process) {
    return ExplainLocally(this->parts.entry, id);
  }
  rpc::Channel* channel = this->parts.peers.Find(process);
  if (channel == nullptr) {
    return fleet::Answer{.code = ResultCode::kUnknownDecision,
                         .message = StrCat("no process ", process.value())};
  }
  auto request = channel->Get<wire::Peer>().explainLocalRequest();
  request.setDecisionId(id.value());
  return rpc::CallForAnswer(*channel, kPeerCallTimeout, request)
      .catch_([process](kj::Exception&& exception) {
        return fleet::Answer{
            .code = ResultCode::kUnreachable,
            .message = StrCat("the process ", process.value(),
                              " that took this decision does not answer: ",
                              exception.getDescription().cStr())};
      });
}

kj::Promise<void> OperatorService::explain(ExplainContext context) {
  const DecisionId id(wire::ToString(context.getParams().getDecisionId()));
  const auto process = routing::DecisionRing::ProcessOf(id);
  if (!process) {
    return this->Ask(context, "decision", id.value());
  }
  return ReplyWith(context, this->ExplainAt(*process, id));
}

kj::Promise<fleet::Answer> OperatorService::WhyAt(const ProcessName& process,
                                                  const std::string& kind,
                                                  const std::string& name) {
  if (process == this->parts.settings.process) {
    return WhyLocally(this->parts.entry, kind, name);
  }
  rpc::Channel* channel = this->parts.peers.Find(process);
  auto request = channel->Get<wire::Peer>().whyLocalRequest();
  request.setKind(kind);
  request.setName(name);
  return rpc::CallForAnswer(*channel, kPeerCallTimeout, request)
      .catch_([](kj::Exception&& /*exception*/) {
        return fleet::Answer{.code = ResultCode::kUnreachable};
      });
}

kj::Promise<void> OperatorService::why(WhyContext context) {
  const std::string kind = wire::ToString(context.getParams().getKind());
  const std::string name = wire::ToString(context.getParams().getName());
  auto asked = kj::heapArrayBuilder<kj::Promise<fleet::Answer>>(
      this->parts.peers.all().size() + 1);
  asked.add(this->parts.leader.Read(StrCat("why-", kind), name,
                                    kOperatorCallTimeout));
  for (const ProcessName& process : this->parts.peers.all()) {
    asked.add(this->WhyAt(process, kind, name));
  }
  return kj::joinPromises(asked.finish())
      .then([context](kj::Array<fleet::Answer>&& answers) mutable {
        fleet::Answer answer = answers[0];
        std::vector<nlohmann::json> lists;
        std::size_t silent = 0;
        for (const fleet::Answer& part : answers) {
          part.is_ok() ? lists.push_back(part.document)
                       : static_cast<void>(++silent);
        }
        answer.document = MergeDecisions(lists);
        if (silent > 0 && answer.is_ok()) {
          answer.message = StrCat(
              silent, " processes did not answer; their decisions are missing");
        }
        rpc::WriteAnswer(answer, context.getResults().initResult());
      });
}

nlohmann::json OperatorService::DescribeProcess() const {
  const Settings& settings = this->parts.settings;
  nlohmann::json document = {
      {"process", settings.process.value()},
      {"data_centre", settings.self().data_centre.value()},
      {"leader", this->parts.leader.leader().value()}};
  if (this->parts.follower != nullptr) {
    document["view_version"] = this->parts.follower->current_version();
    document["view_age_ms"] = this->parts.follower->Age().count();
  }
  if (this->parts.entry != nullptr) {
    document["requests_open"] = this->parts.entry->CountOpen();
  }
  if (const Controller* controller = this->parts.controller) {
    const replication::Replica& replica = controller->replica();
    document["controller"] = {
        {"node", replica.self().value()},
        {"role",
         replica.role() == replication::Role::kLeader ? "leader" : "follower"},
        {"may_act", controller->MayAct()},
        {"term", replica.term().value()},
        {"commit_index", replica.commit_index().value()},
        {"last_index", replica.last_index().value()},
        {"snapshot_index", replica.snapshot_index().value()},
        {"revision", controller->state().record().revision.value()},
        {"disk_full", controller->is_disk_full()}};
  }
  return document;
}

kj::Promise<void> OperatorService::status(StatusContext context) {
  return Reply(context, fleet::Answer{.document = this->DescribeProcess()});
}

kj::Promise<void> OperatorService::handOver(HandOverContext context) {
  const ProcessName leader = this->parts.leader.leader();
  if (this->parts.controller != nullptr && this->parts.controller->MayAct()) {
    const absl::Status status = this->parts.controller->HandOver();
    return Reply(context, status.ok() ? fleet::Answer::Success("handing over")
                                      : fleet::Answer::FromStatus(status));
  }
  rpc::Channel* channel = this->parts.peers.Find(leader);
  if (channel == nullptr) {
    return Reply(context, fleet::Answer{.code = ResultCode::kNoLeader,
                                        .message = "no leader is known here"});
  }
  return channel
      ->Guard(
          kPeerCallTimeout,
          channel->Get<wire::Peer>().handOverRequest().send().ignoreResult())
      .then([context]() mutable {
        return Reply(context, fleet::Answer::Success("handing over"));
      });
}

kj::Promise<fleet::Answer> OperatorService::ChangeControllerAt(
    const ProcessName& process,
    const std::string& action,
    const std::string& node) {
  rpc::Channel* channel = this->parts.peers.Find(process);
  auto request = channel->Get<wire::Peer>().changeControllerRequest();
  request.setAction(action);
  request.setNode(node);
  return rpc::CallForAnswer(*channel, kPeerCallTimeout, request)
      .catch_([](kj::Exception&& /*exception*/) {
        return fleet::Answer{.code = ResultCode::kNotLeader};
      });
}

// Calls all controllers; only the leader carries out the change.
kj::Promise<void> OperatorService::changeController(
    ChangeControllerContext context) {
  const std::string action = wire::ToString(context.getParams().getAction());
  const std::string node = wire::ToString(context.getParams().getNode());
  const auto& controllers = this->parts.peers.controllers();
  auto asked =
      kj::heapArrayBuilder<kj::Promise<fleet::Answer>>(controllers.size());
  for (const ProcessName& process : controllers) {
    asked.add(this->ChangeControllerAt(process, action, node));
  }
  return kj::joinPromises(asked.finish())
      .then([context](kj::Array<fleet::Answer>&& answers) mutable {
        fleet::Answer chosen{.code = ResultCode::kNoLeader,
                             .message = "no controller leads now"};
        for (const fleet::Answer& answer : answers) {
          if (answer.code != ResultCode::kNotLeader) {
            chosen = answer;
          }
        }
        rpc::WriteAnswer(chosen, context.getResults().initResult());
      });
}

kj::Promise<OperatorService::EntryView> OperatorService::AskView(
    const ProcessName& process) {
  rpc::Channel* channel = this->parts.peers.Find(process);
  return channel
      ->Guard(kPeerCallTimeout,
              channel->Get<wire::Peer>().viewStateRequest().send().then(
                  [process](auto&& response) {
                    return EntryView{process, true, response.getVersion()};
                  }))
      .catch_([process](kj::Exception&& /*exception*/) {
        return EntryView{process};
      });
}

// Polls all entries until each one that responds has the version, or until the
// deadline.
kj::Promise<fleet::Answer> OperatorService::AwaitInForce(std::uint64_t version,
                                                         SteadyTime deadline) {
  auto asked = kj::Vector<kj::Promise<EntryView>>();
  for (const ProcessSettings& process : this->parts.settings.processes) {
    if (process.roles.contains(ProcessRole::kEntry)) {
      asked.add(this->AskView(process.name));
    }
  }
  return kj::joinPromises(asked.releaseAsArray())
      .then([this, version, deadline](
                kj::Array<EntryView>&& views) -> kj::Promise<fleet::Answer> {
        nlohmann::json document = {{"in_force", nlohmann::json::array()},
                                   {"behind", nlohmann::json::array()},
                                   {"silent", nlohmann::json::array()}};
        for (const EntryView& view : views) {
          const char* list = !view.has_answered        ? "silent"
                             : view.version >= version ? "in_force"
                                                       : "behind";
          document[list].push_back(view.process.value());
        }
        const bool is_done = document["behind"].empty();
        if (is_done || SystemClock().SteadyNow() >= deadline) {
          return fleet::Answer{
              .code = is_done ? ResultCode::kOk : ResultCode::kTimeout,
              .message = StrCat("in force at ", document["in_force"].size(),
                                " entries, behind: ", document["behind"].dump(),
                                ", silent: ", document["silent"].dump()),
              .document = document};
        }
        return this->parts.timer.afterDelay(ToKj(kInForcePoll))
            .then([this, version, deadline] {
              return this->AwaitInForce(version, deadline);
            });
      });
}

kj::Promise<void> OperatorService::evacuate(EvacuateContext context) {
  return Reply(context, NoEvacuations());
}

kj::Promise<void> OperatorService::restore(RestoreContext context) {
  return Reply(context, NoEvacuations());
}

kj::Promise<void> OperatorService::inForce(InForceContext context) {
  const SteadyTime deadline =
      SystemClock().SteadyNow() + Milliseconds(context.getParams().getWaitMs());
  return ReplyWith(
      context, this->AwaitInForce(context.getParams().getVersion(), deadline));
}

}  // namespace sumac::daemon
