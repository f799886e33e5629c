// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/leader_search.h"

#include <algorithm>
#include <utility>

#include "libraries/base/kj_time.h"
#include "libraries/base/result_code.h"
#include "libraries/base/text.h"

namespace sumac::daemon {
namespace {

// The maximum time of one attempt, so that a controller that doesn't answer
// does not use up the whole time limit.
constexpr Milliseconds kMaxAttemptTime{700};
// The pause before the next attempt while no leader is known.
constexpr Milliseconds kRetryPause{50};
// The pause before the controller is asked that another one named as leader.
constexpr Milliseconds kHintPause{1};
// The pause before a leader is asked again that refused a request of which an
// earlier attempt got no answer.
constexpr Milliseconds kRefusalPause{200};

bool IsOfLeader(AttemptResult result) {
  return result == AttemptResult::kRefused ||
         result == AttemptResult::kAnswered;
}

}  // namespace

kj::Promise<fleet::Answer> LeaderSearch::Run(Attempt attempt,
                                             SearchLimits limits) {
  return this->TryUntilOver(
      std::move(attempt),
      Progress{.outcome = SubmissionOutcome(limits, this->peers.controllers(),
                                            this->clock.SteadyNow()),
               .next_controller = this->next_controller});
}

// Each search asks the leader that is followed here, once, and all controllers
// in turn, also while others run. The configured controllers may all be gone
// while replication still knows who leads.
ProcessName LeaderSearch::NextController(Progress& progress) {
  if (this->followed_leader) {
    ProcessName followed = this->followed_leader();
    if (!followed.value().empty() && followed != progress.asked_followed) {
      progress.asked_followed = followed;
      return followed;
    }
  }
  const auto& controllers = this->peers.controllers();
  this->next_controller = progress.next_controller + 1;
  return controllers[progress.next_controller++ % controllers.size()];
}

kj::Promise<fleet::Answer> LeaderSearch::TryUntilOver(Attempt attempt,
                                                      Progress progress) {
  const SteadyTime now = this->clock.SteadyNow();
  if (progress.outcome.IsOver(now)) {
    return fleet::Answer{
        .code = progress.outcome.FinalCode(),
        .message =
            StrCat("no controller that leads was reached in time",
                   progress.last_error.empty() ? "" : "; the last said: ",
                   progress.last_error)};
  }
  const ProcessName process = this->known_leader.value().empty()
                                  ? this->NextController(progress)
                                  : this->known_leader;
  const Milliseconds left =
      std::min(progress.outcome.TimeLeft(now), kMaxAttemptTime);
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
        const AttemptResult result = ResultOf(answer);
        const auto next = progress.outcome.Record(process, result);
        this->cut_off = !IsOfLeader(result) &&
                        (this->cut_off || progress.outcome.IsCutOff());
        if (next == SubmissionOutcome::Next::kReturnAnswer) {
          return kj::mv(answer);
        }
        progress.last_error = answer.message;
        return this->timer.afterDelay(ToKj(this->PauseAfter(result)))
            .then([this, attempt = std::move(attempt),
                   progress = std::move(progress)]() mutable {
              return this->TryUntilOver(std::move(attempt),
                                        std::move(progress));
            });
      });
}

Milliseconds LeaderSearch::PauseAfter(AttemptResult result) const {
  if (result == AttemptResult::kRefused) {
    return kRefusalPause;
  }
  return this->known_leader.value().empty() ? kRetryPause : kHintPause;
}

void LeaderSearch::UpdateLeader(const ProcessName& process,
                                const fleet::Answer& answer) {
  if (answer.code == ResultCode::kNotLeader) {
    // The message names the leader. A controller that names itself has no lease
    // yet.
    const bool is_hint = answer.message != process.value();
    this->known_leader = ProcessName(is_hint ? answer.message : "");
  } else if (IsOfLeader(ResultOf(answer))) {
    this->known_leader = process;
  } else {
    this->known_leader = ProcessName();
  }
}

}  // namespace sumac::daemon
