// SPDX-License-Identifier: Apache-2.0
#include <string>

#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/codec/json_writer.h"
#include "libraries/fleet/fleet_machine.h"
#include "libraries/fleet/idempotency.h"

namespace sumac::fleet {
namespace {

// Refuses a key that the system may have forgotten, or could never forget.
absl::Status CheckKeyAge(const FleetState& state, const IdempotencyKey& key) {
  const WallTime made_at = TRY(TimeOfKey(key));
  const FleetRecord& record = state.record();
  const WallTime oldest =
      std::max(record.claims_floor, record.now - record.declaration.key_window);
  if (made_at < oldest) {
    return MakeError(ResultCode::kKeyTooOld,
                     StrCat("the key was made ", (record.now - made_at).count(),
                            " ms ago; keys are kept for ",
                            record.declaration.key_window.count(), " ms"));
  }
  if (made_at > record.now + kMaxKeySkew) {
    return MakeError(
        ResultCode::kBadIdempotencyKey,
        StrCat("the key's time lies ", (made_at - record.now).count(),
               " ms ahead; at most ", kMaxKeySkew.count(), " ms are allowed"));
  }
  return absl::OkStatus();
}

Answer AnswerFromClaim(const Claim& claim, WallTime now) {
  Answer answer;
  answer.document = ToJson(claim);
  switch (claim.state) {
    case ClaimState::kAnswered:
      answer.message = "the first answer";
      break;
    case ClaimState::kClaimed:
      if (now < claim.runs_until) {
        answer.code = ResultCode::kStillRunning;
        answer.message =
            StrCat("the request is in progress at ", claim.entry.value());
        break;
      }
      [[fallthrough]];
    case ClaimState::kUnknown:
    case ClaimState::kNotRun:
      answer.code = ResultCode::kOutcomeUnknown;
      answer.message = StrCat("the request was sent by ", claim.entry.value(),
                              " and no whole answer came back");
      break;
  }
  return answer;
}

// An entry's answer about how a claim ended may be this much later than its own
// deadline.
constexpr Milliseconds kFinishMargin{2'000};

WallTime RunsUntil(const FleetRecord& record, const ClaimRequest& command) {
  return record.now + command.run_time + kFinishMargin;
}

absl::Status FireClaimEvent(const FleetState& state,
                            Claim& claim,
                            std::string_view event) {
  const std::string next =
      TRY(state.charts().request.Next(NameOf(claim.state), event));
  claim.state = *ParseEnum<ClaimState>(next);
  return absl::OkStatus();
}

std::string_view EventFor(ClaimState outcome) {
  switch (outcome) {
    case ClaimState::kAnswered:
      return "answer";
    case ClaimState::kNotRun:
      return "decline";
    case ClaimState::kClaimed:
    case ClaimState::kUnknown:
      return "lose";
  }
  return "lose";
}

}  // namespace

Answer Apply(FleetState& state, const ClaimRequest& command) {
  FleetRecord& record = state.mutable_record();
  const auto found = record.claims.find(command.key);
  if (found == record.claims.end()) {
    const absl::Status age = CheckKeyAge(state, command.key);
    if (!age.ok()) {
      return Answer::FromStatus(age);
    }
    record.claims[command.key] =
        Claim{command.key,     command.digest, command.entry,
              command.attempt, record.now,     RunsUntil(record, command)};
    return Answer::Success("claimed");
  }
  Claim& claim = found->second;
  if (claim.digest != command.digest) {
    return Answer{
        .code = ResultCode::kKeyReused,
        .message = "the idempotency key was used before with another request"};
  }
  const bool is_same_attempt =
      claim.entry == command.entry && claim.attempt == command.attempt;
  if (claim.state == ClaimState::kNotRun) {
    if (const absl::Status status = FireClaimEvent(state, claim, "claim_again");
        !status.ok()) {
      return Answer::FromStatus(status);
    }
    claim.entry = command.entry;
    claim.attempt = command.attempt;
    claim.claimed_at = record.now;
    claim.runs_until = RunsUntil(record, command);
    return Answer::Success("claimed");
  }
  // The same try asking again is its own proposal told twice, after a lost
  // answer: it holds the right and has not sent yet.
  if (claim.state == ClaimState::kClaimed && is_same_attempt) {
    return Answer::Success("claimed");
  }
  return AnswerFromClaim(claim, record.now);
}

Answer Apply(FleetState& state, const FinishClaim& command) {
  FleetRecord& record = state.mutable_record();
  const auto found = record.claims.find(command.key);
  if (found == record.claims.end()) {
    return Answer{.code = ResultCode::kUnknownName,
                  .message = "no claim under this key"};
  }
  Claim& claim = found->second;
  if (claim.entry != command.entry || claim.attempt != command.attempt) {
    return Answer{.code = ResultCode::kStaleReport,
                  .message = "another try holds the claim"};
  }
  if (const absl::Status status =
          FireClaimEvent(state, claim, EventFor(command.state));
      !status.ok()) {
    return Answer::FromStatus(status);
  }
  claim.answer = command.answer;
  return Answer::Success("kept");
}

Answer Apply(FleetState& state, const ExpireClaims& command) {
  FleetRecord& record = state.mutable_record();
  if (command.before <= record.claims_floor) {
    return Answer::Success("nothing to forget");
  }
  record.claims_floor = command.before;
  std::erase_if(record.claims, [&](const auto& item) {
    const absl::StatusOr<WallTime> made_at = TimeOfKey(item.first);
    return !made_at.ok() || *made_at < command.before;
  });
  return Answer::Success("forgotten");
}

}  // namespace sumac::fleet
