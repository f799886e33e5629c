// SPDX-License-Identifier: Apache-2.0
#include "libraries/routing/router.h"

#include <algorithm>

#include "libraries/base/text.h"
#include "libraries/base/verify.h"

namespace sumac::routing {
namespace {

// When nothing better is known, callers are asked to come back after this.
constexpr Milliseconds kDefaultRetryAfter{250};
// A full line moves on within a few requests' time.
constexpr Milliseconds kRetryAfterFullQueue{40};

fleet::Decision DecisionAbout(const RequestInfo& request, WallTime wall_now) {
  return fleet::Decision{
      .at = wall_now,
      .subject_kind = fleet::SubjectKind::kRequest,
      .subject = request.label,
      .inputs = {{"service", request.service.value()},
                 {"caller", request.caller.value()},
                 {"class", std::string(NameOf(request.request_class))}}};
}

}  // namespace

Router::Router(SharingSettings sharing,
               DecisionRing initial_ring,
               std::uint64_t seed)
    : minion_set(std::move(sharing)),
      ring(std::move(initial_ring)),
      random(seed) {}

bool Router::Update(const fleet::View& view) {
  if (view.version <= this->present.version) {
    return false;
  }
  this->present = view;
  this->minion_set.Update(view);
  return true;
}

const fleet::Service* Router::FindService(const ServiceName& name) const {
  const auto& services = this->present.services;
  const auto found = std::find_if(
      services.begin(), services.end(),
      [&](const fleet::Service& item) { return item.name == name; });
  return found == services.end() ? nullptr : &*found;
}

RouteResult Router::Admit(const RequestInfo& request,
                          SteadyTime now,
                          WallTime wall_now) {
  ++this->open;
  std::uint32_t& open_here =
      this->open_by_caller[{request.service, request.caller}];
  ++open_here;
  const fleet::Service* service = this->FindService(request.service);
  if (service == nullptr) {
    return this->MakeRefusal(request, ResultCode::kUnknownService,
                             "service-not-declared",
                             StrCat("No service ", request.service.value(),
                                    " is declared at revision ",
                                    this->present.revision.value(), "."),
                             Milliseconds(0), wall_now);
  }
  if (open_here > service->most_open_per_caller) {
    return this->MakeRefusal(
        request, ResultCode::kCallerLimit, "caller-limit",
        StrCat("The caller ", request.caller.value(), " has ", open_here - 1,
               " requests open at ", request.service.value(), ", and ",
               service->most_open_per_caller, " are allowed."),
        kDefaultRetryAfter, wall_now);
  }
  this->service_states[request.service].retries.AddFirstTry(
      service->retry_budget);
  if (now >= request.deadline) {
    return this->RefuseLate(request, wall_now);
  }
  // Nobody overtakes a request that waits already.
  if (this->service_states[request.service].line.CountAhead(
          request.request_class) == 0) {
    if (std::optional<SendTo> send =
            this->TrySend(request, {}, now, wall_now)) {
      return *std::move(send);
    }
  }
  return this->WaitOrRefuse(request, {}, *service, now, wall_now);
}

RouteResult Router::Retry(const RequestInfo& request,
                          const std::set<InstanceName>& tried,
                          RetryReason reason,
                          SteadyTime now,
                          WallTime wall_now) {
  const bool has_run = reason == RetryReason::kFailed;
  const fleet::Service* service = this->FindService(request.service);
  const ResultCode failure =
      has_run ? ResultCode::kBrokenAnswer : ResultCode::kOverloaded;
  if (now >= request.deadline) {
    return this->MakeRefusal(
        request,
        has_run ? ResultCode::kDeadlineDuringRun
                : ResultCode::kDeadlineBeforeRun,
        "no-time-left",
        "The deadline has passed, so the request is not tried again.",
        Milliseconds(0), wall_now);
  }
  if (service == nullptr || (has_run && tried.size() > service->most_retries)) {
    return this->MakeRefusal(
        request, failure, "no-tries-left",
        StrCat("The request was tried at ", tried.size(),
               " minions, as often as its service allows."),
        kDefaultRetryAfter, wall_now);
  }
  if (has_run && !this->service_states[request.service].retries.TakeRetry()) {
    return this->MakeRefusal(
        request, failure, "retry-budget-spent",
        StrCat("Too many requests of ", request.service.value(),
               " fail, so that the retry budget is spent and this one is not "
               "tried again."),
        kDefaultRetryAfter, wall_now);
  }
  // A minion that declined may have room again; one that failed is not tried
  // twice.
  const std::set<InstanceName> excluded =
      reason == RetryReason::kDeclined ? std::set<InstanceName>{} : tried;
  if (std::optional<SendTo> send =
          this->TrySend(request, excluded, now, wall_now)) {
    return *std::move(send);
  }
  return this->WaitOrRefuse(request, excluded, *service, now, wall_now);
}

std::optional<SendTo> Router::TrySend(const RequestInfo& request,
                                      const std::set<InstanceName>& tried,
                                      SteadyTime now,
                                      WallTime wall_now) {
  std::optional<Choice> choice =
      this->minion_set.Choose(request.service, tried, now, this->random);
  if (!choice) {
    return std::nullopt;
  }
  fleet::Decision decision = DecisionAbout(request, wall_now);
  decision.outcome = "routed";
  decision.rule = choice->rule;
  decision.alternatives = choice->passed_over;
  decision.inputs.push_back({"view version", StrCat(this->present.version)});
  decision.sentence = StrCat(
      "The request was sent to ", choice->minion.value(), " at ",
      choice->address, tried.empty() ? "." : " after another try failed.");
  return SendTo{*std::move(choice), this->Keep(std::move(decision)).id};
}

RouteResult Router::WaitOrRefuse(const RequestInfo& request,
                                 const std::set<InstanceName>& tried,
                                 const fleet::Service& service,
                                 SteadyTime now,
                                 WallTime wall_now) {
  if (this->minion_set.ExplainNoChoice(request.service, tried, now) ==
      NoChoice::kNoneUsable) {
    return this->MakeRefusal(
        request, ResultCode::kNoMinion, "no-usable-minion",
        StrCat("No minion of ", request.service.value(),
               " can take work: all are gone, leaving, set aside or tried."),
        kDefaultRetryAfter, wall_now);
  }
  ServiceState& state = this->service_states[request.service];
  if (state.line.size() >= service.most_queued) {
    return this->MakeRefusal(
        request, ResultCode::kOverloaded, "line-full",
        StrCat(state.line.size(), " requests of ", request.service.value(),
               " wait already, as many as may wait at one entry."),
        kRetryAfterFullQueue, wall_now);
  }
  state.line.Add(request.number, request.request_class, request.deadline);
  this->waiting_requests[request.number] = WaitingRequest{request, tried};
  return Wait{};
}

void Router::FinishTry(const InstanceName& minion,
                       TryOutcome outcome,
                       std::optional<std::uint32_t> reported_load,
                       SteadyTime now) {
  this->minion_set.Finish(minion, outcome, reported_load, now);
}

void Router::FinishRequest(const RequestInfo& request) {
  VERIFY(this->open > 0);
  --this->open;
  const auto found =
      this->open_by_caller.find({request.service, request.caller});
  if (found != this->open_by_caller.end() && --found->second == 0) {
    this->open_by_caller.erase(found);
  }
}

std::vector<std::pair<RequestNumber, SendTo>> Router::TakeReady(
    SteadyTime now,
    WallTime wall_now) {
  std::vector<std::pair<RequestNumber, SendTo>> ready;
  for (auto& [name, state] : this->service_states) {
    while (const auto next = state.line.Next()) {
      const auto waiting = this->waiting_requests.find(*next);
      VERIFY(waiting != this->waiting_requests.end());
      std::optional<SendTo> send = this->TrySend(
          waiting->second.info, waiting->second.tried, now, wall_now);
      if (!send) {
        break;
      }
      state.line.Serve(*next);
      ready.emplace_back(*next, *std::move(send));
      this->waiting_requests.erase(waiting);
    }
  }
  return ready;
}

bool Router::StopWaiting(RequestNumber request) {
  const auto waiting = this->waiting_requests.find(request);
  if (waiting == this->waiting_requests.end()) {
    return false;
  }
  this->service_states[waiting->second.info.service].line.Remove(request);
  this->waiting_requests.erase(waiting);
  return true;
}

Refuse Router::RefuseLate(const RequestInfo& request, WallTime wall_now) {
  return this->MakeRefusal(
      request, ResultCode::kDeadlineBeforeRun, "deadline-passed",
      "The deadline passed before a minion had a free slot.", Milliseconds(0),
      wall_now);
}

Refuse Router::MakeRefusal(const RequestInfo& request,
                           ResultCode code,
                           std::string rule,
                           std::string sentence,
                           Milliseconds retry_after,
                           WallTime wall_now) {
  fleet::Decision decision = DecisionAbout(request, wall_now);
  decision.outcome = "refused";
  decision.rule = std::move(rule);
  decision.sentence = sentence;
  return Refuse{code, std::move(sentence), retry_after,
                this->Keep(std::move(decision)).id};
}

fleet::Decision& Router::Keep(fleet::Decision decision) {
  this->unlogged.push_back(this->ring.Add(std::move(decision)));
  return this->unlogged.back();
}

}  // namespace sumac::routing
