// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/leader_search.h"

#include <algorithm>
#include <utility>

#include "libraries/base/kj_time.h"
#include "libraries/base/result_code.h"
#include "libraries/base/text.h"

namespace sumac::daemon {
namespace {

// One try at one controller takes at most this, so that a silent one does not
// use up the limit.
constexpr Milliseconds kMaxAttemptTime{700};
// Between two rounds without a leader.
constexpr Milliseconds kRetryPause{50};
// Before asking a controller that another one named.
constexpr Milliseconds kHintPause{1};

bool IsFinal(const fleet::Answer& answer) {
  return answer.code != ResultCode::kNotLeader &&
         answer.code != ResultCode::kUnreachable &&
         answer.code != ResultCode::kTimeout &&
         answer.code != ResultCode::kNoLeader;
}

// True if the request was turned away for the moment and has not run.
bool IsRefusal(const fleet::Answer& answer) {
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  const ResultInfo& info = InfoFor(answer.code);
  return info.effect == RunEffect::kNotRun &&
         (info.http_status == kTooMany || info.http_status == kUnavailable);
}

// NOTE: A controller speaks for itself when it refuses. One that was asked
// before and lost its place may have the request in its log, and the next
// leader, which does not know it yet, may still come to carry it out.
fleet::Answer OutcomeUnknown(const std::string& refusal) {
  return {.code = ResultCode::kTimeout,
          .message = StrCat("an earlier try got no answer; then: ", refusal)};
}

}  // namespace

kj::Promise<fleet::Answer> LeaderSearch::Run(Attempt attempt,
                                             Milliseconds limit) {
  return this->TryUntilDeadline(
      std::move(attempt),
      Progress{.deadline = this->clock.SteadyNow() + limit});
}

ProcessName LeaderSearch::NextController() {
  const auto& controllers = this->peers.controllers();
  return controllers[this->next_controller++ % controllers.size()];
}

kj::Promise<fleet::Answer> LeaderSearch::TryUntilDeadline(Attempt attempt,
                                                          Progress progress) {
  const SteadyTime now = this->clock.SteadyNow();
  if (now >= progress.deadline) {
    return fleet::Answer{
        .code = progress.may_have_run ? ResultCode::kTimeout
                                      : ResultCode::kNoLeader,
        .message =
            StrCat("no controller that leads was reached in time",
                   progress.last_error.empty() ? "" : "; the last said: ",
                   progress.last_error)};
  }
  const ProcessName process = this->known_leader.value().empty()
                                  ? this->NextController()
                                  : this->known_leader;
  const Milliseconds left = std::min(progress.deadline - now, kMaxAttemptTime);
  kj::Promise<fleet::Answer> answered = attempt(process, left);
  return answered
      .catch_([](kj::Exception&& exception) {
        return fleet::Answer{.code = ResultCode::kUnreachable,
                             .message = exception.getDescription().cStr()};
      })
      .then([this, process, attempt = std::move(attempt),
             progress = std::move(progress)](
                fleet::Answer&& answer) mutable -> kj::Promise<fleet::Answer> {
        this->UpdateLeader(process, answer);
        if (IsFinal(answer)) {
          return progress.may_have_run && IsRefusal(answer)
                     ? OutcomeUnknown(answer.message)
                     : kj::mv(answer);
        }
        progress.may_have_run = progress.may_have_run ||
                                answer.code == ResultCode::kUnreachable ||
                                answer.code == ResultCode::kTimeout;
        progress.last_error = answer.message;
        const bool has_hint = !this->known_leader.value().empty();
        return this->timer.afterDelay(ToKj(has_hint ? kHintPause : kRetryPause))
            .then([this, attempt = std::move(attempt),
                   progress = std::move(progress)]() mutable {
              return this->TryUntilDeadline(std::move(attempt),
                                            std::move(progress));
            });
      });
}

void LeaderSearch::UpdateLeader(const ProcessName& process,
                                const fleet::Answer& answer) {
  if (answer.code == ResultCode::kNotLeader) {
    // The message names the leader; a controller that names itself has no lease
    // yet.
    const bool is_hint = answer.message != process.value();
    this->known_leader = ProcessName(is_hint ? answer.message : "");
  } else if (IsFinal(answer)) {
    this->known_leader = process;
  } else {
    this->known_leader = ProcessName();
  }
}

}  // namespace sumac::daemon
