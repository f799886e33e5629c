// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/placement_advice.h"

#include <algorithm>
#include <utility>

namespace sumac::scheduler {
namespace {

// Workers in one question: about as many as the time that a job may take is
// reckoned with.
constexpr std::size_t kMaxWorkersInQuestion = 30;
// Before another question, after one without an answer.
constexpr Milliseconds kPauseAfterFailure{300};
// Taken off a ticket's time: its answer was on the way, and the start that
// brings it will be.
constexpr Milliseconds kTicketMargin{250};

}  // namespace

const std::string* PlacementAdvice::FindTicket(const jobs::StepId& step,
                                               const WorkerId& worker,
                                               SteadyTime now) const {
  const auto advice = this->steps.find(step);
  if (advice == this->steps.end()) {
    return nullptr;
  }
  const auto ticket = advice->second.tickets.find(worker);
  return ticket == advice->second.tickets.end() || now >= ticket->second.ends_at
             ? nullptr
             : &ticket->second.text;
}

void PlacementAdvice::RequestQuestion(const jobs::StepId& step,
                                      const std::vector<WorkerId>& workers,
                                      const jobs::PlacementPolicy& policy,
                                      SteadyTime now) {
  if (!this->CanRequestQuestion(now)) {
    return;
  }
  const StepAdvice& advice = this->steps[step];
  AdviceQuestion question{.step = step, .declared_validity = policy.validity};
  for (const WorkerId& worker : workers) {
    if (question.workers.size() < kMaxWorkersInQuestion &&
        !advice.refused.contains(worker) &&
        this->FindTicket(step, worker, now) == nullptr) {
      question.workers.push_back(worker);
    }
  }
  if (question.workers.empty()) {
    return;
  }
  question.expected =
      policy.decision_time +
      policy.worker_time * static_cast<std::int64_t>(question.workers.size());
  this->wanted = std::move(question);
}

std::optional<AdviceQuestion> PlacementAdvice::NextQuestion(SteadyTime now) {
  if (this->is_open || !this->wanted || now < this->pause_until) {
    return std::nullopt;
  }
  this->is_open = true;
  return this->wanted;
}

void PlacementAdvice::ApplyAnswer(const AdviceQuestion& question,
                                  const AdviceAnswer& answer,
                                  SteadyTime now) {
  this->is_open = false;
  if (!answer.is_answered) {
    this->pause_until = now + kPauseAfterFailure;
    return;
  }
  const Milliseconds validity =
      answer.validity.value_or(question.declared_validity);
  StepAdvice& advice = this->steps[question.step];
  for (const auto& [worker, ticket] : answer.tickets) {
    advice.tickets[worker] = Ticket{ticket, now + validity - kTicketMargin};
  }
  for (const WorkerId& worker : question.workers) {
    if (!answer.tickets.contains(worker)) {
      advice.refused.insert(worker);
    }
  }
}

void PlacementAdvice::DropTicket(const jobs::StepId& step,
                                 const WorkerId& worker) {
  const auto advice = this->steps.find(step);
  if (advice != this->steps.end()) {
    advice->second.tickets.erase(worker);
  }
}

void PlacementAdvice::DropFinished(const jobs::JobsState& state) {
  std::erase_if(this->steps, [&](const auto& item) {
    const jobs::Job* job = state.FindJob(item.first.job);
    return job == nullptr || !job->is_active();
  });
}

}  // namespace sumac::scheduler
