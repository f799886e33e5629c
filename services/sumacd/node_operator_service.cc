// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/node_operator_service.h"

#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/codec/json_reader.h"
#include "libraries/log/json_log.h"
#include "libraries/wire/replication_codec.h"
#include "services/sumacd/operator_replies.h"

namespace sumac::daemon {
namespace {

// How long an operator's call may take in all.
constexpr Milliseconds kOperatorCallTimeout{5'000};
constexpr std::size_t kMaxJobBytes = 256U << 10;
constexpr ReaderCodes kJobCodes{ResultCode::kBadArgument,
                                ResultCode::kBadArgument};

// A job as operators write it.
struct SubmittedJob {
  JobId id;
  QueueName queue;
  jobs::JobSpec spec;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("id", self.id);
    visitor.Required("queue", self.queue);
    visitor.Required("spec", self.spec);
  }
};

absl::StatusOr<SubmittedJob> ReadSubmittedJob(const std::string& text) {
  if (text.size() > kMaxJobBytes) {
    return MakeError(ResultCode::kBadArgument,
                     StrCat("the job is larger than ", kMaxJobBytes, " bytes"));
  }
  const nlohmann::json json =
      TRY(ParseJson(text, "job", ResultCode::kBadArgument));
  SubmittedJob job =
      TRY(FromJson<SubmittedJob>(json, "job", UnknownKeys::kRefuse, kJobCodes));
  TRY(jobs::CheckJobSpec(job.spec));
  return job;
}

// What only a system with a list of processes has.
template <typename Context>
kj::Promise<void> RefuseMethod(Context context) {
  return Reply(
      context,
      fleet::Answer{.code = ResultCode::kBadArgument,
                    .message = "a system that finds itself from seeds does "
                               "not have this command"});
}

template <typename Params>
void LogCommand(const char* event, Params params, const JobId& job) {
  LogEvent(
      LogLevel::kInfo, event,
      {{"operator", wire::ToString(params.getIdentity().getOperatorName())},
       {"request", wire::ToString(params.getIdentity().getRequestId())},
       {"job", job.value()}});
}

}  // namespace

kj::Promise<void> NodeOperatorService::get(GetContext context) {
  auto params = context.getParams();
  return ReplyWith(context,
                   this->link.Ask(jobs::Show{wire::ToString(params.getKind()),
                                             wire::ToString(params.getName())},
                                  kOperatorCallTimeout));
}

// NOTE: The job's id is the operator's and makes a resend harmless.
kj::Promise<void> NodeOperatorService::submitJob(SubmitJobContext context) {
  auto params = context.getParams();
  absl::StatusOr<SubmittedJob> job =
      ReadSubmittedJob(wire::ToString(params.getJob()));
  if (!job.ok()) {
    return Reply(context, fleet::Answer::FromStatus(job.status()));
  }
  LogCommand("operator-submits", params, job->id);
  return ReplyWith(
      context, this->link.Ask(jobs::Commit{jobs::SubmitJob{
                                  job->id, job->queue, std::move(job->spec)}},
                              kOperatorCallTimeout));
}

kj::Promise<void> NodeOperatorService::cancelJob(CancelJobContext context) {
  auto params = context.getParams();
  const JobId job(wire::ToString(params.getJob()));
  LogCommand("operator-cancels", params, job);
  return ReplyWith(context, this->link.Ask(jobs::Commit{jobs::CancelJob{job}},
                                           kOperatorCallTimeout));
}

kj::Promise<void> NodeOperatorService::status(StatusContext context) {
  nlohmann::json document = {{"process", this->settings.process().value()},
                             {"label", this->settings.label},
                             {"role", NameOf(this->settings.role)}};
  if (this->controller != nullptr) {
    const ReplicaHost& host = this->controller->replica_host();
    document["leads"] = this->controller->is_leading();
    document["leader"] = host.KnownLeader().value();
    document["applied_index"] = host.applied_index().value();
    document["epoch"] = this->controller->state().epoch().value();
  }
  return Reply(context, fleet::Answer{.document = std::move(document)});
}

kj::Promise<void> NodeOperatorService::handOver(HandOverContext context) {
  if (this->controller == nullptr) {
    return RefuseMethod(context);
  }
  return Reply(context, fleet::Answer::FromOutcome(this->controller->HandOver(),
                                                   "accepted"));
}

kj::Promise<void> NodeOperatorService::apply(ApplyContext context) {
  return RefuseMethod(context);
}
kj::Promise<void> NodeOperatorService::diff(DiffContext context) {
  return RefuseMethod(context);
}
kj::Promise<void> NodeOperatorService::drain(DrainContext context) {
  return RefuseMethod(context);
}
kj::Promise<void> NodeOperatorService::undrain(UndrainContext context) {
  return RefuseMethod(context);
}
kj::Promise<void> NodeOperatorService::reboot(RebootContext context) {
  return RefuseMethod(context);
}
kj::Promise<void> NodeOperatorService::move(MoveContext context) {
  return RefuseMethod(context);
}
kj::Promise<void> NodeOperatorService::explain(ExplainContext context) {
  return RefuseMethod(context);
}
kj::Promise<void> NodeOperatorService::why(WhyContext context) {
  auto params = context.getParams();
  const std::string kind = wire::ToString(params.getKind());
  return ReplyWith(context,
                   this->link.Ask(jobs::Show{StrCat("why-", kind),
                                             wire::ToString(params.getName())},
                                  kOperatorCallTimeout));
}
kj::Promise<void> NodeOperatorService::changeController(
    ChangeControllerContext context) {
  return RefuseMethod(context);
}
kj::Promise<void> NodeOperatorService::inForce(InForceContext context) {
  return RefuseMethod(context);
}

}  // namespace sumac::daemon
