// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/entry.h"

#include <algorithm>
#include <random>
#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/codec/json_reader.h"
#include "libraries/codec/json_writer.h"
#include "libraries/fleet/idempotency.h"
#include "libraries/log/json_log.h"

namespace sumac::daemon {
namespace {

using http::CallerAnswer;
using http::CallerRequest;
using http::TryResult;
using routing::Refuse;
using routing::RetryReason;
using routing::RouteResult;
using routing::SendTo;
using routing::TryOutcome;

constexpr std::size_t kMaxStoredDecisions = 10'000;
// The controllers store the answers of non-repeatable requests, so they must
// not be large.
constexpr std::uint32_t kMaxStoredAnswerBytes = 256 * 1024;
// A claim that is not committed within this time is refused; the request then
// has not run.
constexpr Milliseconds kClaimTimeout{2'000};
// The maximum time for which recording the outcome of a claimed request delays
// its answer.
constexpr Milliseconds kFinishClaimTimeout{1'000};
// The interval at which waiting requests are checked for minions whose pause
// has ended.
constexpr Milliseconds kWakeInterval{5};
// The bits of an attempt number below the start time in milliseconds. The
// numbers of two starts could overlap only after more than 2^20 requests per
// millisecond between them.
constexpr unsigned kAttemptBits = 20;

std::uint64_t StartTimeInMilliseconds(const SystemClock& clock) {
  return static_cast<std::uint64_t>(clock.Now().time_since_epoch().count());
}

routing::SharingSettings ToSharingSettings(const Settings& settings) {
  routing::SharingSettings sharing;
  sharing.data_centre = settings.self().data_centre;
  sharing.entries = settings.CountEntries();
  sharing.slot_overcommit = settings.routing.slot_overcommit;
  return sharing;
}

std::string CounterName(std::string_view name,
                        const ServiceName& service,
                        ResultCode code) {
  return StrCat("sumac_", name, "{service=\"", service.value(), "\",code=\"",
                static_cast<int>(code), "\"}");
}

}  // namespace

Entry::Entry(const Settings& settings, CoreLink& core, http::Metrics& metrics)
    : settings(settings),
      core(core),
      metrics(metrics),
      start(StartTimeInMilliseconds(this->clock)),
      router(ToSharingSettings(settings),
             routing::DecisionRing(settings.process,
                                   this->start,
                                   kMaxStoredDecisions),
             std::random_device()()),
      wake_thread([this] { this->WakeLoop(); }),
      probe_thread([this] { this->ProbeLoop(); }) {}

Entry::~Entry() {
  {
    const std::scoped_lock lock(this->mutex, this->stop_mutex);
    this->is_stopping = true;
  }
  this->stop_wake.notify_all();
  this->wake_needed.notify_all();
  this->wake_thread.join();
  this->probe_thread.join();
}

CallerAnswer Entry::Run(const CallerRequest& request) {
  const SteadyTime began = this->clock.SteadyNow();
  CallerAnswer answer;
  if (std::optional<CallerAnswer> problem = this->CheckRequest(request)) {
    answer = *std::move(problem);
  } else {
    Progress progress = this->MakeProgress(request);
    answer = this->RunAdmitted(request, progress);
    const std::lock_guard lock(this->mutex);
    this->router.FinishRequest(progress.info);
  }
  this->metrics.Count(
      CounterName("requests_total", request.service, answer.code));
  this->metrics.Observe(
      StrCat("sumac_request_ms{service=\"", request.service.value(), "\"}"),
      static_cast<double>((this->clock.SteadyNow() - began).count()));
  return answer;
}

// Returns an error answer if the request itself is invalid.
std::optional<CallerAnswer> Entry::CheckRequest(
    const CallerRequest& request) const {
  const auto fail = [](ResultCode code, std::string_view message) {
    return http::MakeErrorAnswer(code, message, DecisionId(), Milliseconds(0));
  };
  const std::lock_guard lock(this->mutex);
  if (this->router.view().version == 0) {
    return fail(ResultCode::kNoMinion,
                "this entry has not heard from the controllers yet");
  }
  const fleet::Service* service = this->router.FindService(request.service);
  if (service == nullptr) {
    return fail(ResultCode::kUnknownService,
                StrCat("no service ", request.service.value(), " is declared"));
  }
  if (request.body.size() > service->most_body_bytes) {
    return fail(ResultCode::kBodyTooLarge,
                StrCat("the body has ", request.body.size(), " bytes; ",
                       service->most_body_bytes, " are allowed"));
  }
  if (!service->repeatable) {
    const auto made_at = fleet::TimeOfKey(request.key);
    if (!made_at.ok()) {
      return fail(ResultCode::kBadIdempotencyKey,
                  FromAbsl(made_at.status().message()));
    }
  }
  return std::nullopt;
}

Entry::Progress Entry::MakeProgress(const CallerRequest& request) {
  const std::uint64_t number = this->next_number++;
  const std::lock_guard lock(this->mutex);
  const fleet::Service* service = this->router.FindService(request.service);
  // The service existed when the request was checked; if it has been removed
  // since, Admit refuses the request.
  const fleet::Service defaults;
  const fleet::Service& declared = service == nullptr ? defaults : *service;
  Progress progress;
  progress.attempt = (this->start << kAttemptBits) + number;
  progress.info.number = number;
  progress.info.label =
      request.key.value().empty()
          ? StrCat(this->settings.process.value(), "-", progress.attempt)
          : request.key.value();
  progress.info.service = request.service;
  progress.info.caller = request.caller;
  progress.info.request_class =
      request.request_class.value_or(declared.request_class);
  progress.info.is_repeatable = declared.repeatable;
  progress.info.deadline =
      this->clock.SteadyNow() + request.deadline.value_or(declared.deadline);
  return progress;
}

CallerAnswer Entry::RunAdmitted(const CallerRequest& request,
                                Progress& progress) {
  std::optional<RetryReason> reason;
  while (true) {
    NextStep next_step = this->AwaitNextStep(progress, reason);
    if (const auto* refusal = std::get_if<Refuse>(&next_step)) {
      return this->AnswerRefusal(request, progress, *refusal);
    }
    const SendTo& send = std::get<SendTo>(next_step);
    std::optional<CallerAnswer> final_answer;
    const TryResult result =
        this->TryOnce(request, progress, send, final_answer);
    if (final_answer) {
      return *std::move(final_answer);
    }
    if (result.outcome == TryOutcome::kAnswered) {
      if (progress.is_claimed) {
        this->FinishClaim(request, progress, fleet::ClaimState::kAnswered,
                          result.answer);
      }
      return CallerAnswer{result.answer.status,
                          ResultCode::kOk,
                          send.decision,
                          Milliseconds(0),
                          result.answer.content_type,
                          result.answer.body};
    }
    progress.tried.insert(send.choice.minion);
    if (!result.is_not_run && !progress.info.is_repeatable) {
      return this->AnswerUnknown(request, progress, result, send.decision);
    }
    if (!result.is_not_run) {
      reason = RetryReason::kFailed;
    } else {
      reason = result.outcome == TryOutcome::kDeclined ? RetryReason::kDeclined
                                                       : RetryReason::kNotSent;
    }
  }
}

Entry::NextStep Entry::AwaitNextStep(const Progress& progress,
                                     std::optional<RetryReason> reason) {
  NextStep next_step = this->AwaitNextStepLocked(progress, reason);
  this->LogNewDecisions();
  return next_step;
}

// Asks the router where the request may go and waits if it has to. The lock is
// held from the question until the wait; otherwise a grant in between would be
// lost.
Entry::NextStep Entry::AwaitNextStepLocked(const Progress& progress,
                                           std::optional<RetryReason> reason) {
  std::unique_lock lock(this->mutex);
  const SteadyTime now = this->clock.SteadyNow();
  RouteResult route =
      reason ? this->router.Retry(progress.info, progress.tried, *reason, now,
                                  this->clock.Now())
             : this->router.Admit(progress.info, now, this->clock.Now());
  if (auto* send = std::get_if<SendTo>(&route)) {
    return NextStep(std::move(*send));
  }
  if (auto* refusal = std::get_if<Refuse>(&route)) {
    return NextStep(std::move(*refusal));
  }
  Waiter waiter;
  this->waiters[progress.info.number] = &waiter;
  this->wake_needed.notify_one();
  const Milliseconds left =
      std::max(progress.info.deadline - now, Milliseconds(0));
  waiter.wake.wait_for(lock, left,
                       [&waiter] { return waiter.send.has_value(); });
  this->waiters.erase(progress.info.number);
  if (waiter.send) {
    return NextStep(*std::move(waiter.send));
  }
  this->router.StopWaiting(progress.info.number);
  Refuse refusal = this->router.RefuseLate(progress.info, this->clock.Now());
  return NextStep(std::move(refusal));
}

// Wakes the threads whose requests may be sent now. Must be called with the
// lock held.
void Entry::WakeReady() {
  for (auto& [number, send] :
       this->router.TakeReady(this->clock.SteadyNow(), this->clock.Now())) {
    const auto waiter = this->waiters.find(number);
    if (waiter != this->waiters.end()) {
      waiter->second->send = std::move(send);
      waiter->second->wake.notify_one();
    }
  }
}

// Commits the claim of a non-repeatable request. Returns the final answer if
// the request must not be sent.
std::optional<CallerAnswer> Entry::Claim(const CallerRequest& request,
                                         Progress& progress,
                                         const DecisionId& decision) {
  const Milliseconds left = progress.info.deadline - this->clock.SteadyNow();
  const fleet::Answer answer = this->core.Propose(
      fleet::ClaimRequest{request.key, http::DigestOf(request),
                          this->settings.process, progress.attempt,
                          std::max(left, Milliseconds(0))},
      std::min(left, kClaimTimeout));
  // If the deadline passed while the claim was committed, the claim is held but
  // nothing is sent.
  if (answer.is_ok() && answer.document.is_null()) {
    progress.is_claimed = true;
    if (this->clock.SteadyNow() < progress.info.deadline) {
      return std::nullopt;
    }
    this->FinishClaim(request, progress, fleet::ClaimState::kNotRun, {});
    return http::MakeErrorAnswer(
        ResultCode::kDeadlineBeforeRun,
        "the deadline passed while the claim was committed", decision,
        Milliseconds(0));
  }
  return this->AnswerFromClaim(answer, decision);
}

CallerAnswer Entry::AnswerFromClaim(const fleet::Answer& answer,
                                    const DecisionId& decision) {
  if (answer.is_ok()) {
    const auto claim = FromOwnJson<fleet::Claim>(answer.document, "claim");
    if (claim.ok()) {
      return CallerAnswer{claim->answer.http_status,
                          ResultCode::kOk,
                          decision,
                          Milliseconds(0),
                          claim->answer.content_type,
                          claim->answer.body};
    }
    return http::MakeErrorAnswer(ResultCode::kOutcomeUnknown,
                                 "the kept answer can't be read", decision,
                                 Milliseconds(0));
  }
  const bool is_about_request =
      InfoFor(answer.code).effect != RunEffect::kNotARequest;
  if (is_about_request) {
    constexpr Milliseconds kAskAgainAfter{200};
    const bool is_running = answer.code == ResultCode::kStillRunning;
    return http::MakeErrorAnswer(answer.code, answer.message, decision,
                                 is_running ? kAskAgainAfter : Milliseconds(0));
  }
  constexpr Milliseconds kRetryAfter{500};
  return http::MakeErrorAnswer(ResultCode::kClaimRefused, answer.message,
                               decision, kRetryAfter);
}

void Entry::FinishClaim(const CallerRequest& request,
                        const Progress& progress,
                        fleet::ClaimState state,
                        const http::MinionAnswer& answer) {
  const fleet::Answer kept = this->core.Propose(
      fleet::FinishClaim{
          request.key, this->settings.process, progress.attempt, state,
          fleet::KeptAnswer{answer.status, answer.content_type, answer.body}},
      kFinishClaimTimeout);
  if (!kept.is_ok()) {
    LogEvent(LogLevel::kWarning, "claim-not-finished",
             {{"key", request.key.value()},
              {"state", NameOf(state)},
              {"code", static_cast<int>(kept.code)},
              {"error", kept.message}});
  }
}

// Tries the request once at one minion. Sets `final_answer` if the claim shows
// that nothing must be sent.
TryResult Entry::TryOnce(const CallerRequest& request,
                         Progress& progress,
                         const SendTo& send,
                         std::optional<CallerAnswer>& final_answer) {
  const std::string& address = send.choice.address;
  const bool is_repeatable = progress.info.is_repeatable;
  std::uint32_t most_answer_bytes = this->settings.doors.most_body_bytes;
  if (!is_repeatable) {
    most_answer_bytes = std::min(most_answer_bytes, kMaxStoredAnswerBytes);
  }
  TryResult result;
  // The connection is opened before the claim is made, so that few claims are
  // made in vain. A request that must not run twice gets a new connection,
  // which no minion is about to close.
  http::MinionClient::Connection connection =
      this->client.Connect(address, !is_repeatable, progress.info.deadline);
  if (connection == nullptr) {
    result.outcome = TryOutcome::kUnreachable;
    result.is_not_run = true;
    this->FinishTry(send.choice.minion, result);
    return result;
  }
  if (!is_repeatable && !progress.is_claimed) {
    final_answer = this->Claim(request, progress, send.decision);
    if (final_answer) {
      result.outcome = TryOutcome::kAbandoned;
      this->FinishTry(send.choice.minion, result);
      return result;
    }
  }
  const http::MinionRequest sent{
      request.method,
      request.target,
      request.service.value(),
      StrCat(this->settings.process.value(), "-", progress.attempt, "-",
             progress.tried.size()),
      request.content_type,
      request.body};
  result = this->client.Exchange(address, std::move(connection), sent,
                                 most_answer_bytes, progress.info.deadline);
  this->FinishTry(send.choice.minion, result);
  if (result.outcome != TryOutcome::kAnswered) {
    LogEvent(LogLevel::kInfo, "try-failed",
             {{"request", progress.info.label},
              {"minion", send.choice.minion.value()},
              {"is_not_run", result.is_not_run},
              {"detail", result.detail}});
  }
  return result;
}

void Entry::FinishTry(const InstanceName& minion, const TryResult& result) {
  const std::lock_guard lock(this->mutex);
  const SteadyTime now = this->clock.SteadyNow();
  this->router.FinishTry(minion, result.outcome, result.reported_load, now);
  if (result.is_leaving) {
    this->router.minions().MarkLeaving(minion, now);
  }
  this->WakeReady();
}

CallerAnswer Entry::AnswerRefusal(const CallerRequest& request,
                                  const Progress& progress,
                                  const Refuse& refusal) {
  if (progress.is_claimed) {
    this->FinishClaim(request, progress, fleet::ClaimState::kNotRun, {});
  }
  return http::MakeErrorAnswer(refusal.code, refusal.message, refusal.decision,
                               refusal.retry_after);
}

CallerAnswer Entry::AnswerUnknown(const CallerRequest& request,
                                  const Progress& progress,
                                  const TryResult& result,
                                  const DecisionId& decision) {
  this->FinishClaim(request, progress, fleet::ClaimState::kUnknown, {});
  return http::MakeErrorAnswer(
      ResultCode::kOutcomeUnknown,
      StrCat("sent, but no whole answer came back: ", result.detail), decision,
      Milliseconds(0));
}

bool Entry::UpdateView(const fleet::View& view, bool is_delta) {
  const std::lock_guard lock(this->mutex);
  const bool is_applied = this->router.Update(
      is_delta ? fleet::ApplyDelta(this->router.view(), view) : view);
  if (is_applied) {
    this->WakeReady();
  }
  return is_applied;
}

std::uint32_t Entry::MaxBodyBytes(const ServiceName& name) const {
  const std::lock_guard lock(this->mutex);
  const fleet::Service* service = this->router.FindService(name);
  const std::uint32_t most = this->settings.doors.most_body_bytes;
  return service == nullptr ? most : std::min(most, service->most_body_bytes);
}

std::optional<fleet::Decision> Entry::FindDecision(const DecisionId& id) const {
  const std::lock_guard lock(this->mutex);
  return this->router.decisions().Find(id);
}

std::vector<fleet::Decision> Entry::FindDecisionsAbout(
    const std::string& request_label) const {
  constexpr std::size_t kMaxShown = 20;
  const std::lock_guard lock(this->mutex);
  return this->router.decisions().FindAbout(fleet::SubjectKind::kRequest,
                                            request_label, kMaxShown);
}

std::size_t Entry::CountOpen() const {
  const std::lock_guard lock(this->mutex);
  return this->router.CountOpen();
}

// Wakes waiting requests whose minions' pauses end without any other event.
// While no request waits the thread sleeps, so that an idle entry uses no
// processor time.
void Entry::WakeLoop() {
  std::unique_lock lock(this->mutex);
  while (!this->is_stopping) {
    if (this->router.CountWaiting() == 0) {
      this->wake_needed.wait(lock);
    } else {
      this->wake_needed.wait_for(lock, kWakeInterval);
      this->WakeReady();
    }
  }
}

// Probes each minion's health at an interval: this way an entry that is
// partitioned from the controllers also learns that a minion is leaving.
void Entry::ProbeLoop() {
  const Milliseconds interval = this->settings.routing.probe_interval;
  if (interval == Milliseconds(0)) {
    return;
  }
  const http::MinionRequest probe{.method = "GET", .target = "/sumac/health"};
  std::unique_lock stop_lock(this->stop_mutex);
  while (!this->stop_wake.wait_for(stop_lock, interval,
                                   [this] { return this->is_stopping; })) {
    stop_lock.unlock();
    const auto addresses = [this] {
      const std::lock_guard lock(this->mutex);
      return this->router.minions().Addresses();
    }();
    for (const auto& [name, address] : addresses) {
      const SteadyTime deadline = this->clock.SteadyNow() + interval / 2;
      auto connection = this->client.Connect(address, false, deadline);
      if (connection == nullptr) {
        continue;
      }
      const TryResult result = this->client.Exchange(
          address, std::move(connection), probe, 1024, deadline);
      if (result.is_leaving) {
        const std::lock_guard lock(this->mutex);
        this->router.minions().MarkLeaving(name, this->clock.SteadyNow());
      }
    }
    stop_lock.lock();
  }
}

// Logs the decisions made since the last call. The lock is held only to copy
// them, not while the log is written.
void Entry::LogNewDecisions() {
  std::vector<fleet::Decision> decisions;
  {
    const std::lock_guard lock(this->mutex);
    decisions = this->router.TakeNewDecisions();
  }
  for (const fleet::Decision& decision : decisions) {
    LogEvent(LogLevel::kInfo, "decision", ToJson(decision));
  }
}

}  // namespace sumac::daemon
