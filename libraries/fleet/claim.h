// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_CLAIM_H_
#define LIBRARIES_FLEET_CLAIM_H_

#include <array>
#include <cstdint>
#include <string>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/describe.h"

namespace sumac::fleet {

// The progress of the single run of a claimed request (charts/request.json).
enum class ClaimState {
  // An entry holds the right to send the request and may have sent it.
  kClaimed,
  // The request ran, and its answer is stored.
  kAnswered,
  // The request did not run; the key may be claimed again.
  kNotRun,
  // The request may have run; no entry sends it again.
  kUnknown,
};

// A minion's answer, stored so that resends of the request receive it again.
struct KeptAnswer {
  std::uint16_t http_status = 0;
  std::string content_type;
  std::string body;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("http_status", self.http_status);
    visitor.Field("content_type", self.content_type);
    visitor.Field("body", self.body);
  }
};

// The claim of one non-repeatable request.
struct Claim {
  IdempotencyKey key;
  // The digest of method, service, path and body; another digest under the same
  // key is an error.
  std::string digest;
  // The entry that may send the request, and the number of its attempt that
  // holds the claim. An attempt number is never used again, not even after a
  // restart of the entry.
  ProcessName entry;
  std::uint64_t attempt = 0;
  WallTime claimed_at;
  // The time by which the entry has given up; a claim that is still open then
  // has an unknown outcome.
  WallTime runs_until;
  ClaimState state = ClaimState::kClaimed;
  KeptAnswer answer;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("key", self.key);
    visitor.Field("digest", self.digest);
    visitor.Field("entry", self.entry);
    visitor.Field("attempt", self.attempt);
    visitor.Field("claimed_at", self.claimed_at);
    visitor.Field("runs_until", self.runs_until);
    visitor.Field("state", self.state);
    visitor.Field("answer", self.answer);
  }
};

}  // namespace sumac::fleet

namespace sumac {

template <>
struct EnumNames<fleet::ClaimState> {
  using State = fleet::ClaimState;
  static constexpr std::array kNames = {
      EnumName<State>{State::kClaimed, "claimed"},
      EnumName<State>{State::kAnswered, "answered"},
      EnumName<State>{State::kNotRun, "not_run"},
      EnumName<State>{State::kUnknown, "unknown"},
  };
};

}  // namespace sumac

#endif  // LIBRARIES_FLEET_CLAIM_H_
