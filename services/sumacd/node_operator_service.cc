// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/node_operator_service.h"

#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/codec/json_reader.h"
#include "libraries/log/json_log.h"
#include "libraries/wire/replication_codec.h"
#include "services/sumacd/data_centre_queries.h"
#include "services/sumacd/operator_replies.h"

namespace sumac::daemon {
namespace {

// The maximum total time of an operator's call.
constexpr Milliseconds kOperatorCallTimeout{5'000};
// The maximum time of each step of an order about a data centre.
constexpr Milliseconds kDataCentreCallTimeout{850};
constexpr std::size_t kMaxJobBytes = 256U << 10;
constexpr ReaderCodes kJobCodes{ResultCode::kBadArgument,
                                ResultCode::kBadArgument};

// A job as operators submit it.
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

// Refuses a method that only a system with a list of processes supports.
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

// NOTE: The operator chooses the job's id, so a resend has no further effect.
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

// NOTE: An operator that is gone cancels the call, and the order with it, so
// that a copy of an order that nobody waits for is not carried out.
kj::Promise<void> NodeOperatorService::evacuate(EvacuateContext context) {
  auto params = context.getParams();
  const DataCentre data_centre(wire::ToString(params.getDataCentre()));
  context.allowCancellation();
  if (params.getForce()) {
    return ReplyWith(context,
                     this->ChangeDataCentre(params.getIdentity(), data_centre,
                                            jobs::DataCentreUse::kEvacuated));
  }
  auto change_unless_harmful =
      [this, context, data_centre](
          const fleet::Answer& shown) mutable -> kj::Promise<fleet::Answer> {
    const std::string loss = shown.is_ok() && !shown.document.empty()
                                 ? DescribeLoss(shown.document.front())
                                 : "";
    if (!loss.empty()) {
      return fleet::Answer{.code = ResultCode::kWrongState,
                           .message = StrCat(loss, "; --force does it anyway")};
    }
    return this->ChangeDataCentre(context.getParams().getIdentity(),
                                  data_centre, jobs::DataCentreUse::kEvacuated);
  };
  return ReplyWith(context,
                   this->link
                       .Ask(jobs::Show{"data-centres", data_centre.value()},
                            kDataCentreCallTimeout)
                       .then(std::move(change_unless_harmful)));
}

kj::Promise<void> NodeOperatorService::restore(RestoreContext context) {
  auto params = context.getParams();
  context.allowCancellation();
  return ReplyWith(
      context,
      this->ChangeDataCentre(params.getIdentity(),
                             DataCentre(wire::ToString(params.getDataCentre())),
                             jobs::DataCentreUse::kInUse));
}

// NOTE: An entry has no SuspensionWatch, so it could not tell an old copy of an
// order from a recent one.
kj::Promise<fleet::Answer> NodeOperatorService::ChangeDataCentre(
    wire::Identity::Reader identity,
    const DataCentre& data_centre,
    jobs::DataCentreUse use) {
  if (this->data_centre_orders == nullptr) {
    return fleet::Answer{.code = ResultCode::kWrongState,
                         .message =
                             "an entry takes no orders about data centres, "
                             "a controller does"};
  }
  return this->data_centre_orders->Change(
      {.data_centre = data_centre,
       .use = use,
       .requested_by = StrCat(wire::ToString(identity.getOperatorName()), " ",
                              wire::ToString(identity.getRequestId()))},
      kDataCentreCallTimeout, this->clock.SteadyNow());
}

}  // namespace sumac::daemon
