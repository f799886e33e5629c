// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_PLACEMENT_ADVICE_H_
#define LIBRARIES_SCHEDULER_PLACEMENT_ADVICE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/declaration.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/task_id.h"
#include "libraries/scheduler/worker_messages.h"

namespace sumac::scheduler {

// The answers of a placement policy about steps and workers. A policy admits
// some workers to a step, which does not change; each admission comes with a
// ticket that expires. The policy's service accepts one question at a time, so
// questions are asked one after the other, the most urgent step first. Pure.
class PlacementAdvice {
 public:
  // Begins a planning pass, in which no question is wanted yet.
  void BeginPass() { this->wanted.reset(); }

  // Returns true while a question could be asked and none is wanted yet in this
  // pass.
  bool CanRequestQuestion(SteadyTime now) const {
    return !this->is_open && !this->wanted && now >= this->pause_until;
  }

  // Returns the ticket for the step's tasks on the worker, or null if no known
  // ticket is valid at `now`.
  const std::string* FindTicket(const jobs::StepId& step,
                                const WorkerId& worker,
                                SteadyTime now) const;

  // Requests a question about a step whose tasks find no place among the
  // workers known to be admitted. `workers` have room for them, the best first.
  // `policy` is the queue's. Call it for the steps in the order of their
  // urgency: the first step with workers to ask about determines the question.
  void RequestQuestion(const jobs::StepId& step,
                       const std::vector<WorkerId>& workers,
                       const jobs::PlacementPolicy& policy,
                       SteadyTime now);

  // Returns the next question if none is open. The question counts as open
  // until its answer is handled.
  std::optional<AdviceQuestion> NextQuestion(SteadyTime now);
  void ApplyAnswer(const AdviceQuestion& question,
                   const AdviceAnswer& answer,
                   SteadyTime now);

  // Removes a ticket that the worker refused.
  void DropTicket(const jobs::StepId& step, const WorkerId& worker);
  // Removes the steps of finished jobs.
  void DropFinished(const jobs::JobsState& state);

 private:
  struct Ticket {
    std::string text;
    SteadyTime ends_at{};
  };
  struct StepAdvice {
    std::map<WorkerId, Ticket> tickets;
    std::set<WorkerId> refused;
  };

  std::map<jobs::StepId, StepAdvice> steps;
  std::optional<AdviceQuestion> wanted;
  bool is_open = false;
  // No question is asked before this time, after one that failed.
  SteadyTime pause_until{};
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_PLACEMENT_ADVICE_H_
