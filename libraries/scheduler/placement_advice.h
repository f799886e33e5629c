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

// What a placement policy said about steps and workers. A policy admits some
// workers to a step, and that does not change; each admission comes with a
// ticket that ends. The policy's service takes one question at a time, so
// questions are asked one after the other, the most urgent step first. Pure.
class PlacementAdvice {
 public:
  // Begins a turn of the scheduler: nothing is wanted yet.
  void BeginPass() { this->wanted.reset(); }

  // True while a question could be asked and none is wanted yet in this turn.
  bool CanRequestQuestion(SteadyTime now) const {
    return !this->is_open && !this->wanted && now >= this->pause_until;
  }

  // The ticket for the step's tasks on the worker, or nothing while none is
  // known that holds at `now`.
  const std::string* FindTicket(const jobs::StepId& step,
                                const WorkerId& worker,
                                SteadyTime now) const;

  // Takes in that tasks of the step find no place among the workers that are
  // known to be admitted. `workers` have room for them, the best first; the
  // steps come in the order of their urgency, and the first about which there
  // is something to ask is asked about. `policy` is the queue's.
  void RequestQuestion(const jobs::StepId& step,
                       const std::vector<WorkerId>& workers,
                       const jobs::PlacementPolicy& policy,
                       SteadyTime now);

  // The next question, while none is open; it counts as open until its answer
  // is taken.
  std::optional<AdviceQuestion> NextQuestion(SteadyTime now);
  void ApplyAnswer(const AdviceQuestion& question,
                   const AdviceAnswer& answer,
                   SteadyTime now);

  // Takes in that a worker refused a ticket.
  void DropTicket(const jobs::StepId& step, const WorkerId& worker);
  // Forgets steps of jobs that are finished.
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
  // No question before this, after one that failed.
  SteadyTime pause_until{};
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_PLACEMENT_ADVICE_H_
